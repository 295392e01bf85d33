#include "jasminepath/mesh/message_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace jasminepath::mesh {
namespace {

envelope MakeHeartbeat() {
  decision::heartbeat_message heartbeat;
  heartbeat.sequence = 17;
  heartbeat.echo = 16;
  heartbeat.facts = {.reflects_through = revision(900),
                     .highest = revision(905),
                     .changes_after = revision(12),
                     .hash = 0xffff'ffff'ffff'fff0ULL};
  heartbeat.platform_age = Milliseconds(250);
  heartbeat.silent = {{.instance = instance_id("x"), .hops = 2}};
  heartbeat.chosen = true;
  return {.from = instance_id("a"),
          .to = instance_id("b"),
          .sequence = 3,
          .message = decision::fleet_message(heartbeat)};
}

envelope MakePage(const std::string& value) {
  decision::fact_page page;
  page.through = revision(20);
  page.last = false;
  page.rows = {
      {.key = "fact/x",
       .value = value,
       .version = revision(19),
       .deleted = false},
      {.key = "fact/y", .value = "", .version = revision(20), .deleted = true}};
  return {.from = instance_id("a"),
          .to = instance_id(),
          .sequence = 1,
          .message = decision::fleet_message(page)};
}

envelope MakeReport() {
  const decision::replica_report report{
      .model = model_id("m"),
      .model_epoch = epoch(4),
      .vm = vm_id("v"),
      .vm_epoch = epoch(5),
      .sequence = 6,
      .number = 7,
      .state = decision::replica_state::loading,
      .version = "2",
      .reason = decision::report_reason::failed};
  return {.from = instance_id("a"),
          .to = instance_id("b"),
          .sequence = 9,
          .message = decision::placement_message(report)};
}

BOOST_AUTO_TEST_CASE(MessagesOfEachGroupRoundTrip) {
  const decision::token_loan loan{.transfer = decision::transfer_id("t"),
                                  .lender = instance_id("a"),
                                  .team = team_id("team"),
                                  .amount = tokens(-5),
                                  .remaining = tokens(1'000'000'000'000)};
  const envelope with_loan{.from = instance_id("a"),
                           .to = instance_id("b"),
                           .sequence = 2,
                           .message = decision::admission_message(loan)};
  for (const envelope& sent :
       {MakeHeartbeat(), MakePage("text"), MakeReport(), with_loan}) {
    const auto bytes = Encode(sent);
    BOOST_REQUIRE(bytes.has_value());
    const auto received = Decode(bytes.value());
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received.value() == sent));
  }
}

BOOST_AUTO_TEST_CASE(EncodedHeartbeatFitsIn120Bytes) {
  BOOST_TEST(Encode(MakeHeartbeat()).value().size() < 120u);
}

BOOST_AUTO_TEST_CASE(EnvelopeLargerThanLimitIsRejected) {
  const auto bytes = Encode(MakePage(std::string(kMaxEnvelopeBytes, 'x')));
  BOOST_REQUIRE(!bytes.has_value());
  BOOST_TEST((bytes.error() == codec_error::too_large));
}

BOOST_AUTO_TEST_CASE(OtherCodecVersionIsReported) {
  std::string bytes = Encode(MakeHeartbeat()).value();
  // The second byte holds the version.
  bytes[1] = static_cast<char>(kCodecVersion + 1);
  const auto received = Decode(bytes);
  BOOST_REQUIRE(!received.has_value());
  BOOST_TEST((received.error() == codec_error::unknown_version));
}

BOOST_AUTO_TEST_CASE(TruncatedBytesAreRejected) {
  const std::string bytes = Encode(MakePage("some text")).value();
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!Decode(std::string_view(bytes).substr(0, size)).has_value());
}

BOOST_AUTO_TEST_CASE(CorruptedBytesDecodeToValueOrError) {
  const std::vector<std::string> sources{Encode(MakeHeartbeat()).value(),
                                         Encode(MakePage("text")).value(),
                                         Encode(MakeReport()).value()};
  BOOST_TEST(rc::check("decoding changed bytes gives a value or an error", [&] {
    std::string bytes = *rc::gen::elementOf(sources);
    const auto changes = *rc::gen::container<std::vector<uint32_t>>(
        4, rc::gen::arbitrary<uint32_t>());
    for (const uint32_t change : changes)
      bytes[change % bytes.size()] = static_cast<char>(change >> 24);
    const auto received = Decode(bytes);
    RC_CLASSIFY(received.has_value(), "decoded");
    return !received.has_value() ||
           Decode(Encode(received.value()).value()).has_value();
  }));
}

}  // namespace
}  // namespace jasminepath::mesh
