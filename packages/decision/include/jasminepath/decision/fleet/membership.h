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

// What status pages show of one instance.
enum class instance_state { alive, suspected, ended };

// The registered instances and what is known of their state. An instance has
// ended when its row was removed, which is done only by itself or once its VM
// has left the platform's list, or when a successor on its VM is registered.
// An end is final. Suspicion says only that the instance is silent.
class membership {
 public:
  // Takes a row of the table; returns the instances known to have ended by it.
  std::vector<instance_id> OnRow(const instance_row& row);

  // Marks an instance silent or heard. Returns whether that is news.
  bool SetSuspected(const instance_id& id, bool suspected);
  // The instance said that it stops: it is no longer counted on.
  bool SetLeaving(const instance_id& id);

  // The record of an instance that is registered and has not ended, or null.
  const instance_record* Find(const instance_id& id) const;
  bool HasEnded(const instance_id& id) const;
  // Whether the instance, which a row committed at `named_at` names as
  // registered, has ended: its end was seen, or it is missing from the rows,
  // which reflect a later commit.
  bool HasEnded(const instance_id& id, revision named_at) const;
  // The rows given to OnRow reflect every commit up to this version.
  void SetReflectsThrough(revision version) { reflects_through_ = version; }
  bool IsSuspected(const instance_id& id) const;
  bool IsLeaving(const instance_id& id) const;

  // Registered and not ended, in the order of ids.
  std::vector<instance_record> Registered() const;
  // Registered, not ended, not leaving.
  const std::vector<instance_id>& NonLeaving() const { return non_leaving_; }
  // Registered, not ended, not leaving, not suspected.
  const std::vector<instance_id>& Live() const { return live_; }
  // The registered instance on the VM, or null.
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

// Whether `later` is the successor of `earlier` on one VM.
bool IsSuccessor(const instance_record& later, const instance_record& earlier);

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_MEMBERSHIP_H_
