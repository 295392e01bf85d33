#include "pending_answer_store.h"

#include <utility>

namespace jasminepath::node {

void pending_answer_store::Put(const request_id& id,
                               std::string encoded,
                               time_point now) {
  answers_.insert_or_assign(id, std::move(encoded));
  expiries_.push_back({id, now + retention_});
}

const std::string* pending_answer_store::Find(const request_id& id) const {
  const auto found = answers_.find(id);
  return found == answers_.end() ? nullptr : &found->second;
}

void pending_answer_store::Erase(const request_id& id) {
  answers_.erase(id);
}

void pending_answer_store::EraseExpired(time_point now) {
  while (!expiries_.empty() && expiries_.front().expires_at <= now) {
    answers_.erase(expiries_.front().id);
    expiries_.pop_front();
  }
}

}  // namespace jasminepath::node
