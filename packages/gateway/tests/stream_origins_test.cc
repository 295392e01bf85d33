#include "stream_origins.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::gateway {
namespace {

const time_point kNow{Seconds(1000)};

stream_origin Origin(int64_t number, const char* version = "v1") {
  return {request_id("r" + std::to_string(number)), software_version(version)};
}

BOOST_AUTO_TEST_CASE(OnlyOwnStreamsAreAnnounced) {
  stream_origins origins;
  int announced = 0;
  origins.OnBegun([&announced](const stream_origin&) { ++announced; });
  origins.Begin(Origin(1, "v1"), kNow);
  origins.Learn(Origin(2, "v2"), kNow);
  BOOST_TEST(announced == 1);
  BOOST_TEST((origins.Find(request_id("r1")) == software_version("v1")));
  BOOST_TEST((origins.Find(request_id("r2")) == software_version("v2")));
  BOOST_TEST(!origins.Find(request_id("r3")).has_value());
}

// A stream began once, whatever a late or repeated message says.
BOOST_AUTO_TEST_CASE(TheFirstVersionCounts) {
  stream_origins origins;
  origins.Learn(Origin(1, "v1"), kNow);
  origins.Learn(Origin(1, "v2"), kNow);
  BOOST_TEST((origins.Find(request_id("r1")) == software_version("v1")));
}

BOOST_AUTO_TEST_CASE(StreamsAreForgottenByAgeAndNumber) {
  stream_origins origins;
  for (int64_t i = 0; i < 2 * static_cast<int64_t>(stream_origins::kMaxStreams);
       ++i)
    origins.Learn(Origin(i), kNow);
  BOOST_TEST(origins.size() == stream_origins::kMaxStreams);
  origins.Learn(Origin(-1), kNow + 2 * stream_origins::kMemory);
  BOOST_TEST(origins.size() == 1U);
}

}  // namespace
}  // namespace jasminepath::gateway
