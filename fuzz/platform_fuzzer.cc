#include "fuzz_check.h"
#include "jasminepath/platform_adapter/boot_settings.h"
#include "jasminepath/platform_adapter/platform_codec.h"

// Any input from the platform, an endpoint or a caller is either decoded or
// rejected with a reason.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, std::size_t size) {
  using namespace jasminepath;
  static const platform_adapter::platform_codec codec;
  const std::string text = fuzz::InputText(data, size);
  const auto settings = platform_adapter::ParseBootSettings(text);
  fuzz::Require(settings || !settings.error().message.empty(),
                "the rejection of settings has a reason");
  const auto site = codec.DecodeSite(text);
  fuzz::Require(site || !site.error().message.empty(),
                "the rejection of a configuration has a reason");
  const auto entry = codec.DecodeEndpoint("e", text);
  fuzz::Require(entry || !entry.error().message.empty(),
                "the rejection of an entry has a reason");
  const http::response answer{{200, {{"Store-Era", text}}}, text};
  const auto era = codec.EraOf(answer);
  fuzz::Require(!era || *era >= gateway::store_era(), "an era is not negative");
  const auto rows = codec.DecodeRows(answer, gateway::store_era());
  fuzz::Require(rows || !rows.error().message.empty(),
                "the rejection of rows has a reason");
  const auto report = codec.DecodeReport(answer);
  fuzz::Require(report || !report.error().message.empty(),
                "the rejection of a report has a reason");
  http::request call;
  call.method = "POST";
  call.target = "/a/b";
  for (const char* name : {"Host", "Attempt-Id", "Deadline-Ms", "Token-Count",
                           "Prompt-Prefix", "Model"})
    call.headers.Add(name, text);
  const auto request = codec.DecodeRequest(call);
  fuzz::Require(request || !request.error().message.empty(),
                "the rejection of a request has a reason");
  return 0;
}
