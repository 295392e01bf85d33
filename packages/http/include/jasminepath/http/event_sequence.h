#ifndef JASMINEPATH_HTTP_EVENT_SEQUENCE_H_
#define JASMINEPATH_HTTP_EVENT_SEQUENCE_H_

#include <cstdint>
#include <optional>

#include "jasminepath/http/event_stream_splitter.h"

namespace jasminepath::http {

// The order of a stream's events over the answers that it is put together from.
class event_sequence {
 public:
  // Called before the first event of each answer.
  void BeginAnswer() { is_first_of_answer_ = true; }

  // Adds the next event. Returns false if the answer doesn't continue the
  // stream with this event.
  bool Add(const stream_event& event);

  // Whether the stream's position is known, so that another answer can go on
  // after its last event.
  bool CanContinue() const { return has_position_; }

 private:
  bool IsNext(const stream_event& event) const;

  // Index of the last event that has one.
  std::optional<int64_t> last_;
  // Whether the last event has an index.
  bool has_position_ = false;
  bool is_first_of_answer_ = true;
  // Whether there were two indexes, and each was one more than the one before.
  bool is_consecutive_ = false;
  bool has_gap_ = false;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_EVENT_SEQUENCE_H_
