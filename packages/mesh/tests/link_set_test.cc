#include "jasminepath/mesh/link_set.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace jasminepath::mesh {
namespace {

constexpr duration kReceiveTimeout = Seconds(20);
constexpr std::size_t kRingCapacity = 4096;

// One instance that listens on the loopback interface.
struct test_instance {
  explicit test_instance(const std::string& name)
      : id(name),
        ring(kRingCapacity),
        links(
            std::move(link_set::MakeLinkSet(id, "127.0.0.1:0", ring).value())) {
  }

  link_peer peer() const {
    return {.instance = id, .address = links.address()};
  }

  instance_id id;
  bounded_ring<envelope> ring;
  link_set links;
};

node_message MakeHeartbeat(int64_t sequence) {
  decision::heartbeat_message heartbeat;
  heartbeat.sequence = sequence;
  return decision::fleet_message(heartbeat);
}

int64_t SequenceOf(const envelope& received) {
  const auto& message = std::get<decision::fleet_message>(received.message);
  return std::get<decision::heartbeat_message>(message).sequence;
}

BOOST_AUTO_TEST_CASE(MessagesArriveInOrderWithSenderId) {
  test_instance a("a");
  test_instance b("b");
  a.links.SetLinks({b.peer()});
  for (int64_t i = 1; i <= 20; ++i)
    BOOST_TEST(a.links.Send(b.peer(), MakeHeartbeat(i)));
  for (int64_t i = 1; i <= 20; ++i) {
    const auto received = b.ring.PopWithin(kReceiveTimeout);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(SequenceOf(*received) == i);
    BOOST_TEST(received->sequence == i);
    BOOST_TEST(received->from == a.id);
  }
  BOOST_TEST(b.links.counters().received == 20);
}

BOOST_AUTO_TEST_CASE(MessageForAnotherInstanceIsDiscarded) {
  test_instance a("a");
  test_instance b("b");
  const link_peer previous_instance{.instance = instance_id("old"),
                                    .address = b.links.address()};
  a.links.Send(previous_instance, MakeHeartbeat(1));
  a.links.Send(b.peer(), MakeHeartbeat(2));
  const auto received = b.ring.PopWithin(kReceiveTimeout);
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST(SequenceOf(*received) == 2);
}

BOOST_AUTO_TEST_CASE(MessageWithoutReceiverIdIsAccepted) {
  test_instance a("a");
  test_instance b("b");
  a.links.Send({.instance = instance_id(), .address = b.links.address()},
               MakeHeartbeat(5));
  const auto received = b.ring.PopWithin(kReceiveTimeout);
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST(SequenceOf(*received) == 5);
}

BOOST_AUTO_TEST_CASE(UnreachablePeerDoesNotBlockOtherPeers) {
  test_instance a("a");
  test_instance b("b");
  const link_peer unreachable{.instance = instance_id("gone"),
                              .address = "127.0.0.1:1"};
  int64_t dropped = 0;
  for (int64_t i = 0; i < 1000; ++i)
    dropped += a.links.Send(unreachable, MakeHeartbeat(i)) ? 0 : 1;
  BOOST_TEST(dropped > 0);
  BOOST_TEST(a.links.counters().send_dropped == dropped);
  BOOST_TEST(a.links.Send(b.peer(), MakeHeartbeat(7)));
  const auto received = b.ring.PopWithin(kReceiveTimeout);
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST(SequenceOf(*received) == 7);
}

BOOST_AUTO_TEST_CASE(MessagesForFullRingAreDroppedAndCounted) {
  instance_id id("small");
  bounded_ring<envelope> ring(1);
  auto made = link_set::MakeLinkSet(id, "127.0.0.1:0", ring);
  link_set& small = made.value();
  test_instance a("a");
  const link_peer peer{.instance = id, .address = small.address()};
  const time_point deadline = boot_clock::now() + kReceiveTimeout;
  int64_t sequence = 0;
  while (small.counters().ring_dropped == 0 && boot_clock::now() < deadline)
    a.links.Send(peer, MakeHeartbeat(++sequence));
  BOOST_TEST(small.counters().ring_dropped > 0);
}

BOOST_AUTO_TEST_CASE(RedialReachesRestartedPeer) {
  test_instance a("a");
  auto b = std::make_optional<test_instance>("b");
  const link_peer peer = b->peer();
  a.links.SetLinks({peer});
  a.links.Send(peer, MakeHeartbeat(1));
  BOOST_REQUIRE(b->ring.PopWithin(kReceiveTimeout).has_value());
  b.reset();
  bounded_ring<envelope> ring(kRingCapacity);
  auto restarted = link_set::MakeLinkSet(peer.instance, peer.address, ring);
  BOOST_REQUIRE(restarted.has_value());
  a.links.Redial(peer);
  BOOST_TEST(a.links.counters().redials == 1);
  std::optional<envelope> received;
  const time_point deadline = boot_clock::now() + kReceiveTimeout;
  while (!received && boot_clock::now() < deadline) {
    a.links.Send(peer, MakeHeartbeat(2));
    received = ring.PopWithin(Milliseconds(50));
  }
  BOOST_REQUIRE(received.has_value());
  BOOST_TEST(SequenceOf(*received) == 2);
}

BOOST_AUTO_TEST_CASE(UnavailableListenAddressIsRejected) {
  bounded_ring<envelope> ring(8);
  const auto made =
      link_set::MakeLinkSet(instance_id("a"), "203.0.113.7:1", ring);
  BOOST_REQUIRE(!made.has_value());
  BOOST_TEST((made.error() == mesh_error::bad_address));
}

}  // namespace
}  // namespace jasminepath::mesh
