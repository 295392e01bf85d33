#include "peer_group.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "table_copy.h"

namespace jasminepath::gateway {
namespace {

// How long a test waits for what has to happen; only a hang reaches it.
constexpr auto kTestPatience = std::chrono::seconds(10);

// The third node of each zone has most processor.
constexpr int kLargeNode = 2;
constexpr int64_t kLargeProcessor = 500;
constexpr int64_t kSmallProcessor = 120;

// Nodes on free ports of the loopback address, so many in each zone.
class peers_fixture {
 public:
  explicit peers_fixture(const std::vector<int>& zones) {
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
      for (int i = 0; i < zones[zone]; ++i)
        Start("n" + std::to_string(nodes_.size()),
              zone_id("z" + std::to_string(zone)),
              i == kLargeNode ? kLargeProcessor : kSmallProcessor);
    }
    for (const auto& from : nodes_) {
      for (const auto& to : nodes_)
        from->peers.Add(to->name, to->zone, to->processor,
                        "127.0.0.1:" + std::to_string(to->peers.port()),
                        boot_clock::now());
    }
  }

  // Every node hears every other one of its zone.
  void Introduce() {
    for (const auto& node : nodes_) {
      peer_digest digest;
      digest.node = node->name;
      digest.zone = node->zone;
      digest.processor = node->processor;
      digest.incarnation = 1;
      node->peers.SendDigest(digest, {}, boot_clock::now());
    }
    RunUntil([this] {
      for (const auto& node : nodes_) {
        for (const auto& [name, peer] : node->peers.peers()) {
          if (peer.zone == node->zone && peer.heard_at == time_point{})
            return false;
        }
      }
      return true;
    });
  }

  void Spread(std::size_t from) {
    load_notice notice;
    notice.model = model_id("m");
    nodes_[from]->peers.SpreadInZone(notice);
  }
  int NoticesAt(std::size_t i) const { return nodes_[i]->notices; }

  // The nodes of a zone with that node as their speaker.
  std::size_t SpeakerOf(std::size_t i) const {
    const vm_id speaker = nodes_[i]->peers.Speaker(boot_clock::now());
    for (std::size_t place = 0; place < nodes_.size(); ++place) {
      if (nodes_[place]->name == speaker)
        return place;
    }
    return i;
  }
  peer_group& At(std::size_t i) { return nodes_[i]->peers; }
  const vm_id& NameOf(std::size_t i) const { return nodes_[i]->name; }
  const std::vector<table_changes>& ChangesAt(std::size_t i) const {
    return nodes_[i]->changes;
  }
  const std::vector<peer_digest>& DigestsAt(std::size_t i) const {
    return nodes_[i]->digests;
  }
  void ForgetDigests() {
    for (const auto& node : nodes_)
      node->digests.clear();
  }
  std::size_t size() const { return nodes_.size(); }

  // Runs the loop until nothing has come for a while.
  void RunUntilQuiet() {
    int before = -1;
    while (before != datagrams_) {
      before = datagrams_;
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(50));
    }
  }

 private:
  struct test_node {
    test_node(http::event_loop& loop,
              const std::string& id,
              zone_id where,
              int64_t thousandths,
              report::event_log& log)
        : name(id),
          zone(std::move(where)),
          processor(thousandths),
          peers(loop, name, zone, processor, log) {}
    vm_id name;
    zone_id zone;
    int64_t processor;
    peer_group peers;
    int notices = 0;
    std::vector<peer_digest> digests;
    std::vector<table_changes> changes;
  };

  void Start(const std::string& name, const zone_id& zone, int64_t processor) {
    nodes_.push_back(
        std::make_unique<test_node>(loop_, name, zone, processor, log_));
    test_node& started = *nodes_.back();
    BOOST_REQUIRE(started.peers.Open("127.0.0.1:0"));
    started.peers.OnMessage([this, &started](const peer_message& message) {
      ++datagrams_;
      if (std::holds_alternative<load_notice>(message))
        ++started.notices;
      if (const auto* digest = std::get_if<peer_digest>(&message))
        started.digests.push_back(*digest);
      if (const auto* changes = std::get_if<table_changes>(&message))
        started.changes.push_back(*changes);
    });
  }

  void RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kTestPatience;
    while (!condition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      loop_.restart();
      loop_.run_one_for(std::chrono::milliseconds(20));
    }
  }

  http::event_loop loop_{1};
  report::event_log log_{"", "off", "test"};
  std::vector<std::unique_ptr<test_node>> nodes_;
  int datagrams_ = 0;
};

BOOST_AUTO_TEST_CASE(WhatIsSpreadReachesEachNodeOfTheZoneOnce) {
  for (const int count : {1, 2, 5, 6, 31}) {
    peers_fixture zone({count});
    zone.Introduce();
    for (std::size_t from = 0; from < zone.size(); ++from)
      zone.Spread(from);
    zone.RunUntilQuiet();
    // Once from each of the others.
    for (std::size_t i = 0; i < zone.size(); ++i)
      BOOST_TEST(zone.NoticesAt(i) == count - 1);
  }
}

