#include "fuzz_check.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/config/site_loader.h"

// A service file of a fixed site is either rejected with at least one fault, or
// compiled into a configuration that nodes accept.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const config::site_file site = {
      "site.json",
      R"({"site":"s","teams":[{"id":"care","rate_per_second":1,"burst":1}]})"};
  const auto parsed = config::ParseSite(
      site, {{"a.service.json", fuzz::InputText(data, size)}});
  if (!parsed) {
    fuzz::Require(!parsed.error().empty(),
                  "a rejection has at least one fault");
    return 0;
  }
  const auto read = config::ConfigurationFromJson(
      config::ToJson(parsed.value().compiled), revision(1));
  fuzz::Require(read.has_value(), "nodes accept a compiled configuration");
  return 0;
}
