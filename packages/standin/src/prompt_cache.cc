#include "prompt_cache.h"

#include <algorithm>
#include <cstdio>

#include "jasminepath/base/digest.h"

namespace jasminepath::standin {
namespace {

// The length of the prompt's start that counts as its prefix.
constexpr std::size_t kPrefixBytes = 256;
// The cache memory that one prefix uses.
constexpr int64_t kCachedPrefixBytes = 8'000'000;
constexpr std::size_t kMaxEvents = 10'000;
constexpr std::size_t kHexDigits = 16;

std::string PrefixHash(const std::string& prompt) {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(
                    StableHash(prompt.substr(0, kPrefixBytes))));
  return text;
}

}  // namespace

prompt_cache::prompt_cache(int64_t capacity_bytes,
                           duration lag,
                           int64_t gap_every)
    : capacity_bytes_(capacity_bytes), lag_(lag), gap_every_(gap_every) {}

bool prompt_cache::Use(const std::string& model,
                       const std::string& prompt,
                       time_point now) {
  const std::string prefix = PrefixHash(prompt);
  const auto found = std::find_if(
      entries_.begin(), entries_.end(), [&](const cached_prefix& entry) {
        return entry.model == model && entry.prefix == prefix;
      });
  if (found != entries_.end()) {
    entries_.splice(entries_.begin(), entries_, found);
    return true;
  }
  entries_.push_front({model, prefix});
  Publish(true, entries_.front(), now);
  while (bytes_used() > capacity_bytes_ && !entries_.empty()) {
    Publish(false, entries_.back(), now);
    entries_.pop_back();
  }
  return false;
}

void prompt_cache::Publish(bool stored,
                           const cached_prefix& entry,
                           time_point now) {
  ++sequence_;
  if (gap_every_ > 0 && sequence_ % gap_every_ == 0)
    return;
  events_.push_back({sequence_, stored, entry, now + lag_});
  if (events_.size() > kMaxEvents)
    events_.pop_front();
}

void prompt_cache::Describe(int64_t after,
                            time_point now,
                            json_object& page) const {
  int64_t last = after;
  json_array::Ptr events = new json_array;
  for (const dated_event& event : events_) {
    if (event.sequence <= after || event.visible_at > now)
      continue;
    json_object::Ptr entry = new json_object;
    entry->set("sequence", event.sequence);
    entry->set("kind", event.stored ? "stored" : "evicted");
    entry->set("model", event.entry.model);
    entry->set("prefix", event.entry.prefix);
    events->add(entry);
    last = event.sequence;
  }
  page.set("last", last);
  page.set("events", events);
}

int64_t prompt_cache::bytes_used() const {
  return static_cast<int64_t>(entries_.size()) * kCachedPrefixBytes;
}

}  // namespace jasminepath::standin
