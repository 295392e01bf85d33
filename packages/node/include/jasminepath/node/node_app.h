#ifndef JASMINEPATH_NODE_NODE_APP_H_
#define JASMINEPATH_NODE_NODE_APP_H_

#include <memory>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/node_settings.h"

namespace jasminepath::node {

// Why a node could not start; names the setting concerned.
struct start_error {
  std::string message;

  friend bool operator==(const start_error&, const start_error&) = default;
};

// How a node's run ended.
enum class run_end {
  drained,  // A planned stop is complete; no call was cut.
  fenced,   // Other nodes count this instance as ended.
  aborted,  // A second request to stop came while calls were open.
};

// One run of a node: its listening servers, its duties and its decision
// thread. Each run has an instance id of its own.
class node_app {
 public:
  // Binds all listening addresses and starts the duties.
  static result<std::unique_ptr<node_app>, start_error> MakeNodeApp(
      const config::node_settings& settings);

  node_app(const node_app&) = delete;
  node_app& operator=(const node_app&) = delete;
  ~node_app();

  // "ip:port" as bound.
  std::string caller_address() const;
  std::string admin_address() const;

  // Decides until the node has stopped. Belongs to one thread.
  run_end Run();

  // The first call begins a planned stop, the second ends the run at once.
  // Safe from any thread, not from a signal handler.
  void RequestStop();

 private:
  class implementation;
  explicit node_app(std::unique_ptr<implementation> state);

  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_APP_H_
