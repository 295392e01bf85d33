#include "caller_api.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <utility>

#include "jasminepath/config/json_value.h"
#include "node_view.h"

namespace jasminepath::node {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

using config::json_value;

std::vector<endpoint::header> PlainTextHeaders() {
  return {{"Content-Type", "text/plain; charset=utf-8"}};
}

std::vector<endpoint::header> JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

json_value ModelEntry(const std::string& id) {
  return json_value(json_value::object{{"id", json_value(id)},
                                       {"object", json_value("model")},
                                       {"owned_by", json_value("site")}});
}

void AppendModel(const config::model& model, json_value::array& entries) {
  entries.push_back(ModelEntry(model.id.value()));
  for (const config::adapter& adapter : model.adapters) {
    entries.push_back(ModelEntry(model.id.value() + ":" + adapter.id.value()));
  }
}

}  // namespace

caller_api::caller_api(instance_id self,
                       const inbound_limits& inbound,
                       const worker_limits& worker,
                       node_event_ring& events,
                       const node_view& view,
                       report::event_log& log,
                       std::function<std::string()> metrics)
    : self_(std::move(self)),
      inbound_(inbound),
      worker_(worker),
      events_(events),
      view_(view),
      log_(log),
      metrics_(std::move(metrics)) {}

void caller_api::Handle(Poco::Net::HTTPServerRequest& request,
                        Poco::Net::HTTPServerResponse& response) {
  const request_id id = NextId();
  caller_connection caller(request, response, id);
  const time_point arrived = boot_clock::now();
  const open_request_list::entry entry(open_requests_, caller, arrived);
  if (HandlePage(request, caller))
    return;
  auto call = ReadInboundCall(request, id, inbound_);
  if (!call) {
    // Part of the body may be unread, so the connection cannot be reused.
    response.setKeepAlive(false);
    caller.SendRefusal(call.error());
    return;
  }
  call_worker worker(std::move(call.value()), caller, events_, worker_);
  worker.Run();
  if (const auto& cause = caller.cut_cause())
    LogCut({id, arrived, true}, ToString(*cause));
}

void caller_api::LogOpenRequestsAsCut() const {
  for (const open_request& request : open_requests_.List())
    LogCut(request, "node_ended");
}

void caller_api::LogCut(const open_request& request,
                        std::string_view cause) const {
  log_.Write(report::log_level::warning, "call_cut",
             {{"request", request.id.value()},
              {"cause", cause},
              {"answer_began", static_cast<int64_t>(request.has_answer_begun)},
              {"stopping", static_cast<int64_t>(view_.is_draining())},
              {"age_ms", ToMilliseconds(boot_clock::now() - request.arrived)}});
}

void caller_api::Refuse(Poco::Net::HTTPServerRequest& request,
                        Poco::Net::HTTPServerResponse& response) {
  caller_connection caller(request, response, NextId());
  caller.SendRefusal(refusal{refusal_code::queue_full, run_state::not_run,
                             "too many connections are open; try again",
                             Seconds(1)});
}

bool caller_api::HandlePage(Poco::Net::HTTPServerRequest& request,
                            caller_connection& caller) {
  if (request.getMethod() != "GET")
    return false;
  const std::string& path = request.getURI();
  if (path == "/healthz")
    return caller.SendAnswer(kStatusOk, PlainTextHeaders(), "ok\n"), true;
  if (path == "/readyz") {
    const bool is_ready = view_.is_ready();
    caller.SendAnswer(is_ready ? kStatusOk : kStatusUnavailable,
                      PlainTextHeaders(), is_ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (path == "/metrics")
    return caller.SendAnswer(kStatusOk, PlainTextHeaders(), metrics_()), true;
  if (path == "/v1/models")
    return ListModels(caller), true;
  return false;
}

bool caller_api::ListModels(caller_connection& caller) const {
  json_value::array entries;
  const auto configuration = view_.configuration();
  for (const config::service& service : configuration->services) {
    for (const config::model& model : service.models)
      AppendModel(model, entries);
  }
  const json_value page(
      json_value::object{{"object", json_value("list")},
                         {"data", json_value(std::move(entries))}});
  return caller.SendAnswer(kStatusOk, JsonHeaders(), config::WriteJson(page));
}

request_id caller_api::NextId() {
  return request_id(self_.value() + "-" + std::to_string(++last_id_));
}

}  // namespace jasminepath::node
