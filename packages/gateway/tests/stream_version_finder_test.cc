#include "stream_version_finder.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace jasminepath::gateway {
namespace {

constexpr duration kSpan = Seconds(10);
constexpr duration kCheckInterval = Milliseconds(50);

// A node that has run for long, is in step with the others and has two nodes to
// ask in each round.
struct finder_fixture {
  finder_fixture() {
    versions.ExtendSpan(kSpan);
    versions.Add(service, v1, now);
    versions.Settle(now);
    Pass(kSpan + Seconds(1));
  }

  // Lets the time pass, with the calls of the timer.
  void Pass(duration time) {
    for (const time_point end = now + time; now < end;) {
      now += kCheckInterval;
      finder.Check(now);
    }
  }
  void AddSecondVersion() {
    versions.Add(service, v2, now);
    versions.Settle(now);
  }
  // The answer, or nullopt while the question is in progress.
  std::optional<stream_version> Find() {
    found.reset();
    finder.Find(service, stream, now,
                [this](const stream_version& result) { found = result; });
    return found;
  }
  bool HasFound(const software_version& version) const {
    return found && found->version == version;
  }
  bool IsRefused() const { return found && !found->version; }
  void Reply(origin_knowledge knowledge, const software_version& version = {}) {
    finder.OnReply({stream, knowledge, version}, now);
  }

