#include "jasminepath/decision/fleet/poll_schedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kInitialBackoff = Milliseconds(500);
// The fallback delay does not increase beyond this rank.
constexpr int64_t kMaxFallbackRank = 60;

}  // namespace

poll_schedule::poll_schedule(duration period,
                             fleet_limits limits,
                             random_engine random)
    : period_(period), limits_(limits), random_(random) {}

bool poll_schedule::TryStart(int64_t rank,
                             std::optional<time_point> confirmed_at,
                             time_point now) {
  if (sent_at_ && now - *sent_at_ >= limits_.platform_call_expiry) {
    expired_poll_sent_at_ = sent_at_;
    OnFailed(now);
  }
  if (!IsDue(rank, confirmed_at, now))
    return false;
  sent_at_ = now;
  outstanding_poll_requested_ = std::exchange(poll_requested_, false);
  return true;
}

bool poll_schedule::IsDue(int64_t rank,
                          std::optional<time_point> confirmed_at,
                          time_point now) const {
  if (sent_at_ || now < next_allowed_)
    return false;
  if (poll_requested_ || rank < limits_.poller_count || !confirmed_at)
    return true;
  const int64_t steps = std::min(rank, kMaxFallbackRank);
  const duration fallback_delay =
      limits_.fallback_poll_after + steps * limits_.fallback_rank_step;
  return now - *confirmed_at >= fallback_delay;
}

std::optional<time_point> poll_schedule::OnAnswered() {
  backoff_ = duration::zero();
  outstanding_poll_requested_ = false;
  if (expired_poll_sent_at_)
    return std::exchange(expired_poll_sent_at_, std::nullopt);
  if (sent_at_)
    next_allowed_ = *sent_at_ + period_;
  return std::exchange(sent_at_, std::nullopt);
}

void poll_schedule::OnFailed(time_point now) {
  sent_at_.reset();
  poll_requested_ =
      poll_requested_ || std::exchange(outstanding_poll_requested_, false);
  backoff_ = backoff_ == duration::zero() ? kInitialBackoff : backoff_ * 2;
  backoff_ = std::min(backoff_, limits_.max_poll_backoff);
  std::uniform_int_distribution<duration::rep> jitter(backoff_.count() / 2,
                                                      backoff_.count());
  next_allowed_ = now + duration(jitter(random_));
}

void poll_schedule::RequestPoll() {
  poll_requested_ = true;
}

}  // namespace jasminepath::decision
