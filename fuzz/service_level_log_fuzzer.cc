#include "fuzz_check.h"
#include "jasminepath/report/service_level.h"

// A log that is accepted is the same after it was written and read again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const auto log = report::ServiceLevelLogFromJson(fuzz::InputText(data, size));
  if (!log)
    return 0;
  const auto again =
      report::ServiceLevelLogFromJson(report::ToJson(log.value()));
  fuzz::Require(again.has_value() && again.value() == log.value(),
                "a round trip is exact");
  return 0;
}
