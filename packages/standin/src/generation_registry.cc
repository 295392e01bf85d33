#include "generation_registry.h"

#include <algorithm>

namespace jasminepath::standin {
namespace {

constexpr duration kEndedRetention = Seconds(60);

}  // namespace

time_point generation_registry::DueAt(const generation& entry, int64_t index) {
  return *entry.started + entry.timing.first_token +
         entry.timing.per_token * index;
}

void generation_registry::BeginGeneration(const std::string& id,
                                          const chat_request& request,
                                          stream_timing timing,
                                          time_point now) {
  generations_[id] =
      generation{request, timing, ++arrivals_, std::nullopt, false, false};
  Advance(now);
}

void generation_registry::Cancel(const std::string& id) {
  const auto found = generations_.find(id);
  if (found == generations_.end())
    return;
  found->second.cancelled = true;
  found->second.ended = true;
}

std::optional<chat_request> generation_registry::Find(
    const std::string& id) const {
  const auto found = generations_.find(id);
  if (found == generations_.end())
    return std::nullopt;
  return found->second.request;
}

token_state generation_registry::TokenAt(const std::string& id,
                                         int64_t index) const {
  const auto found = generations_.find(id);
  if (found == generations_.end())
    return {};
  const generation& entry = found->second;
  if (entry.cancelled)
    return {token_state::kind::cancelled, {}};
  if (!entry.started)
    return {token_state::kind::waiting, {}};
  return {token_state::kind::due_at, DueAt(entry, index)};
}

generation_registry::generation* generation_registry::NextWaiting() {
  generation* next = nullptr;
  for (auto& [id, entry] : generations_) {
    if (entry.started || entry.ended)
      continue;
    if (next == nullptr || entry.request.priority > next->request.priority ||
        (entry.request.priority == next->request.priority &&
         entry.arrival < next->arrival))
      next = &entry;
  }
  return next;
}

void generation_registry::Advance(time_point now) {
  for (auto& [id, entry] : generations_) {
    if (entry.started && DueAt(entry, entry.request.max_tokens) <= now)
      entry.ended = true;
  }
  std::erase_if(generations_, [&](const auto& named) {
    const generation& entry = named.second;
    return entry.ended &&
           (!entry.started ||
            DueAt(entry, entry.request.max_tokens) + kEndedRetention <= now);
  });
  int64_t free = max_running_ - running();
  while (free > 0) {
    generation* next = NextWaiting();
    if (next == nullptr)
      return;
    next->started = now;
    --free;
  }
}

int64_t generation_registry::running() const {
  return std::count_if(generations_.begin(), generations_.end(),
                       [](const auto& named) {
                         return named.second.started && !named.second.ended;
                       });
}

int64_t generation_registry::waiting() const {
  return std::count_if(generations_.begin(), generations_.end(),
                       [](const auto& named) {
                         return !named.second.started && !named.second.ended;
                       });
}

}  // namespace jasminepath::standin