BOOST_AUTO_TEST_CASE(NodesThatWereNotHeardYetGetItFromTheFirst) {
  peers_fixture zone({12});
  zone.Spread(0);
  zone.RunUntilQuiet();
  for (std::size_t i = 1; i < zone.size(); ++i)
    BOOST_TEST(zone.NoticesAt(i) == 1);
}

// What does not fit into one datagram is no reason for all nodes to fetch it.
BOOST_AUTO_TEST_CASE(LargeChangesTravelInSeveralDatagrams) {
  constexpr int64_t kRows = 300;
  peers_fixture zone({3});
  zone.Introduce();
  std::mt19937_64 random(5);
  table_changes changes;
  changes.table = "servers";
  changes.previous_change = 10;
  for (int64_t i = 1; i <= kRows; ++i) {
    std::string value;
    for (int word = 0; word < 6; ++word)
      value += std::to_string(random());
    changes.rows.push_back({"e" + std::to_string(i), value, 10 + i, false});
  }
  changes.last_change = changes.complete_to = 10 + kRows;
  zone.At(0).SpreadChanges(changes);
  zone.RunUntilQuiet();
  for (std::size_t i = 1; i < zone.size(); ++i) {
    BOOST_TEST(zone.ChangesAt(i).size() > 1);
    table_copy copy("servers");
    copy.TakeRead({{"e0", {"e0", "old", revision(10), false}}}, revision(10));
    for (const table_changes& piece : zone.ChangesAt(i))
      BOOST_TEST((copy.Take(piece) == table_copy::outcome::changed));
    BOOST_TEST(copy.rows().size() == static_cast<std::size_t>(kRows + 1));
    BOOST_TEST(copy.last_change() == revision(10 + kRows));
  }
}

BOOST_AUTO_TEST_CASE(DemandGoesToThePlacementHolderAlone) {
  peers_fixture peers({1, 4});
  peers.Introduce();
  const std::size_t speaker = peers.SpeakerOf(1);
  const std::size_t holder = speaker == 1 ? 2 : 1;
  peer_digest sum;
  sum.node = peer_group::NameOfZone(zone_id("z0"));
  sum.zone = zone_id("z0");
  sum.whole_zone = true;
  peers.ForgetDigests();
  peers.At(0).SendZoneSum(sum, peers.NameOf(holder), boot_clock::now());
  peers.RunUntilQuiet();
  const auto with_demand = [&peers](std::size_t i) {
    return std::count_if(peers.DigestsAt(i).begin(), peers.DigestsAt(i).end(),
                         [](const peer_digest& d) { return d.has_demand; });
  };
  BOOST_TEST(!peers.DigestsAt(speaker).empty());
  for (std::size_t i = 1; i < peers.size(); ++i)
    BOOST_TEST(with_demand(i) == (i == holder ? 1 : 0));
  // A holder that was added after this node had read who is there.
  peers.ForgetDigests();
  peers.At(0).SendZoneSum(sum, vm_id("added"), boot_clock::now());
  peers.RunUntilQuiet();
  BOOST_TEST(with_demand(speaker) >= 1);
}

BOOST_AUTO_TEST_CASE(TheNodeWithMostProcessorSpeaksForItsZone) {
  peers_fixture peers({12});
  peers.Introduce();
  for (std::size_t i = 0; i < peers.size(); ++i)
    BOOST_TEST(peers.SpeakerOf(i) == static_cast<std::size_t>(kLargeNode));
}

// A node that waits for a load tells the placement holder of another zone. The
// holder's zone must not take it for one of its own, even if the holder speaks
// for it: it would be charged for rates and counted twice.
BOOST_AUTO_TEST_CASE(SpeakersPassOnZonesButNoSingleNodesOfThem) {
  peers_fixture peers({3, 4});
  peers.Introduce();
  peers.ForgetDigests();
  const std::size_t speaker = peers.SpeakerOf(3);
  peer_digest want;
  want.node = peers.NameOf(0);
  want.zone = zone_id("z0");
  peers.At(0).SendTo(peers.NameOf(speaker), want);
  peers.RunUntilQuiet();
  for (std::size_t i = 3; i < peers.size(); ++i)
    BOOST_TEST(peers.DigestsAt(i).size() == (i == speaker ? 1U : 0U));
  peer_digest sum = want;
  sum.node = peer_group::NameOfZone(want.zone);
  sum.whole_zone = true;
  sum.models = {{model_id("m"), {}, 1, 1}};
  peers.At(0).SendTo(peers.NameOf(speaker), sum);
  peers.RunUntilQuiet();
  for (std::size_t i = 3; i < peers.size(); ++i) {
    BOOST_TEST_REQUIRE(!peers.DigestsAt(i).empty());
    const peer_digest& last = peers.DigestsAt(i).back();
    BOOST_TEST((last.node == sum.node));
    BOOST_TEST(last.has_demand == (i == speaker));
  }
}

}  // namespace
}  // namespace jasminepath::gateway
