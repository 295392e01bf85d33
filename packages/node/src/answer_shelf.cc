#include "answer_shelf.h"

#include <utility>

namespace jasminepath::node {

void answer_shelf::Keep(const request_id& id,
                        std::string encoded,
                        time_point now) {
  answers_.insert_or_assign(id, std::move(encoded));
  expiries_.push_back({id, now + retention_});
}

const std::string* answer_shelf::Find(const request_id& id) const {
  const auto found = answers_.find(id);
  return found == answers_.end() ? nullptr : &found->second;
}

void answer_shelf::Drop(const request_id& id) {
  answers_.erase(id);
}

void answer_shelf::DropExpired(time_point now) {
  while (!expiries_.empty() && expiries_.front().when <= now) {
    answers_.erase(expiries_.front().id);
    expiries_.pop_front();
  }
}

}  // namespace jasminepath::node
