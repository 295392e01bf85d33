#include "decision_loop.h"

#include <algorithm>
#include <utility>

#include "decision_state.h"

namespace jasminepath::node {
namespace {

constexpr duration kMaxWait = Milliseconds(50);
// Maximum number of events between two checks for due timers.
constexpr int kMaxEventsPerBatch = 256;

}  // namespace

class decision_loop::implementation {
 public:
  implementation(const loop_settings& settings,
                 node_event_ring& events,
                 const loop_dependencies& dependencies,
                 random_engine random)
      : events_(events),
        state_(settings, dependencies, random, boot_clock::now()) {}

  loop_end Run(const std::atomic<bool>& stop) {
    while (!stop) {
      ProcessEvents();
      const time_point now = boot_clock::now();
      if (now >= state_.NextDeadline(now) || now - last_tick_ >= kMaxWait) {
        last_tick_ = now;
        state_.Tick(now);
      }
      if (state_.is_fenced())
        return Shutdown(loop_end::fenced);
      if (state_.is_drained())
        return Shutdown(loop_end::drained);
    }
    return Shutdown(loop_end::aborted);
  }

 private:
  // Closes the event ring and ends the open calls; later events are not
  // processed.
  loop_end Shutdown(loop_end end) {
    events_.Close();
    if (state_.open_calls() > 0)
      state_.AbortOpenCalls();
    return end;
  }

  void ProcessEvents() {
    const time_point now = boot_clock::now();
    const duration time_to_deadline =
        std::max(state_.NextDeadline(now) - now, duration::zero());
    auto event = events_.PopWithin(std::min(time_to_deadline, kMaxWait));
    for (int processed = 0; event && processed < kMaxEventsPerBatch;
         ++processed) {
      state_.Handle(std::move(*event), boot_clock::now());
      event = events_.TryPop();
    }
    if (event)
      state_.Handle(std::move(*event), boot_clock::now());
  }

  node_event_ring& events_;
  decision_state state_;
  time_point last_tick_;
};

decision_loop::decision_loop(const loop_settings& settings,
                             node_event_ring& events,
                             const loop_dependencies& dependencies,
                             random_engine random)
    : implementation_(std::make_unique<implementation>(settings,
                                                       events,
                                                       dependencies,
                                                       random)) {}

decision_loop::~decision_loop() = default;

loop_end decision_loop::Run() {
  return implementation_->Run(stop_);
}

}  // namespace jasminepath::node
