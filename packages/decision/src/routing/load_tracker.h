#ifndef JASMINEPATH_DECISION_SRC_ROUTING_LOAD_TRACKER_H_
#define JASMINEPATH_DECISION_SRC_ROUTING_LOAD_TRACKER_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::decision {

// The load of one endpoint: its last reported load, which lags, corrected by
// the attempts of this node that have started or ended since the report.
// Samples are a quarter of a second apart, since the age of a report is not
// known more precisely.
class load_tracker {
 public:
  int64_t outstanding() const { return outstanding_; }
  int64_t load() const { return std::max(outstanding_, corrected_load_); }

  void OnBegin(time_point now) {
    AddSample(now);
    ++outstanding_;
    ++corrected_load_;
  }
  void OnEnd(time_point now) {
    AddSample(now);
    --outstanding_;
    --corrected_load_;
  }
  // The endpoint had `reported` calls at the time `at`.
  void OnReport(int64_t reported, time_point at) {
    corrected_load_ = reported + outstanding_ - OutstandingAt(at);
  }

 private:
  static constexpr std::size_t kMaxSamples = 8;
  static constexpr duration kSampleInterval = Milliseconds(250);

  struct sample {
    time_point at;
    int32_t outstanding = 0;
  };

  void AddSample(time_point now) {
    if (now - samples_[last_].at < kSampleInterval)
      return;
    last_ = (last_ + 1) % kMaxSamples;
    samples_[last_] = {now, static_cast<int32_t>(outstanding_)};
  }
  // The first sample after `at` holds the number of attempts that ran then.
  int64_t OutstandingAt(time_point at) const {
    int64_t known = outstanding_;
    for (std::size_t i = 0; i < kMaxSamples; ++i) {
      const sample& entry = samples_[(last_ + kMaxSamples - i) % kMaxSamples];
      if (entry.at <= at)
        break;
      known = entry.outstanding;
    }
    return known;
  }

  int64_t outstanding_ = 0;
  int64_t corrected_load_ = 0;
  std::array<sample, kMaxSamples> samples_ = {};
  std::size_t last_ = 0;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_ROUTING_LOAD_TRACKER_H_
