#ifndef JASMINEPATH_STANDIN_PROMPT_CACHE_H_
#define JASMINEPATH_STANDIN_PROMPT_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "json_text.h"

namespace jasminepath::standin {

// An engine's cache of prompt prefixes in limited memory, least recently used
// out first, and its events, which show late and with gaps. Not safe from
// several threads.
class prompt_cache {
 public:
  prompt_cache(int64_t capacity_bytes, duration lag, int64_t gap_every);

  // Uses a prompt's prefix. True if it was cached.
  bool Use(const std::string& model, const std::string& prompt, time_point now);

  // Sets "last" and "events" of those after `after` that show at `now`.
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
  // The most recently used first.
  std::list<cached_prefix> entries_;
  std::deque<dated_event> events_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_PROMPT_CACHE_H_
