#include "call_registry.h"

#include "call_session.h"

namespace jasminepath::gateway {

void call_registry::Add(call_session& call) {
  calls_.insert(&call);
}

void call_registry::Remove(call_session& call) {
  calls_.erase(&call);
}

std::vector<std::shared_ptr<call_session>> call_registry::Calls() const {
  std::vector<std::shared_ptr<call_session>> calls;
  calls.reserve(calls_.size());
  for (call_session* call : calls_)
    calls.push_back(call->shared_from_this());
  return calls;
}

}  // namespace jasminepath::gateway
