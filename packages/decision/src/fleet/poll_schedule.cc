#include "jasminepath/decision/fleet/poll_schedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kFirstBackoff = Milliseconds(500);
// Ranks beyond this wait no longer than it.
constexpr int64_t kLastFallbackRank = 60;

}  // namespace

poll_schedule::poll_schedule(duration period,
                             fleet_limits limits,
                             random_engine random)
    : period_(period), limits_(limits), random_(random) {}

bool poll_schedule::TryStart(int64_t rank,
                             std::optional<time_point> confirmed_at,
                             time_point now) {
  if (sent_at_ && now - *sent_at_ >= limits_.platform_call_expiry) {
    expired_ = sent_at_;
    OnFailed(now);
  }
  if (!IsDue(rank, confirmed_at, now))
    return false;
  sent_at_ = now;
  serves_demand_ = std::exchange(demanded_, false);
  return true;
}

bool poll_schedule::IsDue(int64_t rank,
                          std::optional<time_point> confirmed_at,
                          time_point now) const {
  if (sent_at_ || now < next_allowed_)
    return false;
  if (demanded_ || rank < limits_.pollers || !confirmed_at)
    return true;
  const int64_t steps = std::min(rank, kLastFallbackRank);
  const duration patience =
      limits_.fallback_poll_after + steps * limits_.fallback_rank_step;
  return now - *confirmed_at >= patience;
}

std::optional<time_point> poll_schedule::OnAnswered() {
  backoff_ = duration::zero();
  serves_demand_ = false;
  if (expired_)
    return std::exchange(expired_, std::nullopt);
  if (sent_at_)
    next_allowed_ = *sent_at_ + period_;
  return std::exchange(sent_at_, std::nullopt);
}

void poll_schedule::OnFailed(time_point now) {
  sent_at_.reset();
  demanded_ = demanded_ || std::exchange(serves_demand_, false);
  backoff_ = backoff_ == duration::zero() ? kFirstBackoff : backoff_ * 2;
  backoff_ = std::min(backoff_, limits_.longest_poll_backoff);
  std::uniform_int_distribution<duration::rep> jitter(backoff_.count() / 2,
                                                      backoff_.count());
  next_allowed_ = now + duration(jitter(random_));
}

void poll_schedule::Demand() {
  demanded_ = true;
}

}  // namespace jasminepath::decision
