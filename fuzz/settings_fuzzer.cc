#include "fuzz_check.h"
#include "jasminepath/config/node_settings.h"

// Settings are either accepted or rejected with at least one fault, and every
// fault has a remedy.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const auto parsed =
      config::ParseNodeSettings("fuzz", fuzz::InputText(data, size));
  if (parsed)
    return 0;
  fuzz::Require(!parsed.error().empty(), "a rejection has at least one fault");
  for (const config::fault& item : parsed.error())
    fuzz::Require(!item.remedy.empty(), "a fault has a remedy");
  return 0;
}
