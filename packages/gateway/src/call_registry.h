#ifndef JASMINEPATH_GATEWAY_SRC_CALL_REGISTRY_H_
#define JASMINEPATH_GATEWAY_SRC_CALL_REGISTRY_H_

#include <memory>
#include <unordered_set>
#include <vector>

namespace jasminepath::gateway {

class call_session;

// The calls of a node that have not ended. A call must remove itself when it
// ends. Runs on the event loop.
class call_registry {
 public:
  void Add(call_session& call);
  void Remove(call_session& call);

  // Snapshot, so that calls may end while it is iterated.
  std::vector<std::shared_ptr<call_session>> Calls() const;

 private:
  std::unordered_set<call_session*> calls_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_CALL_REGISTRY_H_
