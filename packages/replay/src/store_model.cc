#include "store_model.h"

#include <algorithm>
#include <utility>

namespace jasminepath::replay {
namespace {

// A load with at most this much time left is complete. The margin covers
// rounding to clock ticks.
constexpr double kCompletionEpsilonSeconds = 1e-6;

}  // namespace

double store_model::Speed() const {
  const auto running =
      static_cast<double>(std::max<std::size_t>(1, loads_.size()));
  const double share =
      std::min(1.0, static_cast<double>(full_speed_loads_) / running);
  return share / static_cast<double>(slowdown_);
}

void store_model::Advance() {
  const double progress = ToSeconds(events_.now() - advanced_to_) * Speed();
  for (running_load& load : loads_)
    load.remaining_seconds -= progress;
  advanced_to_ = events_.now();
}

void store_model::Begin(duration full_speed, std::function<void()> done) {
  Advance();
  loads_.push_back({ToSeconds(full_speed), std::move(done)});
  ScheduleNext();
}

void store_model::SetSlowdown(int64_t factor) {
  Advance();
  slowdown_ = std::max<int64_t>(1, factor);
  ScheduleNext();
}

void store_model::ScheduleNext() {
  ++schedule_version_;
  if (loads_.empty())
    return;
  const auto next =
      std::min_element(loads_.begin(), loads_.end(),
                       [](const running_load& a, const running_load& b) {
                         return a.remaining_seconds < b.remaining_seconds;
                       });
  const std::chrono::duration<double> wait(
      std::max(0.0, next->remaining_seconds) / Speed());
  const auto ticks = std::chrono::duration_cast<duration>(wait) + duration(1);
  events_.After(ticks, [this, version = schedule_version_] {
    if (version == schedule_version_)
      CompleteLoads();
  });
}

void store_model::CompleteLoads() {
  Advance();
  std::vector<std::function<void()>> done;
  std::erase_if(loads_, [&](running_load& load) {
    if (load.remaining_seconds > kCompletionEpsilonSeconds)
      return false;
    done.push_back(std::move(load.done));
    return true;
  });
  ScheduleNext();
  for (const auto& notify : done)
    notify();
}

}  // namespace jasminepath::replay
