#include "jasminepath/endpoint/engine_client.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

#include <algorithm>
#include <sstream>
#include <utility>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/endpoint/whole_answer.h"

namespace jasminepath::endpoint {
namespace {

using json_object = Poco::JSON::Object;
using json_array = Poco::JSON::Array;

constexpr std::size_t kRequestIdBytes = 16;
// Limits on an engine's answers: a list of cache events, and any other answer.
constexpr std::size_t kMaxEventsBytes = 2 * 1024 * 1024;
constexpr std::size_t kMaxAnswerBytes = 256 * 1024;
// Limit on the elements of a JSON document, which take many times the memory of
// their text once parsed.
constexpr std::size_t kMaxJsonElements = 100'000;
constexpr char kTooManyElements[] = "the answer has too many elements";
constexpr int kOkStatus = 200;
constexpr int kAcceptedStatus = 202;
constexpr int kNoContentStatus = 204;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kNoMemoryStatus = 507;

std::string EncodePathPart(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "/?#&%", encoded);
  return encoded;
}

outbound_request ControlRequest(const endpoint_address& address,
                                std::string method,
                                std::string path,
                                std::string body = "") {
  outbound_request request;
  request.address = address;
  request.method = std::move(method);
  request.path = std::move(path);
  request.body = std::move(body);
  request.request_id = SecureRandomHex(kRequestIdBytes);
  if (!request.body.empty())
    request.headers.push_back({"Content-Type", "application/json"});
  return request;
}

engine_error ToEngineError(const exchange_failure& failure) {
  const auto kind = failure.run == run_state::not_run
                        ? engine_error_kind::unreachable
                        : engine_error_kind::outcome_lost;
  return {kind, std::string(ToString(failure.kind)) + ": " + failure.detail};
}

result<whole_answer, engine_error> Exchange(
    const outbound_request& request,
    duration timeout,
    std::size_t max_body_bytes = kMaxAnswerBytes) {
  const exchange_deadlines deadlines{boot_clock::now() + timeout, timeout,
                                     timeout};
  auto answer = FetchWhole(request, deadlines, max_body_bytes);
  if (!answer)
    return ToEngineError(answer.error());
  return std::move(answer).value();
}

engine_error Malformed(const std::string& detail) {
  return {engine_error_kind::malformed, detail};
}

// Throws a Poco exception if the text is not a JSON object.
json_object::Ptr ParseObject(const std::string& text) {
  const auto elements = std::count_if(text.begin(), text.end(), [](char c) {
    return c == ',' || c == '[' || c == '{';
  });
  if (static_cast<std::size_t>(elements) > kMaxJsonElements)
    throw Poco::DataFormatException(kTooManyElements);
  Poco::JSON::Parser parser;
  return parser.parse(text).extract<json_object::Ptr>();
}

// Returns a nested object; throws a Poco exception if it is missing.
json_object::Ptr RequireObject(const json_object& parent,
                               const std::string& name) {
  auto object = parent.getObject(name);
  if (object.isNull())
    throw Poco::DataFormatException("missing object", name);
  return object;
}

template <typename Id>
std::vector<Id> ParseIds(const json_object& parent, const std::string& name) {
  std::vector<Id> ids;
  const auto names = parent.getArray(name);
  if (names.isNull())
    return ids;
  for (const auto& entry : *names)
    ids.emplace_back(entry.convert<std::string>());
  return ids;
}

resident_state ParseState(const std::string& name) {
  if (name == "loading")
    return resident_state::loading;
  if (name == "resident")
    return resident_state::resident;
  if (name == "unloading")
    return resident_state::unloading;
  throw Poco::DataFormatException("unknown state", name);
}

resident_model ParseModel(const json_object& object) {
  resident_model model;
  model.model = model_id(object.getValue<std::string>("model"));
  model.version = object.getValue<std::string>("version");
  model.state = ParseState(object.getValue<std::string>("state"));
  model.adapters = ParseIds<adapter_id>(object, "adapters");
  return model;
}

engine_load ParseLoad(const json_object& object) {
  engine_load load;
  load.running = object.getValue<Poco::Int64>("running");
  load.waiting = object.getValue<Poco::Int64>("waiting");
  load.cache_used = bytes(object.getValue<Poco::Int64>("cache_used_bytes"));
  load.age = Milliseconds(object.getValue<Poco::Int64>("age_ms"));
  return load;
}

engine_status ParseStatus(const json_object& object) {
  engine_status status;
  status.incarnation = object.getValue<std::string>("incarnation");
  status.fence = epoch(object.getValue<Poco::Int64>("fence"));
  status.memory = bytes(object.getValue<Poco::Int64>("memory_bytes"));
  status.memory_used = bytes(object.getValue<Poco::Int64>("memory_used"));
  const auto models = object.getArray("models");
  if (models.isNull())
    throw Poco::DataFormatException("missing array", "models");
  for (std::size_t i = 0; i < models->size(); ++i)
    status.models.push_back(
        ParseModel(*models->getObject(static_cast<unsigned>(i))));
  status.load = ParseLoad(*RequireObject(object, "load"));
  const auto cached = RequireObject(object, "cached");
  status.cached_in_memory = ParseIds<model_id>(*cached, "memory");
  status.cached_on_disk = ParseIds<model_id>(*cached, "disk");
  return status;
}

cache_event ParseEvent(const json_object& object) {
  cache_event event;
  event.sequence = object.getValue<Poco::Int64>("sequence");
  event.kind = object.getValue<std::string>("kind") == "stored"
                   ? cache_event_kind::stored
                   : cache_event_kind::evicted;
  event.model = model_id(object.getValue<std::string>("model"));
  event.prefix = object.getValue<std::string>("prefix");
  return event;
}

cache_event_page ParseEvents(const json_object& object) {
  cache_event_page page;
  page.incarnation = object.getValue<std::string>("incarnation");
  page.last = object.getValue<Poco::Int64>("last");
  const auto events = object.getArray("events");
  if (events.isNull())
    throw Poco::DataFormatException("missing array", "events");
  for (std::size_t i = 0; i < events->size(); ++i)
    page.events.push_back(
        ParseEvent(*events->getObject(static_cast<unsigned>(i))));
  return page;
}

std::string_view ToString(order_action action) {
  switch (action) {
    case order_action::fence:
      return "fence";
    case order_action::load_model:
      return "load_model";
    case order_action::unload_model:
      return "unload_model";
    case order_action::load_adapter:
      return "load_adapter";
    case order_action::unload_adapter:
      return "unload_adapter";
  }
  return "load_model";
}

std::string_view ToString(load_source source) {
  switch (source) {
    case load_source::memory:
      return "memory";
    case load_source::disk:
      return "disk";
    case load_source::remote:
      return "remote";
  }
  return "remote";
}

std::string FormatOrder(const engine_order& order) {
  json_object object;
  object.set("order", order.id);
  object.set("epoch", order.fence.count());
  object.set("action", std::string(ToString(order.action)));
  object.set("model", order.model.value());
  object.set("version", order.version);
  object.set("adapter", order.adapter.value());
  object.set("source", std::string(ToString(order.source)));
  std::ostringstream text;
  object.stringify(text);
  return std::move(text).str();
}

order_answer ParseOrderAnswer(const whole_answer& answer) {
  if (answer.status == kAcceptedStatus)
    return {order_verdict::accepted, {}, ""};
  if (answer.status == kNoMemoryStatus)
    return {order_verdict::no_memory, {}, answer.body};
  if (answer.status == kConflictStatus) {
    const auto object = ParseObject(answer.body);
    if (object->optValue<std::string>("error", "") == "stale_epoch")
      return {order_verdict::stale_epoch,
              epoch(object->getValue<Poco::Int64>("epoch")), ""};
  }
  return {order_verdict::rejected, {}, answer.body};
}

}  // namespace

