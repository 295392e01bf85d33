#include "fuzz_check.h"
#include "jasminepath/config/team_key_codec.h"

// Presented keys and key rows are either rejected or parsed without loss.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  const std::string text = fuzz::InputText(data, size);
  if (const auto key = config::ParsePresentedKey(text)) {
    const std::string joined =
        std::string(key->id) + "." + std::string(key->secret);
    fuzz::Require(joined == text, "a key consists of its id and its secret");
  }
  const auto row = config::TeamKeyFromJson(text);
  if (row) {
    const auto again = config::TeamKeyFromJson(config::ToJson(row.value()));
    fuzz::Require(again.has_value() && again.value() == row.value(),
                  "a round trip preserves the row");
  }
  return 0;
}
