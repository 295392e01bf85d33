#ifndef JASMINEPATH_STANDIN_PROMPT_CACHE_H_
#define JASMINEPATH_STANDIN_PROMPT_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "json_text.h"

namespace jasminepath::standin {

// An LRU cache of prompt prefixes with limited memory, and its events, which
// become visible after a delay and have gaps. Not thread-safe.
class prompt_cache {
 public:
  prompt_cache(int64_t capacity_bytes, duration lag, int64_t gap_every);

  // Looks up the prefix of a prompt and caches it if it is missing. True if it
  // was cached.
  bool Use(const std::string& model, const std::string& prompt, time_point now);

  // Sets "events" to the events after sequence number `after` that are visible
  // at `now`, and "last" to the last of their numbers.
  void Describe(int64_t after, time_point now, json_object& page) const;

  int64_t bytes_used() const;

 private:
  struct cached_prefix {
    std::string model;
    std::string prefix;
  };
  struct dated_event {
    int64_t sequence = 0;
    bool stored = false;
    cached_prefix entry;
    time_point visible_at;
  };

  void Publish(bool stored, const cached_prefix& entry, time_point now);

  int64_t capacity_bytes_;
  duration lag_;
  int64_t gap_every_;
  int64_t sequence_ = 0;
  // Most recently used first.
  std::list<cached_prefix> entries_;
  std::deque<dated_event> events_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_PROMPT_CACHE_H_
