#include "placement/memory_accounting.h"

namespace jasminepath::decision {

bool memory_accounting::Charge(const model_id& model, bytes size) {
  if (charges_.contains(model))
    return true;
  if (size > available())
    return false;
  charges_[model].size = size;
  charged_ += size;
  return true;
}

void memory_accounting::ChargeLoaded(const model_id& model, bytes size) {
  charge& entry = charges_[model];
  if (size <= entry.size)
    return;
  charged_ += size - entry.size;
  entry.size = size;
}

bool memory_accounting::ChargeAdapter(const model_id& model,
                                      const adapter_id& adapter,
                                      bytes size) {
  const auto found = charges_.find(model);
  if (found == charges_.end())
    return false;
  if (found->second.adapters.contains(adapter))
    return true;
  if (size > available())
    return false;
  found->second.adapters[adapter] = size;
  charged_ += size;
  return true;
}

void memory_accounting::ChargeLoadedAdapter(const model_id& model,
                                            const adapter_id& adapter,
                                            bytes size) {
  const auto [entry, added] =
      charges_[model].adapters.try_emplace(adapter, size);
  if (added)
    charged_ += size;
}

void memory_accounting::Uncharge(const model_id& model) {
  const auto found = charges_.find(model);
  if (found == charges_.end())
    return;
  charged_ -= found->second.size;
  for (const auto& [adapter, size] : found->second.adapters)
    charged_ -= size;
  charges_.erase(found);
}

void memory_accounting::UnchargeAdapter(const model_id& model,
                                        const adapter_id& adapter) {
  const auto found = charges_.find(model);
  if (found == charges_.end())
    return;
  const auto entry = found->second.adapters.find(adapter);
  if (entry == found->second.adapters.end())
    return;
  charged_ -= entry->second;
  found->second.adapters.erase(entry);
}

}  // namespace jasminepath::decision
