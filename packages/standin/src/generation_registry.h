#ifndef JASMINEPATH_STANDIN_GENERATION_REGISTRY_H_
#define JASMINEPATH_STANDIN_GENERATION_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chat_request.h"
#include "jasminepath/base/boot_time.h"

namespace jasminepath::standin {

// Timing of one generation.
struct stream_timing {
  duration first_token{};
  duration per_token{};

  friend bool operator==(const stream_timing&, const stream_timing&) = default;
};

// The state of one token of a generation.
struct token_state {
  enum class kind { waiting, due_at, cancelled, unknown };
  kind at = kind::unknown;
  // With due_at: the time at which the token is available.
  time_point due{};

  friend bool operator==(const token_state&, const token_state&) = default;
};

// The generations of an engine, by request id. The due times of tokens are
// computed from the start time, so that a stream can be read again from any
// token. At most `max_running` generations run at once; the others wait in
// order of priority, then of arrival. Not thread-safe.
class generation_registry {
 public:
  explicit generation_registry(int max_running) : max_running_(max_running) {}

  void BeginGeneration(const std::string& id,
                       const chat_request& request,
                       stream_timing timing,
                       time_point now);
  void Cancel(const std::string& id);

  // The request of a generation; nothing if it is unknown or was removed.
  std::optional<chat_request> Find(const std::string& id) const;
  // The state of the token with this index, counted from 0.
  token_state TokenAt(const std::string& id, int64_t index) const;

  // Marks finished generations as ended, removes those that ended long ago and
  // starts waiting ones.
  void Advance(time_point now);

  int64_t running() const;
  int64_t waiting() const;

 private:
  struct generation {
    chat_request request;
    stream_timing timing;
    int64_t arrival = 0;
    std::optional<time_point> started;
    bool cancelled = false;
    bool ended = false;
  };

  static time_point DueAt(const generation& entry, int64_t index);
  // The waiting generation to start next; null if there is none.
  generation* NextWaiting();

  int max_running_;
  int64_t arrivals_ = 0;
  std::map<std::string, generation> generations_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_GENERATION_REGISTRY_H_
