#ifndef JASMINEPATH_DECISION_SRC_PLACEMENT_MEMORY_ACCOUNTING_H_
#define JASMINEPATH_DECISION_SRC_PLACEMENT_MEMORY_ACCOUNTING_H_

#include <map>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// Accounts for the memory of a VM: weights and cache reserve of each model, and
// the adapters of the model. The class does not check why a charge ends; the
// caller removes a charge only after proof that the memory is free.
class memory_accounting {
 public:
  memory_accounting() = default;
  explicit memory_accounting(bytes capacity) : capacity_(capacity) {}

  bytes capacity() const { return capacity_; }
  bytes charged() const { return charged_; }
  bytes available() const { return capacity_ - charged_; }

  // Sets the VM's memory after a change of the configuration.
  void SetCapacity(bytes capacity) { capacity_ = capacity; }
  // Charges a model unless it is charged already. Returns false if there is not
  // enough free memory.
  bool Charge(const model_id& model, bytes size);
  // Charges at least `size` for a model that is already loaded, even if it
  // exceeds the capacity.
  void ChargeLoaded(const model_id& model, bytes size);
  // Charges an adapter of a charged model. Returns false if there is not enough
  // free memory.
  bool ChargeAdapter(const model_id& model,
                     const adapter_id& adapter,
                     bytes size);
  // Charges an adapter that is already loaded, even if it exceeds the capacity.
  void ChargeLoadedAdapter(const model_id& model,
                           const adapter_id& adapter,
                           bytes size);
  // Remove the charges of a model and its adapters, or of one adapter.
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
