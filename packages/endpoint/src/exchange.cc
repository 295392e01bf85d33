#include "jasminepath/endpoint/exchange.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

#include "body_decoder.h"
#include "connection.h"
#include "head_syntax.h"

namespace jasminepath::endpoint {
namespace {

// Limit on the answer's head and on all informational heads before it.
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
// Error bodies up to this size are searched for the field "run".
constexpr std::size_t kMaxErrorBodyBytes = 16 * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;
constexpr int kFirstErrorStatus = 400;
constexpr char kRequestIdHeader[] = "X-Request-Id";

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
  });
}

bool IsSingleToken(std::string_view text) {
  return !text.empty() && text.find(' ') == std::string_view::npos &&
         !HasControlCharacter(text);
}

// Whether no part of the request can be parsed as an additional header line
// (header injection).
bool IsWellFormed(const outbound_request& request) {
  return IsSingleToken(request.method) && IsSingleToken(request.path) &&
         !HasControlCharacter(request.request_id) &&
         std::all_of(request.headers.begin(), request.headers.end(),
                     [](const header& field) {
                       return IsSingleToken(field.name) &&
                              !HasControlCharacter(field.value);
                     });
}

std::string FormatHead(const outbound_request& request) {
  Poco::Net::HTTPRequest head(request.method, request.path, "HTTP/1.1");
  for (const header& field : request.headers)
    head.add(field.name, field.value);
  head.setHost(request.address.host, request.address.port);
  head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
  head.setKeepAlive(false);
  if (!request.request_id.empty())
    head.set(kRequestIdHeader, request.request_id);
  std::ostringstream text;
  head.write(text);
  return std::move(text).str();
}

std::optional<response_head> ParseHead(std::string_view text) {
  if (!HasValidStatusLine(text) || !HasValidFields(text))
    return std::nullopt;
  std::istringstream stream{std::string(text)};
  Poco::Net::HTTPResponse parsed;
  try {
    parsed.read(stream);
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
  response_head head{parsed.getStatus(), {}};
  for (const auto& [name, value] : parsed)
    head.headers.push_back({name, value});
  return head;
}

std::optional<uint64_t> ParseLength(const std::string& text) {
  uint64_t length = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, length);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return length;
}

