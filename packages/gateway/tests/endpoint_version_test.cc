#include <boost/test/unit_test.hpp>
#include <string>

#include "endpoint_pool.h"

namespace jasminepath::gateway {
namespace {

struct pool_fixture {
  static endpoint_entry Entry(const char* id, const char* version) {
    endpoint_entry entry;
    entry.id = endpoint_id(id);
    entry.service = service_id("s");
    entry.address = "127.0.0.1:1";
    entry.zone = zone_id("z");
    entry.slots = 4;
    entry.version = software_version(version);
    return entry;
  }
  endpoint_pool::choice PickVersion(const char* version) {
    endpoint_query query;
    query.service = service_id("s");
    query.version = software_version(version);
    return pool.Pick(query, now);
  }
  void List(const endpoint_entry& entry) {
    pool.Apply({{entry}, {}}, duration::zero(), now);
  }

  http::event_loop loop{1};
  endpoint_pool pool{loop, zone_id("z")};
  time_point now = boot_clock::now();
};

BOOST_FIXTURE_TEST_CASE(PicksOnlyEndpointsOfTheVersion, pool_fixture) {
  List(Entry("e1", "v1"));
  List(Entry("e2", "v2"));
  BOOST_TEST(PickVersion("v1").endpoint->entry.id == endpoint_id("e1"));
  BOOST_TEST(PickVersion("v2").endpoint->entry.id == endpoint_id("e2"));
  BOOST_TEST((PickVersion("v3").miss == pick_miss::no_version));
}

// Guards against calls that wait for a version whose last endpoint is leaving.
BOOST_FIXTURE_TEST_CASE(AVersionThatDrainsIsNotWaitedFor, pool_fixture) {
  List(Entry("e2", "v2"));
  endpoint_entry leaving = Entry("e1", "v1");
  leaving.draining = true;
  List(leaving);
  BOOST_TEST((PickVersion("v1").miss == pick_miss::no_version));
}

// An endpoint may restart under its id with another version.
BOOST_FIXTURE_TEST_CASE(ARestartedEndpointHasItsNewVersion, pool_fixture) {
  List(Entry("e1", "v1"));
  List(Entry("e1", "v2"));
  BOOST_TEST((PickVersion("v1").miss == pick_miss::no_version));
  BOOST_TEST(PickVersion("v2").endpoint->entry.id == endpoint_id("e1"));
  BOOST_TEST(pool.versions().HasSeveral(service_id("s"), Seconds(10), now));
}

}  // namespace
}  // namespace jasminepath::gateway
