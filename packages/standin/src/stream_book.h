#ifndef JASMINEPATH_STANDIN_STREAM_BOOK_H_
#define JASMINEPATH_STANDIN_STREAM_BOOK_H_

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

// Where a generation is with one of its tokens.
struct token_state {
  enum class kind { waiting, due_at, cancelled, unknown };
  kind at = kind::unknown;
  // With due_at: when the token is there.
  time_point due{};

  friend bool operator==(const token_state&, const token_state&) = default;
};

// The generations of an engine, by request id. Their tokens follow from the
// time they started at, so that a stream can be read again from any token. At
// most `max_running` run; the rest wait by priority, then by arrival. Not safe
// from several threads.
class stream_book {
 public:
  explicit stream_book(int max_running) : max_running_(max_running) {}

  void Begin(const std::string& id,
             const chat_request& request,
             stream_timing timing,
             time_point now);
  void Cancel(const std::string& id);

  // The request of a generation that is still known.
  std::optional<chat_request> Find(const std::string& id) const;
  // The token with this index, counted from 0.
  token_state TokenAt(const std::string& id, int64_t index) const;

  // Ends what has ended, starts what waits, forgets what ended long ago.
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
  // The waiting generation that starts next; null if none waits.
  generation* NextWaiting();

  int max_running_;
  int64_t arrivals_ = 0;
  std::map<std::string, generation> generations_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_STREAM_BOOK_H_
