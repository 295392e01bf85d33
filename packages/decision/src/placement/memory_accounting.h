#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_MEMORY_ACCOUNTING_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_MEMORY_ACCOUNTING_H_

#include <map>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// What a VM's memory is promised to: weights and cache reserve of each model,
// and adapters on top of it. Knows nothing of why a charge ends; its owner
// credits only on proof.
class memory_accounting {
 public:
  memory_accounting() = default;
  explicit memory_accounting(bytes capacity) : capacity_(capacity) {}

  bytes capacity() const { return capacity_; }
  bytes charged() const { return charged_; }
  bytes available() const { return capacity_ - charged_; }

  // The configuration has changed the VM's memory.
  void SetCapacity(bytes capacity) { capacity_ = capacity; }
  // Charges a model that is not yet charged; false if there is no room.
  bool Charge(const model_id& model, bytes size);
  // Records at least `size` for a model that is loaded already, room or not.
  void ChargeLoaded(const model_id& model, bytes size);
  // Charges an adapter of a charged model; false if there is no room.
  bool ChargeAdapter(const model_id& model,
                     const adapter_id& adapter,
                     bytes size);
  // Records an adapter that is loaded already, room or not.
  void ChargeLoadedAdapter(const model_id& model,
                           const adapter_id& adapter,
                           bytes size);
  // Ends the charges of a model and its adapters, or of one adapter.
  void Uncharge(const model_id& model);
  void UnchargeAdapter(const model_id& model, const adapter_id& adapter);

 private:
  struct charge {
    bytes size;
    std::map<adapter_id, bytes> adapters;
  };

  bytes capacity_;
  bytes charged_;
  std::map<model_id, charge> charges_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_PLACEMENT_MEMORY_ACCOUNTING_H_
