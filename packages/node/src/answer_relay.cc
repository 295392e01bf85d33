#include "answer_relay.h"

#include <utility>

#include "caller_connection.h"
#include "jasminepath/endpoint/header_filter.h"

namespace jasminepath::node {
namespace {

constexpr int kStatusOk = 200;
constexpr std::string_view kEventStreamType = "text/event-stream";

bool IsEventStream(int status, const std::vector<endpoint::header>& headers) {
  if (status != kStatusOk)
    return false;
  const std::string* type = endpoint::FindHeader(headers, "Content-Type");
  return type != nullptr && type->starts_with(kEventStreamType);
}

}  // namespace

answer_relay::answer_relay(caller_connection& caller,
                           bool accepts_event_stream,
                           bytes buffer_limit,
                           std::function<void()> on_first_byte)
    : caller_(caller),
      accepts_event_stream_(accepts_event_stream),
      buffer_limit_(buffer_limit),
      on_first_byte_(std::move(on_first_byte)) {}

void answer_relay::BeginAttempt(bool is_resumed) {
  splitter_.Reset();
  buffered_body_.clear();
  status_ = 0;
  is_resumed_ = is_resumed;
  is_ignored_ = false;
  if (is_resumed)
    return;
  is_event_stream_ = false;
  has_event_indexes_ = true;
  next_event_ = 0;
  event_count_ = 0;
}

void answer_relay::OnHead(int status,
                          const std::vector<endpoint::header>& headers) {
  const bool is_event_stream =
      accepts_event_stream_ && IsEventStream(status, headers);
  is_ignored_ = is_resumed_ && !is_event_stream;
  if (is_ignored_)
    return;
  status_ = status;
  headers_ = endpoint::FilterResponseHeaders(headers);
  is_event_stream_ = is_event_stream_ || is_event_stream;
}

bool answer_relay::OnBody(std::string_view part) {
  if (is_ignored_)
    return true;
  if (!part.empty())
    ReportFirstByte();
  if (is_event_stream_ && status_ == kStatusOk)
    return RelayEvents(part);
  if (is_relaying_)
    return Relay(part);
  return Buffer(part);
}

tokens answer_relay::generated() const {
  const auto usage = usage_ ? usage_ : FindTokenUsage(buffered_body_);
  return usage ? usage->generated : tokens(event_count_);
}

bool answer_relay::Finish() {
  if (is_relaying_)
    return caller_.EndStream();
  return caller_.SendAnswer(status_, headers_, buffered_body_);
}

void answer_relay::BeginRelay() {
  if (is_relaying_)
    return;
  is_relaying_ = true;
  if (!caller_.BeginStream(status_, headers_, is_event_stream_))
    is_caller_gone_ = true;
}

bool answer_relay::RelayEvents(std::string_view part) {
  if (!splitter_.Append(part))
    return false;
  while (auto event = splitter_.Next()) {
    // A stream that breaks off after "[DONE]" is resumed for its end only.
    if (has_done_event_ || (event->index && *event->index < next_event_))
      continue;
    if (is_resumed_ && !event->done && event->index != next_event_)
      return false;
    has_event_indexes_ =
        has_event_indexes_ && (event->index.has_value() || event->done);
    if (event->index)
      next_event_ = *event->index + 1;
    has_done_event_ = has_done_event_ || event->done;
    if (!event->done)
      ++event_count_;
    if (const auto usage = FindTokenUsage(event->raw))
      usage_ = usage;
    BeginRelay();
    if (!Relay(event->raw))
      return false;
  }
  return true;
}

bool answer_relay::Buffer(std::string_view part) {
  buffered_body_.append(part);
  if (static_cast<int64_t>(buffered_body_.size()) <= buffer_limit_.count())
    return true;
  BeginRelay();
  const std::string buffered = std::exchange(buffered_body_, std::string());
  return Relay(buffered);
}

void answer_relay::ReportFirstByte() {
  if (has_reported_first_byte_)
    return;
  has_reported_first_byte_ = true;
  on_first_byte_();
}

bool answer_relay::Relay(std::string_view part) {
  if (!is_caller_gone_ && caller_.WriteStream(part)) {
    has_relayed_ = true;
    return true;
  }
  is_caller_gone_ = true;
  return false;
}

}  // namespace jasminepath::node
