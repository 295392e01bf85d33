#include "fuzz_check.h"
#include "jasminepath/config/node_settings.h"

// Settings are accepted or refused with at least one fault that has a remedy.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const auto parsed =
      config::ParseNodeSettings("fuzz", fuzz::InputText(data, size));
  if (parsed)
    return 0;
  fuzz::Require(!parsed.error().empty(), "a refusal has a fault");
  for (const config::fault& item : parsed.error())
    fuzz::Require(!item.remedy.empty(), "a fault has a remedy");
  return 0;
}