  service_id service{"s"};
  software_version v1{"v1"};
  software_version v2{"v2"};
  request_id stream{"r1"};
  time_point now{Seconds(1000)};
  node_awareness awareness{true, {}, true};
  std::vector<int> rounds;
  std::size_t receivers = 2;
  software_versions versions;
  stream_origins origins;
  stream_version_finder finder{versions, origins,
                               [this](time_point) { return awareness; },
                               [this](const origin_query&, int round) {
                                 rounds.push_back(round);
                                 return receivers;
                               },
                               now};
  std::optional<stream_version> found;
};

// Guards against messages for services with one version.
BOOST_FIXTURE_TEST_CASE(NobodyIsAskedAboutTheOnlyVersion, finder_fixture) {
  Find();
  BOOST_TEST(HasFound(v1));
  BOOST_TEST(rounds.empty());
}

BOOST_FIXTURE_TEST_CASE(AKnownOriginDecides, finder_fixture) {
  AddSecondVersion();
  origins.Learn({stream, v2}, now);
  Find();
  BOOST_TEST(HasFound(v2));
  BOOST_TEST(rounds.empty());
}

// Guards against streams that are refused, or mixed, because their origin was
// lost on its way to this node.
BOOST_FIXTURE_TEST_CASE(AnUnknownOriginIsAskedFor, finder_fixture) {
  AddSecondVersion();
  BOOST_TEST(!Find().has_value());
  BOOST_TEST(rounds == std::vector<int>{0});
  Reply(origin_knowledge::recorded, v2);
  BOOST_TEST(HasFound(v2));
  BOOST_TEST((origins.Find(stream) == v2));
}

BOOST_FIXTURE_TEST_CASE(FurtherNodesAreAskedIfTheFirstDoNotKnow,
                        finder_fixture) {
  AddSecondVersion();
  Find();
  Reply(origin_knowledge::unknown);
  Reply(origin_knowledge::unknown);
  BOOST_TEST((rounds == std::vector<int>{0, 1}));
  Reply(origin_knowledge::recorded, v1);
  BOOST_TEST(HasFound(v1));
}

BOOST_FIXTURE_TEST_CASE(FurtherNodesAreAskedIfTheFirstAreSilent,
                        finder_fixture) {
  AddSecondVersion();
  Find();
  Pass(Milliseconds(100));
  BOOST_TEST((rounds == std::vector<int>{0, 1}));
}

// Streams that began before the second version appeared have no origin.
BOOST_FIXTURE_TEST_CASE(AStreamWithoutOriginIsOfTheFormerOnlyVersion,
                        finder_fixture) {
  AddSecondVersion();
  Find();
  Pass(Milliseconds(300));
  BOOST_TEST(HasFound(v1));
}

// Guards against a node that has started since and takes a stream without a
// known origin for one of the version that it saw first.
BOOST_FIXTURE_TEST_CASE(ANodeThatMissedMessagesInfersNothing, finder_fixture) {
  AddSecondVersion();
  awareness.hears_most = false;
  Pass(Seconds(1));
  awareness.hears_most = true;
  Find();
  Pass(Milliseconds(300));
  BOOST_TEST(IsRefused());
  // Another node that has received all origins may infer it.
  Find();
  Reply(origin_knowledge::unrecorded, v1);
  BOOST_TEST(HasFound(v1));
  Pass(kSpan);
  Find();
  Pass(Milliseconds(300));
  BOOST_TEST(IsRefused());
}

// Guards against a cut-off node that goes on with a stream at the only version
// that it knows, while another one has joined.
BOOST_FIXTURE_TEST_CASE(AnOutdatedListIsNotTrusted, finder_fixture) {
  awareness.list_age = Milliseconds(1500);
  receivers = 0;
  Find();
  BOOST_TEST(IsRefused());
  BOOST_TEST(found->reason == "list_unconfirmed");
}

// Guards against a process that serves after it has stood still, before its
// timers have run.
BOOST_FIXTURE_TEST_CASE(ANodeThatHasJustWokenAsks, finder_fixture) {
  now += Seconds(5);
  BOOST_TEST(!Find().has_value());
  BOOST_TEST(rounds == std::vector<int>{0});
}

// Guards against streams of the only version that are refused while no node can
// read the list, because the store is away.
BOOST_FIXTURE_TEST_CASE(AnOutageOfTheStoreRefusesNothing, finder_fixture) {
  awareness.list_age = Seconds(4);
  Find();
  Reply(origin_knowledge::unknown_of_one);
  Reply(origin_knowledge::unknown_of_one);
  Reply(origin_knowledge::unknown_of_one);
  Reply(origin_knowledge::unknown_of_one);
  BOOST_TEST(HasFound(v1));
}

// While its list is current and has one version, a node can miss no origin.
BOOST_FIXTURE_TEST_CASE(AGapBeforeTheSecondVersionMissesNothing,
                        finder_fixture) {
  awareness.hears_most = false;
  Pass(Seconds(1));
  awareness.hears_most = true;
  AddSecondVersion();
  Find();
  Pass(Milliseconds(300));
  BOOST_TEST(HasFound(v1));
}

BOOST_FIXTURE_TEST_CASE(ANodeThatKnowsOfAnotherVersionIsBelieved,
                        finder_fixture) {
  awareness.list_age = Seconds(4);
  Find();
  Reply(origin_knowledge::unknown);
  for (int i = 0; i < 3; ++i)
    Reply(origin_knowledge::unknown_of_one);
  BOOST_TEST(IsRefused());
  BOOST_TEST(found->reason == "unknown_version");
}

// Until the list is known to have missed nothing, the others are asked; their
// silence refuses nothing.
BOOST_FIXTURE_TEST_CASE(AGapInTheListIsFollowedByQuestions, finder_fixture) {
  awareness.list_age = Seconds(4);
  Pass(Seconds(1));
  awareness.list_age = {};
  Pass(Seconds(1));
  BOOST_TEST(!Find().has_value());
  Pass(Milliseconds(300));
  BOOST_TEST(HasFound(v1));
  Pass(kSpan);
  BOOST_TEST(Find().has_value());
}

// Guards against nodes that have just started and do not know the versions from
// before.
BOOST_FIXTURE_TEST_CASE(WithoutTheHistoryOneVersionIsNotTheOnlyOne,
                        finder_fixture) {
  awareness.knows_history = false;
  stream_version_finder started_now(
      versions, origins, [this](time_point) { return awareness; },
      [](const origin_query&, int) { return 0; }, now);
  const auto find = [&] {
    found.reset();
    started_now.Find(service, stream, now,
                     [this](const stream_version& result) { found = result; });
  };
  find();
  BOOST_TEST(!found.has_value());
  now += Milliseconds(300);
  started_now.Check(now);
  BOOST_TEST(IsRefused());
  BOOST_TEST(found->reason == "unknown_history");
  find();
  awareness.knows_history = true;
  started_now.Check(now);
  BOOST_TEST(HasFound(v1));
}

BOOST_FIXTURE_TEST_CASE(CallsForOneStreamShareAQuestion, finder_fixture) {
  AddSecondVersion();
  int answers = 0;
  for (int i = 0; i < 3; ++i)
    finder.Find(service, stream, now, [&](const stream_version& result) {
      answers += static_cast<int>(result.version == v2);
    });
  BOOST_TEST(finder.pending_count() == 1u);
  Reply(origin_knowledge::recorded, v2);
  BOOST_TEST(answers == 3);
  BOOST_TEST(finder.pending_count() == 0u);
}

BOOST_FIXTURE_TEST_CASE(RepliesStateWhatTheNodeKnows, finder_fixture) {
  const origin_query query{stream, service};
  BOOST_TEST((finder.Answer(query, now) ==
              origin_reply{stream, origin_knowledge::unrecorded, v1}));
  AddSecondVersion();
  BOOST_TEST((finder.Answer(query, now) ==
              origin_reply{stream, origin_knowledge::unrecorded, v1}));
  origins.Learn({stream, v2}, now);
  BOOST_TEST((finder.Answer(query, now) ==
              origin_reply{stream, origin_knowledge::recorded, v2}));
  awareness.hears_most = false;
  const origin_query other{request_id("r2"), service};
  BOOST_TEST((finder.Answer(other, now) ==
              origin_reply{other.attempt, origin_knowledge::unknown, {}}));
}

}  // namespace
}  // namespace jasminepath::gateway
