#ifndef JASMINEPATH_NODE_DECISION_LOOP_H_
#define JASMINEPATH_NODE_DECISION_LOOP_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "drain_sequence.h"
#include "jasminepath/base/random.h"
#include "jasminepath/decision/fleet/fleet_limits.h"
#include "jasminepath/decision/fleet/instance_record.h"
#include "jasminepath/report/event_log.h"
#include "node_event.h"

namespace jasminepath::mesh {
class link_set;
}

namespace jasminepath::node {

class endpoint_poller;
using report::event_log;
using report::FormatEvent;
using report::log_field;
using report::log_level;
class node_metrics;
class node_view;
class order_sender;
class platform_gateway;
class platform_throttle;

// Settings of the decision thread.
struct loop_settings {
  decision::instance_record self;
  std::vector<std::string> seed_peers;
  decision::fleet_limits fleet;
  drain_limits drain;
};

// Components that execute the decision thread's actions. All must outlive the
// loop.
struct loop_dependencies {
  node_view& view;
  event_log& log;
  mesh::link_set& links;
  platform_gateway& platform;
  platform_throttle& throttle;
  order_sender& orders;
  endpoint_poller& poller;
  node_metrics& metrics;
};

// How the loop ended.
enum class loop_end {
  drained,  // A planned stop is complete.
  fenced,   // Other nodes treat this instance as ended.
  aborted,  // Stop() was called.
};

// The event loop of the decision thread: takes events from the ring, applies
// them to the aggregates, and submits the resulting actions to the workers.
// Run() must be called from one thread; Stop() is thread-safe.
class decision_loop {
 public:
  decision_loop(const loop_settings& settings,
                node_event_ring& events,
                const loop_dependencies& dependencies,
                random_engine random);
  decision_loop(const decision_loop&) = delete;
  decision_loop& operator=(const decision_loop&) = delete;
  ~decision_loop();

  // Runs until a planned stop is complete, this instance is fenced, or Stop()
  // is called.
  loop_end Run();

  // Ends Run() without waiting for open calls.
  void Stop() { stop_.store(true); }

 private:
  class implementation;

  std::atomic<bool> stop_{false};
  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_DECISION_LOOP_H_
