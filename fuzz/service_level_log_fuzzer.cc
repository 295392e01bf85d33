#include "fuzz_check.h"
#include "jasminepath/report/service_level.h"

// An accepted log is unchanged after it is serialized and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const auto log = report::ServiceLevelLogFromJson(fuzz::InputText(data, size));
  if (!log)
    return 0;
  const auto again =
      report::ServiceLevelLogFromJson(report::ToJson(log.value()));
  fuzz::Require(again.has_value() && again.value() == log.value(),
                "a round trip preserves the log");
  return 0;
}
