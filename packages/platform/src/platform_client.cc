#include "jasminepath/platform/platform_client.h"

#include <optional>
#include <utility>

#include "http_exchange.h"
#include "table_json.h"

namespace jasminepath::platform {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusConflict = 409;

bool IsSuccess(const http_answer& answer) {
  return answer.status >= kStatusOk && answer.status <= kStatusNoContent;
}

// If the body of a successful answer cannot be parsed, the outcome is unknown.
template <typename Value>
result<Value, platform_error> ValueOrOutcomeLost(std::optional<Value> parsed) {
  if (!parsed)
    return platform_error::outcome_lost;
  return std::move(*parsed);
}

http_call MakeRead(std::string target) {
  return {.method = "GET",
          .target = std::move(target),
          .body = {},
          .only_if_absent = false};
}

result<void, platform_error> ToVoidResult(
    const result<http_answer, platform_error>& answer) {
  if (!answer)
    return answer.error();
  if (!IsSuccess(answer.value()))
    return ErrorOf(answer.value());
  return success();
}

// Parses the body of a successful answer with `parse`.
template <typename Value>
result<Value, platform_error> ToValue(
    const result<http_answer, platform_error>& answer,
    std::optional<Value> (*parse)(const std::string&)) {
  if (!answer)
    return answer.error();
  if (!IsSuccess(answer.value()))
    return ErrorOf(answer.value());
  return ValueOrOutcomeLost(parse(answer.value().body));
}

}  // namespace

platform_client::platform_client(std::string address, client_timeouts timeouts)
    : address_(std::move(address)), timeouts_(timeouts) {}

result<transaction_outcome, platform_error> platform_client::Commit(
    const transaction& change) {
  const http_call call{.method = "POST",
                       .target = "/table/transact",
                       .body = EncodeTransaction(change),
                       .only_if_absent = false};
  const auto answer = Exchange(address_, timeouts_, call);
  if (answer && answer.value().status == kStatusConflict)
    return ValueOrOutcomeLost(ParseConflicts(answer.value().body));
  return ToValue(answer, &ParseCommitted);
}

result<row_page, platform_error> platform_client::ReadSince(
    const std::string& prefix,
    revision since) {
  const std::string target = "/table/rows?prefix=" + EncodeName(prefix) +
                             "&since=" + std::to_string(since.count());
  return ToValue(Exchange(address_, timeouts_, MakeRead(target)),
                 &ParseRowPage);
}

result<void, platform_error> platform_client::Put(const std::string& name,
                                                  const std::string& body) {
  const http_call call{.method = "PUT",
                       .target = "/objects/" + EncodeName(name),
                       .body = body,
                       .only_if_absent = false};
  return ToVoidResult(Exchange(address_, timeouts_, call));
}

result<void, platform_error> platform_client::Create(const std::string& name,
                                                     const std::string& body) {
  const http_call call{.method = "PUT",
                       .target = "/objects/" + EncodeName(name),
                       .body = body,
                       .only_if_absent = true};
  return ToVoidResult(Exchange(address_, timeouts_, call));
}

result<std::string, platform_error> platform_client::Get(
    const std::string& name) {
  const auto answer =
      Exchange(address_, timeouts_, MakeRead("/objects/" + EncodeName(name)));
  if (!answer)
    return answer.error();
  if (!IsSuccess(answer.value()))
    return ErrorOf(answer.value());
  return answer.value().body;
}

result<std::vector<std::string>, platform_error> platform_client::List(
    const std::string& prefix) {
  const std::string target = "/objects?prefix=" + EncodeName(prefix);
  return ToValue(Exchange(address_, timeouts_, MakeRead(target)), &ParseNames);
}

result<std::vector<listed_vm>, platform_error> platform_client::ListVms() {
  return ToValue(Exchange(address_, timeouts_, MakeRead("/vms")), &ParseVmList);
}

}  // namespace jasminepath::platform
