#include "decision_loop.h"

#include <algorithm>
#include <utility>

#include "decision_state.h"

namespace jasminepath::node {
namespace {

constexpr duration kLongestWait = Milliseconds(50);
// Events taken between two looks at what is due.
constexpr int kEventBatch = 256;

}  // namespace

class decision_loop::implementation {
 public:
  implementation(const loop_settings& settings,
                 node_event_ring& events,
                 const loop_outlets& outlets,
                 random_engine random)
      : events_(events), state_(settings, outlets, random, boot_clock::now()) {}

  loop_end Run(const std::atomic<bool>& stop) {
    while (!stop) {
      TakeEvents();
      const time_point now = boot_clock::now();
      if (now >= state_.NextDeadline(now) || now - ticked_ >= kLongestWait) {
        ticked_ = now;
        state_.Tick(now);
      }
      if (state_.fenced())
        return CutOff(loop_end::fenced);
      if (state_.drained())
        return CutOff(loop_end::drained);
    }
    return CutOff(loop_end::cut);
  }

 private:
  // Nothing that happens from here on is decided upon any more.
  loop_end CutOff(loop_end end) {
    events_.Close();
    if (state_.open_calls() > 0)
      state_.CutOpenCalls();
    return end;
  }

  void TakeEvents() {
    const time_point now = boot_clock::now();
    const duration until_due =
        std::max(state_.NextDeadline(now) - now, duration::zero());
    auto event = events_.PopWithin(std::min(until_due, kLongestWait));
    for (int taken = 0; event && taken < kEventBatch; ++taken) {
      state_.Handle(std::move(*event), boot_clock::now());
      event = events_.TryPop();
    }
    if (event)
      state_.Handle(std::move(*event), boot_clock::now());
  }

  node_event_ring& events_;
  decision_state state_;
  time_point ticked_;
};

decision_loop::decision_loop(const loop_settings& settings,
                             node_event_ring& events,
                             const loop_outlets& outlets,
                             random_engine random)
    : implementation_(
          std::make_unique<implementation>(settings, events, outlets, random)) {
}

decision_loop::~decision_loop() = default;

loop_end decision_loop::Run() {
  return implementation_->Run(stop_);
}

}  // namespace jasminepath::node
