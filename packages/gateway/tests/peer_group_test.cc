#include "peer_group.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminepath::gateway {
namespace {

// How long a test waits for what has to happen; only a hang reaches it.
constexpr auto kTestPatience = std::chrono::seconds(10);

// Nodes of one zone on free ports of the loopback address.
class zone_fixture {
 public:
  explicit zone_fixture(int count) {
    for (int i = 0; i < count; ++i)
      Start("n" + std::to_string(i));
    for (const auto& from : nodes_) {
      for (const auto& to : nodes_)
        from->peers.Add(to->name, kZone,
                        "127.0.0.1:" + std::to_string(to->peers.port()),
                        boot_clock::now());
    }
  }

  // Every node hears every other one.
  void Introduce() {
    for (const auto& node : nodes_) {
      peer_digest digest;
      digest.node = node->name;
      digest.zone = kZone;
      digest.incarnation = 1;
      node->peers.SendToZone(digest, digest, {});
    }
    RunUntil([this] {
      for (const auto& node : nodes_) {
        for (const auto& [name, peer] : node->peers.peers()) {
          if (peer.heard_at == time_point{})
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
  inline static const zone_id kZone{"z1"};

  struct test_node {
    test_node(http::event_loop& loop,
              const std::string& id,
              report::event_log& log)
        : name(id), peers(loop, name, kZone, log) {}
    vm_id name;
    peer_group peers;
    int notices = 0;
  };

  void Start(const std::string& name) {
    nodes_.push_back(std::make_unique<test_node>(loop_, name, log_));
    test_node& started = *nodes_.back();
    BOOST_REQUIRE(started.peers.Open("127.0.0.1:0"));
    started.peers.OnMessage(
        [this, &started](const peer_message& message, bool) {
          ++datagrams_;
          if (std::holds_alternative<load_notice>(message))
            ++started.notices;
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
    zone_fixture zone(count);
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
  zone_fixture zone(12);
  zone.Spread(0);
  zone.RunUntilQuiet();
  for (std::size_t i = 1; i < zone.size(); ++i)
    BOOST_TEST(zone.NoticesAt(i) == 1);
}

}  // namespace
}  // namespace jasminepath::gateway
