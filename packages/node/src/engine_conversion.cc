#include "engine_conversion.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace jasminepath::node {
namespace {

constexpr int kHexadecimalBase = 16;

decision::resident_state ToDecision(endpoint::resident_state state) {
  switch (state) {
    case endpoint::resident_state::loading:
      return decision::resident_state::loading;
    case endpoint::resident_state::resident:
      return decision::resident_state::resident;
    case endpoint::resident_state::unloading:
      return decision::resident_state::unloading;
  }
  return decision::resident_state::loading;
}

decision::resident_model ToDecision(const endpoint::resident_model& model) {
  decision::resident_model converted;
  converted.model = model.model;
  converted.version = model.version;
  converted.state = ToDecision(model.state);
  converted.adapters = model.adapters;
  return converted;
}

std::optional<uint64_t> ParsePrefix(const std::string& text) {
  uint64_t hash = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, hash, kHexadecimalBase);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return hash;
}

endpoint::order_action ToEngine(decision::order_kind kind) {
  switch (kind) {
    case decision::order_kind::fence:
      return endpoint::order_action::fence;
    case decision::order_kind::load_model:
      return endpoint::order_action::load_model;
    case decision::order_kind::unload_model:
      return endpoint::order_action::unload_model;
    case decision::order_kind::load_adapter:
      return endpoint::order_action::load_adapter;
    case decision::order_kind::unload_adapter:
      return endpoint::order_action::unload_adapter;
  }
  return endpoint::order_action::fence;
}

endpoint::load_source ToEngine(decision::weight_source source) {
  switch (source) {
    case decision::weight_source::memory:
      return endpoint::load_source::memory;
    case decision::weight_source::disk:
      return endpoint::load_source::disk;
    case decision::weight_source::remote:
      return endpoint::load_source::remote;
  }
  return endpoint::load_source::remote;
}

}  // namespace

decision::endpoint_status ToDecision(const endpoint_id& id,
                                     const endpoint::engine_status& status,
                                     duration age) {
  decision::endpoint_status converted;
  converted.endpoint = id;
  converted.incarnation = status.incarnation;
  converted.fence = status.fence;
  for (const endpoint::resident_model& model : status.models)
    converted.models.push_back(ToDecision(model));
  converted.load.running = status.load.running;
  converted.load.waiting = status.load.waiting;
  converted.load.cache_used = status.load.cache_used;
  converted.load.age = status.load.age;
  for (const model_id& model : status.cached_in_memory)
    converted.cached.push_back(
        {model, "", decision::checkpoint_location::memory});
  for (const model_id& model : status.cached_on_disk)
    converted.cached.push_back(
        {model, "", decision::checkpoint_location::disk});
  converted.age = age;
  return converted;
}

std::vector<decision::cache_event> ToDecision(
    const endpoint_id& id,
    const endpoint::cache_event_page& page) {
  std::vector<decision::cache_event> converted;
  for (const endpoint::cache_event& event : page.events) {
    const auto prefix = ParsePrefix(event.prefix);
    if (!prefix)
      continue;
    const bool stored = event.kind == endpoint::cache_event_kind::stored;
    converted.push_back({id, page.incarnation, event.sequence,
                         stored ? decision::cache_change::stored
                                : decision::cache_change::removed,
                         *prefix});
  }
  return converted;
}

endpoint::engine_order ToEngine(const decision::endpoint_order& order) {
  endpoint::engine_order converted;
  converted.id = order.id;
  converted.fence = order.number;
  converted.action = ToEngine(order.kind);
  converted.model = order.model;
  converted.version = order.version;
  converted.adapter = order.adapter;
  converted.source = ToEngine(order.source);
  return converted;
}

decision::order_end ToDecision(
    const result<endpoint::order_answer, endpoint::engine_error>& answer) {
  if (!answer) {
    return answer.error().kind == endpoint::engine_error_kind::unreachable
               ? decision::order_end::failed
               : decision::order_end::unknown;
  }
  switch (answer.value().verdict) {
    case endpoint::order_verdict::accepted:
      return decision::order_end::accepted;
    case endpoint::order_verdict::stale_epoch:
      return decision::order_end::stale_epoch;
    case endpoint::order_verdict::no_memory:
      return decision::order_end::no_memory;
    case endpoint::order_verdict::rejected:
      return decision::order_end::failed;
  }
  return decision::order_end::unknown;
}

}  // namespace jasminepath::node
