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
                           bool event_stream_wanted,
                           bytes held_limit,
                           std::function<void()> on_first_byte)
    : caller_(caller),
      event_stream_wanted_(event_stream_wanted),
      held_limit_(held_limit),
      on_first_byte_(std::move(on_first_byte)) {}

void answer_relay::BeginAttempt(bool resumed) {
  splitter_.Reset();
  held_.clear();
  status_ = 0;
  if (resumed)
    return;
  streaming_events_ = false;
  numbered_ = true;
  next_event_ = 0;
  events_ = 0;
}

void answer_relay::OnHead(int status,
                          const std::vector<endpoint::header>& headers) {
  status_ = status;
  headers_ = endpoint::FilterResponseHeaders(headers);
  const bool events = event_stream_wanted_ && IsEventStream(status, headers);
  streaming_events_ = streaming_events_ || events;
}

bool answer_relay::OnBody(std::string_view part) {
  if (!part.empty())
    ReportFirstByte();
  if (streaming_events_ && status_ == kStatusOk)
    return RelayEvents(part);
  if (relaying_)
    return Relay(part);
  return Hold(part);
}

tokens answer_relay::generated() const {
  const auto usage = usage_ ? usage_ : FindTokenUsage(held_);
  return usage ? usage->generated : tokens(events_);
}

bool answer_relay::Finish() {
  if (relaying_)
    return caller_.EndStream();
  return caller_.SendWhole(status_, headers_, held_);
}

void answer_relay::BeginRelay() {
  if (relaying_)
    return;
  relaying_ = true;
  if (!caller_.BeginStream(status_, headers_))
    caller_gone_ = true;
}

bool answer_relay::RelayEvents(std::string_view part) {
  if (!splitter_.Append(part))
    return false;
  while (auto event = splitter_.Next()) {
    if (event->index && *event->index < next_event_)
      continue;
    numbered_ = numbered_ && (event->index.has_value() || event->done);
    if (event->index)
      next_event_ = *event->index + 1;
    done_ = done_ || event->done;
    if (!event->done)
      ++events_;
    if (const auto usage = FindTokenUsage(event->raw))
      usage_ = usage;
    BeginRelay();
    if (!Relay(event->raw))
      return false;
  }
  return true;
}

bool answer_relay::Hold(std::string_view part) {
  held_.append(part);
  if (static_cast<int64_t>(held_.size()) <= held_limit_.count())
    return true;
  BeginRelay();
  const std::string begun = std::exchange(held_, std::string());
  return Relay(begun);
}

void answer_relay::ReportFirstByte() {
  if (first_byte_seen_)
    return;
  first_byte_seen_ = true;
  on_first_byte_();
}

bool answer_relay::Relay(std::string_view part) {
  if (!caller_gone_ && caller_.WriteStream(part)) {
    relayed_ = true;
    return true;
  }
  caller_gone_ = true;
  return false;
}

}  // namespace jasminepath::node