engine_client::engine_client(endpoint_address address, duration timeout)
    : address_(std::move(address)), timeout_(timeout) {}

result<engine_status, engine_error> engine_client::Status() const {
  auto answer =
      Exchange(ControlRequest(address_, "GET", "/engine/status"), timeout_);
  if (!answer)
    return answer.error();
  if (answer.value().status != kOkStatus)
    return Malformed("status " + std::to_string(answer.value().status));
  try {
    return ParseStatus(*ParseObject(answer.value().body));
  } catch (const Poco::Exception& error) {
    return Malformed(error.displayText());
  }
}

result<order_answer, engine_error> engine_client::SendOrder(
    const engine_order& order) const {
  auto answer = Exchange(
      ControlRequest(address_, "POST", "/engine/orders", FormatOrder(order)),
      timeout_);
  if (!answer)
    return answer.error();
  try {
    return ParseOrderAnswer(answer.value());
  } catch (const Poco::Exception& error) {
    return Malformed(error.displayText());
  }
}

result<cache_event_page, engine_error> engine_client::Events(
    int64_t after) const {
  const std::string path = "/engine/events?after=" + std::to_string(after);
  auto answer = Exchange(ControlRequest(address_, "GET", path), timeout_,
                         kMaxEventsBytes);
  if (!answer)
    return answer.error();
  if (answer.value().status != kOkStatus)
    return Malformed("status " + std::to_string(answer.value().status));
  try {
    return ParseEvents(*ParseObject(answer.value().body));
  } catch (const Poco::Exception& error) {
    return Malformed(error.displayText());
  }
}

result<void, engine_error> engine_client::Cancel(
    const request_id& request) const {
  const std::string path = "/v1/streams/" + EncodePathPart(request.value());
  auto answer = Exchange(ControlRequest(address_, "DELETE", path), timeout_);
  if (!answer)
    return answer.error();
  const int status = answer.value().status;
  if (status != kOkStatus && status != kNoContentStatus &&
      status != kNotFoundStatus)
    return Malformed("status " + std::to_string(status));
  return success();
}

outbound_request ResumeRequest(const endpoint_address& address,
                               const request_id& request,
                               int64_t next_event) {
  const std::string path = "/v1/streams/" + EncodePathPart(request.value()) +
                           "?from=" + std::to_string(next_event);
  outbound_request resume = ControlRequest(address, "GET", path);
  resume.request_id = request.value();
  return resume;
}

}  // namespace jasminepath::endpoint
