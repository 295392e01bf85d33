#include "fuzz_check.h"
#include "jasminepath/gateway/peer_digest.h"

// A datagram that is read is the same after it was written and read again;
// others are refused.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const auto first = gateway::DecodePeerMessage(fuzz::InputText(data, size));
  if (!first)
    return 0;
  const auto second = gateway::DecodePeerMessage(
      gateway::EncodePeerMessage(first->message, first->broadcast_origin));
  fuzz::Require(second.has_value(), "a written message is read");
  fuzz::Require(*first == *second, "a round trip is exact");
  return 0;
}
