#include "jasminepath/report/latency_histogram.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "jasminepath/report/metrics_text.h"

namespace jasminepath::report {
namespace {

// Each bucket is 15.5% wider than the previous one; the factor is rounded up.
constexpr double kBucketFactor = 1.156;

latency_histogram HistogramOf(const std::vector<int>& milliseconds) {
  latency_histogram histogram;
  for (int value : milliseconds)
    histogram.Record(Milliseconds(value));
  return histogram;
}

BOOST_AUTO_TEST_CASE(QuantileIsWithinOneBucket) {
  BOOST_TEST(
      rc::check("a quantile exceeds the exact value by at most one bucket", [] {
        auto values = *rc::gen::nonEmpty(
            rc::gen::container<std::vector<int>>(rc::gen::inRange(2, 900'000)));
        const double share = *rc::gen::inRange(1, 100) / 100.0;
        const duration shown = HistogramOf(values).Quantile(share);
        std::sort(values.begin(), values.end());
        const double rank =
            std::ceil(share * static_cast<double>(values.size()));
        const int exact = values[static_cast<std::size_t>(rank) - 1];
        RC_ASSERT(ToSeconds(shown) * 1000 >= exact * 0.999);
        RC_ASSERT(ToSeconds(shown) * 1000 <= exact * kBucketFactor);
      }));
}

BOOST_AUTO_TEST_CASE(MergeEqualsRecordingIntoOneHistogram) {
  BOOST_TEST(rc::check("merging equals recording together", [] {
    const auto a =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2'000'000));
    const auto b =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2'000'000));
    latency_histogram merged = HistogramOf(a);
    merged.Merge(HistogramOf(b));
    std::vector<int> both = a;
    both.insert(both.end(), b.begin(), b.end());
    RC_ASSERT(merged == HistogramOf(both));
    RC_ASSERT(merged.count() == static_cast<int64_t>(both.size()));
    const auto read = HistogramFromJson(ToJson(merged));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value() == merged);
  }));
}

BOOST_AUTO_TEST_CASE(CopiesAreIndependent) {
  latency_histogram a = HistogramOf({5});
  latency_histogram b = a;
  b.Record(Milliseconds(5));
  BOOST_TEST(a.count() == 1);
  BOOST_TEST(b.count() == 2);
  a = b;
  BOOST_TEST((a == b));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedBuckets) {
  for (const char* text : {"{}", "[1]", "[[1]]", "[[1,2,3]]", "[[\"a\",1]]",
                           "[[-2,1]]", "[[97,1]]", "[[1,-1]]", "[[1,1.5]]"}) {
    BOOST_TEST_CONTEXT(text)
    BOOST_TEST(!HistogramFromJson(config::ParseJson(text).value()).has_value());
  }
}

BOOST_AUTO_TEST_CASE(WritesMetricsWithOneHeaderAndCumulativeBuckets) {
  metrics_text metrics;
  metrics.Counter("calls_total", "Calls.", {{"team", "a\"b\\c\nd"}}, 3);
  metrics.Counter("calls_total", "Calls.", {}, 4);
  metrics.Gauge("load", "Load.", {}, 0.5);
  metrics.Histogram("wait_seconds", "Wait.", {{"k", "v"}},
                    HistogramOf({2, 2, 2'000'000}));
  const std::string& text = metrics.text();
  BOOST_TEST(text.find("# HELP calls_total Calls.\n"
                       "# TYPE calls_total counter\n"
                       "calls_total{team=\"a\\\"b\\\\c\\nd\"} 3\n"
                       "calls_total 4\n"
                       "# HELP load Load.\n# TYPE load gauge\nload 0.5\n") ==
             0);
  BOOST_TEST(text.find("wait_seconds_bucket{k=\"v\",le=\"+Inf\"} 3\n") !=
             std::string::npos);
  BOOST_TEST(text.find("wait_seconds_count{k=\"v\"} 3\n") != std::string::npos);
  BOOST_TEST(text.find("\"} 2\n") < text.find("\"+Inf\""));
}

}  // namespace
}  // namespace jasminepath::report