bool IsMarkedNotRun(const std::string& body) {
  try {
    Poco::JSON::Parser parser;
    const auto parsed = parser.parse(body);
    if (parsed.type() != typeid(Poco::JSON::Object::Ptr))
      return false;
    const auto object = parsed.extract<Poco::JSON::Object::Ptr>();
    return object->optValue<std::string>("run", "") ==
           ToString(run_state::not_run);
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

std::string_view ToString(exchange_failure_kind kind) {
  switch (kind) {
    case exchange_failure_kind::connect_failed:
      return "connect_failed";
    case exchange_failure_kind::cut:
      return "cut";
    case exchange_failure_kind::silent:
      return "silent";
    case exchange_failure_kind::cancelled:
      return "cancelled";
    case exchange_failure_kind::deadline:
      return "deadline";
    case exchange_failure_kind::crossed:
      return "crossed";
    case exchange_failure_kind::malformed:
      return "malformed";
  }
  return "malformed";
}

exchange_failure SinkCancelledFailure() {
  return {exchange_failure_kind::cancelled, run_state::unknown,
          "the sink cancelled the exchange"};
}

class exchange::impl {
 public:
  impl(const outbound_request& request,
       const cancellation& cancel,
       const exchange_deadlines& deadlines)
      : request_(request), connection_(cancel, deadlines) {}

  result<void, exchange_failure> Start() {
    if (!IsWellFormed(request_))
      return Malformed("the request's head is not valid HTTP");
    auto connected = connection_.Connect(request_.address);
    if (!connected)
      return connected.error();
    auto sent = connection_.Send(FormatHead(request_) + request_.body);
    if (!sent)
      return sent.error();
    auto head = ReadFinalHead();
    if (!head)
      return head.error();
    auto checked = CheckEcho();
    if (!checked)
      return checked.error();
    return ChooseDecoder();
  }

  result<std::string_view, exchange_failure> ReadBody() {
    while (true) {
      std::string_view data;
      const decode_state state = decoder_->Next(unread_, data);
      if (state == decode_state::complete)
        return std::string_view();
      if (state == decode_state::malformed)
        return Malformed("the body is not in valid chunked coding");
      if (state == decode_state::has_data) {
        RecordBody(data);
        return data;
      }
      buffer_.erase(0, buffer_.size() - unread_.size());
      auto more = connection_.Receive(buffer_);
      unread_ = buffer_;
      if (!more)
        return more.error();
      if (!more.value()) {
        return connection_.Fail(
            exchange_failure_kind::cut,
            "the connection ended before the end of the body");
      }
    }
  }

  exchange_summary Summary() const {
    const bool not_run =
        head_.status >= kFirstErrorStatus && IsMarkedNotRun(error_body_);
    return {head_.status, body_bytes_,
            not_run ? run_state::not_run : run_state::ran};
  }

  const response_head& head() const { return head_; }

 private:
  exchange_failure Malformed(std::string detail) const {
    return connection_.Fail(exchange_failure_kind::malformed,
                            std::move(detail));
  }

  // Reads heads until one is not informational (1xx).
  result<void, exchange_failure> ReadFinalHead() {
    std::size_t informational_bytes = 0;
    while (true) {
      const std::size_t end = buffer_.find(kHeadEnd);
      if (end != std::string::npos) {
        const std::size_t size = end + kHeadEnd.size();
        auto head = ParseHead(std::string_view(buffer_).substr(0, size));
        if (!head)
          return Malformed("the answer's head is not valid HTTP");
        buffer_.erase(0, size);
        head_ = std::move(*head);
        if (head_.status >= kFirstFinalStatus)
          return success();
        informational_bytes += size;
        if (informational_bytes > kMaxHeadBytes)
          return Malformed("the informational heads exceed 64 KiB");
        continue;
      }
      if (buffer_.size() > kMaxHeadBytes)
        return Malformed("the answer's head exceeds 64 KiB");
      auto more = connection_.Receive(buffer_);
      if (!more)
        return more.error();
      if (!more.value()) {
        return connection_.Fail(exchange_failure_kind::cut,
                                "the connection ended before the answer");
      }
    }
  }

  result<void, exchange_failure> CheckEcho() const {
    if (request_.echo == echo_rule::ignored)
      return success();
    const std::string* echo = FindHeader(head_.headers, kRequestIdHeader);
    const bool is_missing_allowed = request_.echo == echo_rule::if_present;
    if (echo == nullptr ? is_missing_allowed : *echo == request_.request_id)
      return success();
    return connection_.Fail(
        exchange_failure_kind::crossed,
        "X-Request-Id of the answer is missing or differs from the request's");
  }

  result<void, exchange_failure> ChooseDecoder() {
    unread_ = buffer_;
    if (request_.method == "HEAD" || head_.status == kNoContentStatus ||
        head_.status == kNotModifiedStatus) {
      decoder_ = body_decoder::ForLength(0);
      return success();
    }
    if (const auto* coding = FindHeader(head_.headers, "Transfer-Encoding")) {
      if (!IsEqualIgnoringCase(*coding, "chunked"))
        return Malformed("unsupported transfer coding");
      decoder_ = body_decoder::ForChunks();
      return success();
    }
    const auto* field = FindHeader(head_.headers, "Content-Length");
    const auto length = field ? ParseLength(*field) : std::nullopt;
    if (!length)
      return Malformed("the answer has no valid length");
    decoder_ = body_decoder::ForLength(*length);
    return success();
  }

  void RecordBody(std::string_view data) {
    body_bytes_ += data.size();
    if (head_.status < kFirstErrorStatus)
      return;
    const std::size_t room = kMaxErrorBodyBytes - error_body_.size();
    error_body_.append(data.substr(0, room));
  }

  const outbound_request& request_;
  connection connection_;
  response_head head_;
  std::optional<body_decoder> decoder_;
  // Received bytes; `unread_` refers to those that are not yet decoded.
  std::string buffer_;
  std::string_view unread_;
  uint64_t body_bytes_ = 0;
  std::string error_body_;
};

exchange::exchange(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
exchange::exchange(exchange&&) noexcept = default;
exchange& exchange::operator=(exchange&&) noexcept = default;
exchange::~exchange() = default;

result<exchange, exchange_failure> exchange::Start(
    const outbound_request& request,
    const cancellation& cancel,
    const exchange_deadlines& deadlines) {
  auto state = std::make_unique<impl>(request, cancel, deadlines);
  auto started = state->Start();
  if (!started)
    return started.error();
  return exchange(std::move(state));
}

const response_head& exchange::head() const {
  return impl_->head();
}

result<std::string_view, exchange_failure> exchange::ReadBody() {
  return impl_->ReadBody();
}

exchange_summary exchange::Summary() const {
  return impl_->Summary();
}

}  // namespace jasminepath::endpoint
