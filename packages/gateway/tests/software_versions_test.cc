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

  versions_fixture() { versions.ExtendSpan(kAge); }
};

BOOST_FIXTURE_TEST_CASE(OneVersionIsNotSeveral, versions_fixture) {
  versions.Add(service, v1, now);
  versions.Add(service, v1, now);
  versions.Settle(now);
  BOOST_TEST(!versions.HasSeveral(service, kAge, now));
  BOOST_TEST((versions.VersionOfUnrecorded(service, now) == v1));
  BOOST_TEST(!versions.RecordsOrigins(service, now));
  BOOST_TEST(!versions.HasSeveral(service_id("other"), kAge, now));
  BOOST_TEST(
      !versions.VersionOfUnrecorded(service_id("other"), now).has_value());
}

BOOST_FIXTURE_TEST_CASE(UnrecordedStreamsAreOfTheFormerOnlyVersion,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Settle(now);
  now += Seconds(100);
  versions.Add(service, v2, now);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now));
  BOOST_TEST((versions.VersionOfUnrecorded(service, now + Seconds(9)) == v1));
  BOOST_TEST(
      !versions.VersionOfUnrecorded(service, now + Seconds(11)).has_value());
}

// A node that has just started does not know which version was the only one.
BOOST_FIXTURE_TEST_CASE(VersionsThatAppearTogetherHaveNoFormerOne,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Add(service, v2, now);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now));
  BOOST_TEST(!versions.VersionOfUnrecorded(service, now).has_value());
}

// Guards against a node that starts after the last endpoint of a version has
// left and takes the remaining version for the only one that streams ran on.
BOOST_FIXTURE_TEST_CASE(AVersionFromBeforeTheStartCounts, versions_fixture) {
  versions.Restore(service, v1, now - Seconds(1));
  versions.Add(service, v2, now);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now + Seconds(8)));
  BOOST_TEST(!versions.VersionOfUnrecorded(service, now).has_value());
  BOOST_TEST(!versions.HasSeveral(service, kAge, now + Seconds(10)));
}

BOOST_FIXTURE_TEST_CASE(ARestoredVersionWithEndpointsIsListed,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Restore(service, v1, now - Seconds(1));
  versions.Settle(now);
  const auto listings = versions.Listings(service);
  BOOST_REQUIRE(listings.size() == 1u);
  BOOST_TEST(!listings[0].left_at.has_value());
}

// Streams of a version whose endpoints have all left may still be resumed.
BOOST_FIXTURE_TEST_CASE(AVersionCountsForATimeAfterItsLastEndpoint,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Settle(now);
  versions.Add(service, v2, now);
  versions.Settle(now);
  versions.Remove(service, v1, now);
  versions.Settle(now);
  BOOST_TEST(versions.HasSeveral(service, kAge, now + Seconds(9)));
  BOOST_TEST((versions.VersionOfUnrecorded(service, now) == v1));
  BOOST_TEST(!versions.HasSeveral(service, kAge, now + Seconds(11)));
}

// Guards against streams that begin after the last endpoint of a version has
// left, while a node that is asked for them still counts that version.
BOOST_FIXTURE_TEST_CASE(OriginsAreRecordedForAsLongAsTheyAreAskedFor,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Settle(now);
  BOOST_TEST(!versions.RecordsOrigins(service, now));
  now += Seconds(100);
  versions.Add(service, v2, now);
  versions.Settle(now);
  BOOST_TEST(versions.RecordsOrigins(service, now));
  now += Seconds(100);
  versions.Remove(service, v1, now);
  versions.Settle(now);
  for (const duration age : {duration::zero(), kAge, kAge + Seconds(1)})
    BOOST_TEST(versions.RecordsOrigins(service, now + age));
  BOOST_TEST(!versions.RecordsOrigins(service, now + kAge + kMaxListDelay));
  // All streams that could be resumed have an origin.
  BOOST_TEST(!versions.VersionOfUnrecorded(service, now + kAge).has_value());
  BOOST_TEST(
      (versions.VersionOfUnrecorded(service, now + kAge + Seconds(1)) == v2));
}

// Guards against a release that is taken back: the version that was the only
// one at its end is not the one before it.
BOOST_FIXTURE_TEST_CASE(AReleaseThatIsTakenBackKeepsTheFormerVersion,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Settle(now);
  const auto pass = [&] {
    now += Seconds(2);
    versions.Settle(now);
  };
  pass();
  versions.Add(service, v2, now);
  pass();
  versions.Remove(service, v1, now);
  pass();
  versions.Add(service, v1, now);
  pass();
  versions.Remove(service, v2, now);
  pass();
  BOOST_TEST((versions.VersionOfUnrecorded(service, now) == v1));
  BOOST_TEST(versions.HasSeveral(service, kAge, now));
}

// Streams of a version that left before the span cannot be resumed any more.
BOOST_FIXTURE_TEST_CASE(AVersionThatLeftBeforeTheSpanDoesNotCount,
                        versions_fixture) {
  versions.Add(service, v1, now);
  versions.Settle(now);
  versions.Remove(service, v1, now);
  versions.Settle(now);
  now += kAge + Seconds(1);
  versions.Add(service, v2, now);
  versions.Settle(now);
  BOOST_TEST((versions.VersionOfUnrecorded(service, now) == v2));
  BOOST_TEST(!versions.HasSeveral(service, kAge, now));
}

}  // namespace
}  // namespace jasminepath::gateway
