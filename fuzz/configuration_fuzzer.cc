#include "fuzz_check.h"
#include "jasminepath/config/configuration_codec.h"

// An accepted configuration is unchanged after it is serialized and parsed
// again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const revision version(1);
  const auto first =
      config::ConfigurationFromJson(fuzz::InputText(data, size), version);
  if (!first)
    return 0;
  const auto second =
      config::ConfigurationFromJson(config::ToJson(first.value()), version);
  fuzz::Require(second.has_value(), "serialized JSON is accepted");
  fuzz::Require(first.value() == second.value(),
                "a round trip preserves the configuration");
  return 0;
}
