#include "software_versions.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::gateway {
namespace {

constexpr duration kAge = Seconds(10);

struct versions_fixture {
  service_id service{"s"};
  software_version v1{"v1"};
  software_version v2{"v2"};
  software_versions versions;
  time_point now{Seconds(1000)};
};

BOOST_FIXTURE_TEST_CASE(OneVersionIsNotSeveral, versions_fixture) {
  versions.Add(service, v1);
  versions.Add(service, v1);
  versions.Settle(now);
  BOOST_TEST(!versions.HasSeveral(service, kAge, now));
  BOOST_TEST(!versions.FormerOnlyVersion(service, kAge, now).has_value());
  BOOST_TEST(!versions.HasSeveral(service_id("other"), kAge, now));
}

BOOST_FIXTURE_TEST_CASE(UnrecordedStreamsAreOfTheFormerOnlyVersion,
                        versions_fixture) {
  versions.Add(service, v1);
  versions.Settle(now);
  now += Seconds(100);
  versions.Add(service, v2);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now));
  BOOST_TEST(
      (versions.FormerOnlyVersion(service, kAge, now + Seconds(9)) == v1));
  BOOST_TEST(!versions.FormerOnlyVersion(service, kAge, now + Seconds(11))
                  .has_value());
}

// A node that has just started does not know which version was the only one.
BOOST_FIXTURE_TEST_CASE(VersionsThatAppearTogetherHaveNoFormerOne,
                        versions_fixture) {
  versions.Add(service, v1);
  versions.Add(service, v2);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now));
  BOOST_TEST(!versions.FormerOnlyVersion(service, kAge, now).has_value());
}

// Guards against a node that starts after the last endpoint of a version has
// left and takes the remaining version for the only one that streams ran on.
BOOST_FIXTURE_TEST_CASE(AVersionFromBeforeTheStartCounts, versions_fixture) {
  versions.Restore(service, v1, now - Seconds(1));
  versions.Add(service, v2);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now + Seconds(8)));
  BOOST_TEST(!versions.FormerOnlyVersion(service, kAge, now).has_value());
  BOOST_TEST(!versions.HasSeveral(service, kAge, now + Seconds(10)));
}

BOOST_FIXTURE_TEST_CASE(ARestoredVersionWithEndpointsIsListed,
                        versions_fixture) {
  versions.Add(service, v1);
  versions.Restore(service, v1, now - Seconds(1));
  versions.Settle(now);
  const auto listings = versions.Listings(service);
  BOOST_REQUIRE(listings.size() == 1u);
  BOOST_TEST(!listings[0].left_at.has_value());
}

// Streams of a version whose endpoints have all left may still be resumed.
BOOST_FIXTURE_TEST_CASE(AVersionCountsForATimeAfterItsLastEndpoint,
                        versions_fixture) {
  versions.Add(service, v1);
  versions.Settle(now);
  versions.Add(service, v2);
  versions.Settle(now);
  versions.Remove(service, v1, now);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now + Seconds(9)));
  BOOST_TEST(!versions.FormerOnlyVersion(service, kAge, now).has_value());
  BOOST_TEST(!versions.HasSeveral(service, kAge, now + Seconds(11)));
}

}  // namespace
}  // namespace jasminepath::gateway
