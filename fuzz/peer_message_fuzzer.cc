#include "fuzz_check.h"
#include "jasminepath/gateway/peer_digest.h"

// A decoded datagram is unchanged after it is encoded and decoded again; all
// other datagrams are rejected.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const auto first = gateway::DecodePeerMessage(fuzz::InputText(data, size));
  if (!first)
    return 0;
  const auto second = gateway::DecodePeerMessage(
      gateway::EncodePeerMessage(first->message, first->broadcast_origin));
  fuzz::Require(second.has_value(), "an encoded message can be decoded");
  fuzz::Require(*first == *second, "a round trip preserves the message");
  return 0;
}
