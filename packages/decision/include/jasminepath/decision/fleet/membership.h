#ifndef JASMINEPATH_DECISION_FLEET_MEMBERSHIP_H_
#define JASMINEPATH_DECISION_FLEET_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/fleet/instance_record.h"

namespace jasminepath::decision {

// The state of an instance as shown on status pages.
enum class instance_state { alive, suspected, ended };

// Tracks the registered instances and their states. An instance has ended if
// its row was removed or if a successor on its VM is registered. A row is
// removed only by the instance itself, or by others once the VM has left the
// platform's list or the instance has ended. An ended instance never becomes
// alive again. A suspected instance is silent but may still run.
class membership {
 public:
  // Applies a row of the table. Returns the instances that have ended because
  // of this row.
  std::vector<instance_id> OnRow(const instance_row& row);

  // Sets or clears the suspicion of an instance. Returns whether this changed
  // its state.
  bool SetSuspected(const instance_id& id, bool suspected);
  // Records that the instance has announced its stop, which removes it from
  // NonLeaving() and Live(). Returns whether this changed its state.
  bool SetLeaving(const instance_id& id);

  // The record of the instance, or null if it is not registered or has ended.
  const instance_record* Find(const instance_id& id) const;
  bool HasEnded(const instance_id& id) const;
  // Whether the instance, named as registered by a row committed at `named_at`,
  // has ended: either its end was observed, or it is missing from the rows
  // although they reflect that commit.
  bool HasEnded(const instance_id& id, revision named_at) const;
  // Sets the version up to which the rows given to OnRow reflect every commit.
  void SetReflectsThrough(revision version) { reflects_through_ = version; }
  bool IsSuspected(const instance_id& id) const;
  bool IsLeaving(const instance_id& id) const;

  // The instances that are registered and have not ended, ordered by id.
  std::vector<instance_record> Registered() const;
  // The instances that are registered and are neither ended nor leaving.
  const std::vector<instance_id>& NonLeaving() const { return non_leaving_; }
  // The instances that are registered and are neither ended, leaving nor
  // suspected.
  const std::vector<instance_id>& Live() const { return live_; }
  // The registered instance on the VM, or null if there is none.
  const instance_record* FindOnVm(const vm_id& vm) const;

 private:
  void End(const instance_id& id, std::vector<instance_id>& ended);
  void RebuildLists();

  std::map<instance_id, instance_record> registered_;
  std::vector<instance_id> non_leaving_;
  std::vector<instance_id> live_;
  std::set<instance_id> ended_;
  std::set<instance_id> suspected_;
  std::set<instance_id> leaving_;
  revision reflects_through_;
};

// Whether `later` is a successor of `earlier` on the same VM.
bool IsSuccessor(const instance_record& later, const instance_record& earlier);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_MEMBERSHIP_H_
