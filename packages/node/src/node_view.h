#ifndef JASMINEPATH_NODE_NODE_VIEW_H_
#define JASMINEPATH_NODE_NODE_VIEW_H_

#include <memory>
#include <mutex>
#include <utility>

#include "jasminepath/base/refusal.h"
#include "jasminepath/config/configuration.h"

namespace jasminepath::node {

// What threads other than the decision thread may know of the node's state.
// The decision thread writes it; any thread reads it.
class node_view {
 public:
  node_view()
      : configuration_(std::make_shared<const config::configuration>()) {}

  std::shared_ptr<const config::configuration> configuration() const {
    const std::lock_guard lock(mutex_);
    return configuration_;
  }

  void SetConfiguration(std::shared_ptr<const config::configuration> value) {
    const std::lock_guard lock(mutex_);
    configuration_ = std::move(value);
  }

  // Whether the balancer may send callers here.
  bool ready() const {
    const std::lock_guard lock(mutex_);
    return ready_ && !draining_;
  }

  void SetReady(bool ready) {
    const std::lock_guard lock(mutex_);
    ready_ = ready;
  }

  bool draining() const {
    const std::lock_guard lock(mutex_);
    return draining_;
  }

  // Final: a draining node never becomes ready again.
  void SetDraining() {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const config::configuration> configuration_;
  bool ready_ = false;
  bool draining_ = false;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_VIEW_H_
