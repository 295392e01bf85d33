#ifndef JASMINEPATH_NODE_NODE_VIEW_H_
#define JASMINEPATH_NODE_NODE_VIEW_H_

#include <memory>
#include <mutex>
#include <utility>

#include "jasminepath/base/refusal.h"
#include "jasminepath/config/configuration.h"

namespace jasminepath::node {

// The part of the node's state that is visible to other threads. The decision
// thread writes it; any thread can read it.
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

  // Whether the load balancer may send callers to this node.
  bool is_ready() const {
    const std::lock_guard lock(mutex_);
    return is_ready_ && !is_draining_;
  }

  void SetReady(bool ready) {
    const std::lock_guard lock(mutex_);
    is_ready_ = ready;
  }

  bool is_draining() const {
    const std::lock_guard lock(mutex_);
    return is_draining_;
  }

  // Irreversible: a draining node never becomes ready again.
  void SetDraining() {
    const std::lock_guard lock(mutex_);
    is_draining_ = true;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const config::configuration> configuration_;
  bool is_ready_ = false;
  bool is_draining_ = false;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_NODE_VIEW_H_
