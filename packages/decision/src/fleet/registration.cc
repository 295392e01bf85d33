#include "jasminepath/decision/fleet/registration.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jasminepath::decision {
namespace {

constexpr duration kInitialBackoff = Milliseconds(500);

}  // namespace

registration::registration(instance_record self,
                           fleet_limits limits,
                           random_engine random)
    : self_(std::move(self)), limits_(limits), random_(random) {}

void registration::OnInstancesRead(revision version) {
  if (!read_version_)
    read_version_ = version;
}

void registration::OnOwnRow(const instance_row* row) {
  if (row) {
    self_ = row->value;
    row_version_ = std::max(row_version_, row->version);
    return;
  }
  if (IsRegistered())
    is_removed_ = true;
}

bool registration::OnWritten(write_outcome outcome, time_point now) {
  sent_at_.reset();
  if (outcome == write_outcome::committed) {
    backoff_ = duration::zero();
    return false;
  }
  backoff_ =
      std::clamp(backoff_ * 2, kInitialBackoff, limits_.max_poll_backoff);
  std::uniform_int_distribution<duration::rep> jitter(backoff_.count() / 2,
                                                      backoff_.count());
  not_before_ = now + duration(jitter(random_));
  return outcome != write_outcome::unreachable;
}

void registration::OnDrain() {
  is_draining_ = true;
  not_before_ = time_point();
}

void registration::AppendDueWrite(time_point now, fleet_actions& actions) {
  if (sent_at_ && now - *sent_at_ >= limits_.platform_call_expiry)
    OnWritten(write_outcome::lost, now);
  if (sent_at_ || is_removed_ || now < not_before_)
    return;
  if (is_draining_ && IsRegistered()) {
    sent_at_ = now;
    actions.push_back(
        remove_instance{.instance = self_.id, .expected = row_version_});
    return;
  }
  if (is_draining_ || IsRegistered() || !read_version_)
    return;
  self_.started = read_version_->count();
  sent_at_ = now;
  actions.push_back(write_instance{.record = self_, .expected = revision()});
}

}  // namespace jasminepath::decision
