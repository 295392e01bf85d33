#include "weight_store.h"

#include <algorithm>

namespace jasminepath::standin {
namespace {

constexpr double kModelLoadsAtFullSpeed = 4;
constexpr double kAdapterLoadsAtFullSpeed = 32;
// The maximum step in which progress is computed, so that the end of a load
// soon speeds up the others.
constexpr duration kMaxStep = Milliseconds(5);

}  // namespace

double weight_store::Speed(load_kind kind) const {
  const auto running =
      std::count_if(loads_.begin(), loads_.end(), [&](const auto& entry) {
        return entry.second.kind == kind &&
               entry.second.remaining > duration(0);
      });
  const double limit = kind == load_kind::model ? kModelLoadsAtFullSpeed
                                                : kAdapterLoadsAtFullSpeed;
  return std::min(1.0, limit / std::max<double>(1, running));
}

void weight_store::Advance(double slow_factor, time_point now) {
  while (advanced_to_ < now) {
    const duration step = std::min(now - advanced_to_, kMaxStep);
    const double model_speed = Speed(load_kind::model) / slow_factor;
    const double adapter_speed = Speed(load_kind::adapter) / slow_factor;
    bool has_running_load = false;
    for (auto& [id, load] : loads_) {
      const double speed =
          load.kind == load_kind::model ? model_speed : adapter_speed;
      load.remaining -= std::chrono::duration_cast<duration>(step * speed);
      has_running_load = has_running_load || load.remaining > duration(0);
    }
    advanced_to_ = has_running_load ? advanced_to_ + step : now;
  }
}

void weight_store::Begin(const std::string& id,
                         load_kind kind,
                         duration full_speed,
                         time_point now) {
  const std::lock_guard lock(mutex_);
  Advance(1, now);
  loads_.try_emplace(id, running_load{kind, full_speed});
}

std::optional<bool> weight_store::IsComplete(const std::string& id,
                                             double slow_factor,
                                             time_point now) {
  const std::lock_guard lock(mutex_);
  Advance(slow_factor, now);
  const auto found = loads_.find(id);
  if (found == loads_.end())
    return std::nullopt;
  return found->second.remaining <= duration(0);
}

}  // namespace jasminepath::standin
