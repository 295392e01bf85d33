#include "inbound_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>

#include <algorithm>
#include <charconv>
#include <istream>
#include <optional>
#include <utility>

#include "caller_credentials.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/endpoint/header_filter.h"

namespace jasminepath::node {
namespace {

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kCompletionsPath[] = "/v1/completions";
constexpr char kIdempotencyHeader[] = "Idempotency-Key";
constexpr char kDeadlineHeader[] = "X-Deadline-Ms";
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kReadChunkBytes = 16 * 1024;

using Poco::Net::HTTPServerRequest;

refusal MakeNotRunRefusal(refusal_code code, std::string message) {
  return refusal{code, run_state::not_run, std::move(message), std::nullopt};
}

refusal MakeBadRequest(std::string message) {
  return MakeNotRunRefusal(refusal_code::bad_request, std::move(message));
}

std::vector<endpoint::header> HeadersOf(const HTTPServerRequest& request) {
  std::vector<endpoint::header> headers;
  for (const auto& [name, value] : request)
    headers.push_back({name, value});
  return headers;
}

int64_t HeaderSize(const HTTPServerRequest& request,
                   const std::vector<endpoint::header>& headers) {
  auto size = static_cast<int64_t>(request.getURI().size());
  for (const endpoint::header& field : headers)
    size += static_cast<int64_t>(field.name.size() + field.value.size());
  return size;
}

// Validates the framing of the body and returns its length in bytes.
result<int64_t, refusal> CheckBodyLength(const HTTPServerRequest& request,
                                         const inbound_limits& limits) {
  if (request.getChunkedTransferEncoding())
    return MakeBadRequest(
        "Transfer-Encoding: a chunked body is not accepted; send "
        "Content-Length");
  if (!request.hasContentLength())
    return int64_t{0};
  const int64_t length = request.getContentLength64();
  if (length < 0)
    return MakeBadRequest("Content-Length: expected a whole number of bytes");
  if (length > limits.max_body_bytes.count())
    return MakeNotRunRefusal(refusal_code::too_large,
                             "body: at most " +
                                 std::to_string(limits.max_body_bytes.count()) +
                                 " bytes are accepted");
  return length;
}

// Reads the available bytes, but blocks until there is at least one. Returns
// false at the end of the stream or on an error.
bool ReadSome(std::istream& stream, std::string& body, std::size_t max_bytes) {
  const int first = stream.get();
  if (first == std::istream::traits_type::eof())
    return false;
  body += static_cast<char>(first);
  const auto ready = std::max<std::streamsize>(0, stream.rdbuf()->in_avail());
  const std::size_t count = std::min(
      {static_cast<std::size_t>(ready), max_bytes - 1, kReadChunkBytes});
  if (count == 0)
    return true;
  const std::size_t before = body.size();
  body.resize(before + count);
  stream.read(body.data() + before, static_cast<std::streamsize>(count));
  return stream.gcount() == static_cast<std::streamsize>(count);
}

result<std::string, refusal> ReadBody(HTTPServerRequest& request,
                                      const inbound_limits& limits) {
  const auto length = CheckBodyLength(request, limits);
  if (!length)
    return length.error();
  const auto expected_bytes = static_cast<std::size_t>(length.value());
  const time_point deadline = boot_clock::now() + limits.body_timeout;
  std::string body;
  body.reserve(expected_bytes);
  try {
    while (body.size() < expected_bytes) {
      if (boot_clock::now() > deadline)
        return MakeBadRequest("body: it came too slowly");
      if (!ReadSome(request.stream(), body, expected_bytes - body.size()))
        return MakeBadRequest("body: it ended before Content-Length bytes");
    }
  } catch (const Poco::Exception&) {
    return MakeBadRequest("body: it ended before Content-Length bytes");
  }
  return body;
}

result<std::optional<duration>, refusal> ReadDeadline(
    const HTTPServerRequest& request) {
  if (!request.has(kDeadlineHeader))
    return std::optional<duration>();
  const std::string& text = request.get(kDeadlineHeader);
  int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || milliseconds < 1 || milliseconds > kMaxDeadlineMs)
    return MakeBadRequest(
        "X-Deadline-Ms: expected a whole number from 1 to "
        "3600000");
  return std::optional<duration>(Milliseconds(milliseconds));
}

result<std::optional<std::string>, refusal> ReadIdempotencyKey(
    const HTTPServerRequest& request) {
  if (!request.has(kIdempotencyHeader))
    return std::optional<std::string>();
  const std::string& key = request.get(kIdempotencyHeader);
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes)
    return MakeBadRequest("Idempotency-Key: expected 1 to 255 characters");
  return std::optional<std::string>(key);
}

