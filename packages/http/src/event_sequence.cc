#include "jasminepath/http/event_sequence.h"

namespace jasminepath::http {

bool event_sequence::Add(const stream_event& event) {
  const bool is_first = is_first_of_answer_;
  is_first_of_answer_ = false;
  if (is_first && last_ && !IsNext(event))
    return false;
  has_position_ = event.index.has_value();
  if (!has_position_)
    return true;
  if (last_) {
    has_gap_ = has_gap_ || *event.index <= *last_ || *event.index - 1 != *last_;
    is_consecutive_ = !has_gap_;
  }
  last_ = event.index;
  return true;
}

// A missing event shows only if the stream has numbered its events one by one.
bool event_sequence::IsNext(const stream_event& event) const {
  return event.index && *event.index > *last_ &&
         (!is_consecutive_ || *event.index - 1 == *last_);
}

}  // namespace jasminepath::http
