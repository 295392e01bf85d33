#ifndef JASMINEPATH_NODE_NODE_APP_H_
#define JASMINEPATH_NODE_NODE_APP_H_

#include <memory>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/node_settings.h"

namespace jasminepath::node {

// Why a node could not start. `message` names the setting concerned.
struct start_error {
  std::string message;

  friend bool operator==(const start_error&, const start_error&) = default;
};

// How a node's run ended.
enum class run_end {
  drained,  // A planned stop is complete; no call was aborted.
  fenced,   // Other nodes treat this instance as ended.
  aborted,  // A second stop request arrived while calls were open.
};

// One run of a node: its HTTP servers, its worker threads and its decision
// thread. Each run has its own instance id.
class node_app {
 public:
  // Binds all listening addresses and starts the worker threads.
  static result<std::unique_ptr<node_app>, start_error> MakeNodeApp(
      const config::node_settings& settings);

  node_app(const node_app&) = delete;
  node_app& operator=(const node_app&) = delete;
  ~node_app();

  // "ip:port" as bound.
  std::string caller_address() const;
  std::string admin_address() const;

  // Runs the decision loop until the node has stopped. Must be called from one
  // thread only.
  run_end Run();

  // The first call starts a planned stop; the second ends the run at once.
  // Thread-safe, but not async-signal-safe.
  void RequestStop();

 private:
  class implementation;
  explicit node_app(std::unique_ptr<implementation> state);

  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_APP_H_