result<std::optional<std::string>, refusal> ReadKey(
    const HTTPServerRequest& request) {
  auto key = ReadPresentedKey(request);
  if (key)
    return key.value();
  const bool is_conflicting = key.error() == credential_error::conflicting;
  return MakeNotRunRefusal(
      refusal_code::unauthenticated,
      is_conflicting ? "the request shows two different keys; send one"
                     : "Authorization: expected \"Bearer <key>\"");
}

std::string PathOnly(const std::string& target) {
  return target.substr(0, target.find_first_of("?#"));
}

result<bool, refusal> FillModelCall(model_api api,
                                    const std::string& body,
                                    const inbound_limits& limits,
                                    inbound_call& call) {
  const auto parsed = ParseModelCall(api, body, limits.model);
  if (!parsed)
    return MakeBadRequest(parsed.error().message);
  const model_call& value = parsed.value();
  decision::model_target target;
  target.model = value.model;
  target.adapter = value.adapter;
  target.prompt_tokens = value.prompt;
  target.max_tokens = value.max_tokens;
  target.prefix_hash = value.prefix_hash;
  call.arrival.target = target;
  call.arrival.streamed = value.is_streamed;
  call.endpoint_body = value.endpoint_body;
  call.is_engine = true;
  return true;
}

}  // namespace

result<inbound_call, refusal> ReadInboundCall(HTTPServerRequest& request,
                                              const request_id& id,
                                              const inbound_limits& limits) {
  const auto headers = HeadersOf(request);
  if (HeaderSize(request, headers) > limits.max_header_bytes.count())
    return MakeNotRunRefusal(
        refusal_code::too_large,
        "headers: at most " + std::to_string(limits.max_header_bytes.count()) +
            " bytes are accepted");
  auto key = ReadKey(request);
  if (!key)
    return key.error();
  auto deadline = ReadDeadline(request);
  if (!deadline)
    return deadline.error();
  auto idempotency_key = ReadIdempotencyKey(request);
  if (!idempotency_key)
    return idempotency_key.error();
  auto body = ReadBody(request, limits);
  if (!body)
    return body.error();

  inbound_call call;
  call.arrival.id = id;
  call.arrival.presented_key = std::move(key.value());
  call.arrival.deadline = deadline.value();
  call.arrival.idempotency_key = std::move(idempotency_key.value());
  call.arrival.body_digest = Sha256Hex(body.value());
  call.method = request.getMethod();
  call.endpoint_path = endpoint::RemoveKeyFromPath(request.getURI());
  call.endpoint_headers = endpoint::FilterRequestHeaders(headers);

  const std::string path = PathOnly(request.getURI());
  const bool is_chat = path == kChatPath;
  if (is_chat || path == kCompletionsPath) {
    if (call.method != "POST")
      return MakeNotRunRefusal(refusal_code::not_found, path + ": use POST");
    const auto filled = FillModelCall(
        is_chat ? model_api::chat_completions : model_api::completions,
        body.value(), limits, call);
    if (!filled)
      return filled.error();
    return call;
  }
  call.arrival.target = decision::route_target{call.method, path};
  call.endpoint_body = std::move(body.value());
  return call;
}

}  // namespace jasminepath::node
