#include "jasminepath/report/latency_histogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>
#include <cmath>
#include <limits>
#include <utility>

namespace jasminepath::report {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBucketCount = 96;
constexpr double kLowestSeconds = 0.001;
constexpr double kHighestSeconds = 1000.0;
constexpr int64_t kMaxCount = int64_t{1} << 53;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
// unlimited_storage starts with one byte for each bucket and widens on demand,
// since most routes have few calls in a window.
using counts = bh::histogram<std::tuple<log_axis>, bh::unlimited_storage<>>;

// The indices of the axis run from -1 (underflow) to kBucketCount (overflow).
constexpr int kUnderflowIndex = -1;
constexpr int kOverflowIndex = kBucketCount;

log_axis MakeAxis() {
  return log_axis(kBucketCount, kLowestSeconds, kHighestSeconds);
}

duration UpperBound(const log_axis& axis, int index) {
  if (index >= kOverflowIndex)
    return duration::max();
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(axis.value(index + 1)));
}

}  // namespace

struct latency_histogram::storage {
  counts buckets{MakeAxis()};
};

latency_histogram::latency_histogram() : storage_(new storage) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(const latency_histogram& other)
    : storage_(new storage(*other.storage_)) {}
latency_histogram& latency_histogram::operator=(
    const latency_histogram& other) {
  *storage_ = *other.storage_;
  return *this;
}
latency_histogram::latency_histogram(latency_histogram&& other) noexcept
    : storage_(new storage) {
  std::swap(storage_, other.storage_);
}
latency_histogram& latency_histogram::operator=(
    latency_histogram&& other) noexcept {
  std::swap(storage_, other.storage_);
  return *this;
}

void latency_histogram::Record(duration latency) {
  storage_->buckets(ToSeconds(latency));
}

void latency_histogram::Merge(const latency_histogram& other) {
  storage_->buckets += other.storage_->buckets;
}

int64_t latency_histogram::count() const {
  int64_t total = 0;
  for (int i = kUnderflowIndex; i <= kOverflowIndex; ++i)
    total += static_cast<int64_t>(storage_->buckets.at(i));
  return total;
}

duration latency_histogram::Quantile(double share) const {
  const int64_t total = count();
  if (total == 0)
    return duration::zero();
  const auto rank = std::max(
      int64_t{1}, static_cast<int64_t>(std::ceil(share * double(total))));
  int64_t cumulative = 0;
  for (const latency_bucket& bucket : Buckets()) {
    cumulative += bucket.count;
    if (cumulative >= rank)
      return bucket.upper;
  }
  return duration::max();
}

std::vector<latency_bucket> latency_histogram::Buckets() const {
  const log_axis& axis = storage_->buckets.axis();
  std::vector<latency_bucket> buckets;
  for (int i = kUnderflowIndex; i <= kOverflowIndex; ++i) {
    buckets.push_back(
        {UpperBound(axis, i), static_cast<int64_t>(storage_->buckets.at(i))});
  }
  return buckets;
}

bool operator==(const latency_histogram& a, const latency_histogram& b) {
  return a.storage_->buckets == b.storage_->buckets;
}

config::json_value ToJson(const latency_histogram& histogram) {
  config::json_value list{config::json_value::array()};
  for (int i = kUnderflowIndex; i <= kOverflowIndex; ++i) {
    const auto count = static_cast<int64_t>(histogram.storage_->buckets.at(i));
    if (count == 0)
      continue;
    list.Append(
        "", config::json_value(config::json_value::array{
                config::json_value(int64_t{i}), config::json_value(count)}));
  }
  return list;
}

result<latency_histogram, config::json_error> HistogramFromJson(
    const config::json_value& value) {
  const config::json_error malformed{"not an array of [bucket, count]"};
  if (value.AsArray() == nullptr)
    return failure(malformed);
  latency_histogram histogram;
  for (const config::json_value& item : *value.AsArray()) {
    const config::json_value::array* parts = item.AsArray();
    if (parts == nullptr || parts->size() != 2)
      return failure(malformed);
    const int64_t* index = (*parts)[0].AsInteger();
    const int64_t* count = (*parts)[1].AsInteger();
    if (index == nullptr || *index < kUnderflowIndex || *index > kOverflowIndex)
      return failure(malformed);
    if (count == nullptr || *count < 0 || *count > kMaxCount)
      return failure(malformed);
    histogram.storage_->buckets.at(static_cast<int>(*index)) =
        static_cast<double>(*count);
  }
  return histogram;
}

}  // namespace jasminepath::report
