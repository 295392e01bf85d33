#ifndef JASMINEPATH_DECISION_SRC_ROUTING_LOAD_TRACKER_H_
#define JASMINEPATH_DECISION_SRC_ROUTING_LOAD_TRACKER_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::decision {

// The load of one endpoint: what it last reported, with a lag, corrected by
// the attempts of this node that have begun or ended since. Times are kept to
// a quarter of a second, since a report's age is no better known.
class load_tracker {
 public:
  int64_t outstanding() const { return outstanding_; }
  int64_t load() const { return std::max(outstanding_, corrected_); }

  void OnBegin(time_point now) {
    Remember(now);
    ++outstanding_;
    ++corrected_;
  }
  void OnEnd(time_point now) {
    Remember(now);
    --outstanding_;
    --corrected_;
  }
  // The endpoint had `reported` calls at the time.
  void OnReport(int64_t reported, time_point at) {
    corrected_ = reported + outstanding_ - OutstandingAt(at);
  }

 private:
  static constexpr std::size_t kSamples = 8;
  static constexpr duration kSampleTime = Milliseconds(250);

  struct sample {
    time_point at;
    int32_t outstanding = 0;
  };

  void Remember(time_point now) {
    if (now - samples_[last_].at < kSampleTime)
      return;
    last_ = (last_ + 1) % kSamples;
    samples_[last_] = {now, static_cast<int32_t>(outstanding_)};
  }
  // The first sample taken after the time tells what ran then.
  int64_t OutstandingAt(time_point at) const {
    int64_t known = outstanding_;
    for (std::size_t i = 0; i < kSamples; ++i) {
      const sample& entry = samples_[(last_ + kSamples - i) % kSamples];
      if (entry.at <= at)
        break;
      known = entry.outstanding;
    }
    return known;
  }

  int64_t outstanding_ = 0;
  int64_t corrected_ = 0;
  std::array<sample, kSamples> samples_ = {};
  std::size_t last_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_ROUTING_LOAD_TRACKER_H_
