#include "jasminepath/gateway/peer_digest.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::gateway {
namespace {

// A digest with no field at its default.
peer_digest MakeFullDigest() {
  peer_digest digest;
  digest.node = vm_id("n1");
  digest.zone = zone_id("z1");
  digest.nodes = 2;
  digest.whole_zone = true;
  digest.incarnation = 3;
  digest.sequence = 4;
  digest.facts_address = "10.0.0.1:7601";
  digest.site_change = 5;
  digest.endpoints_change = 6;
  digest.authority_holder = vm_id("n2");
  digest.authority_epoch = 7;
  digest.authority_version = 8;
  digest.teams = {{team_id("t1"), 9}};
  digest.endpoints = {{endpoint_id("e1"), model_id("m1"), 2},
                      {endpoint_id("e1"), model_id("m2"), 3},
                      {endpoint_id("e2"), model_id("m1"), 4}};
  digest.models = {{model_id("m1"), adapter_id("a1"), 10, 11}};
  digest.unreachable = {endpoint_id("e3")};
  digest.crashes = {{12, 13}};
  digest.has_demand = true;
  digest.leaving = true;
  return digest;
}

BOOST_AUTO_TEST_CASE(DigestsKeepEveryField) {
  const peer_digest digest = MakeFullDigest();
  const auto decoded = DecodePeerMessage(EncodePeerMessage(digest));
  BOOST_TEST_REQUIRE(decoded.has_value());
  const auto* read = std::get_if<peer_digest>(&*decoded);
  BOOST_TEST_REQUIRE(read != nullptr);
  BOOST_TEST((*read == digest));
}

BOOST_AUTO_TEST_CASE(DigestsWithoutDemandKeepLoadAndRates) {
  const peer_digest digest = MakeFullDigest();
  const peer_digest brief = WithoutDemand(digest);
  BOOST_TEST(!brief.has_demand);
  BOOST_TEST(brief.models.empty());
  BOOST_TEST(brief.unreachable.empty());
  // Only the holder of placement asks which model runs.
  const std::vector<endpoint_use> load = {{endpoint_id("e1"), model_id(), 5},
                                          {endpoint_id("e2"), model_id(), 4}};
  BOOST_TEST((brief.endpoints == load));
  BOOST_TEST((brief.teams == digest.teams));
  BOOST_TEST((brief.crashes == digest.crashes));
  BOOST_TEST(brief.authority_epoch == digest.authority_epoch);
  BOOST_TEST(brief.sequence == digest.sequence);
}

BOOST_AUTO_TEST_CASE(ForeignDatagramsAreNotRead) {
  BOOST_TEST(!DecodePeerMessage("").has_value());
  BOOST_TEST(!DecodePeerMessage("GET / HTTP/1.1\r\n\r\n").has_value());
  std::string bytes = EncodePeerMessage(MakeFullDigest());
  bytes.resize(bytes.size() / 2);
  BOOST_TEST(!DecodePeerMessage(bytes).has_value());
}

}  // namespace
}  // namespace jasminepath::gateway
