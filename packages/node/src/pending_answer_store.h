#ifndef JASMINEPATH_NODE_PENDING_ANSWER_STORE_H_
#define JASMINEPATH_NODE_PENDING_ANSWER_STORE_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::node {

// Whole answers that wait to be recorded for repeats of their idempotency key,
// after their callers got them. Each is dropped once recorded, or after the
// retention period, when no further attempt to record it is made.
class pending_answer_store {
 public:
  explicit pending_answer_store(duration retention) : retention_(retention) {}

  // Keeps the answer of a call; a later attempt's replaces an earlier one's.
  void Put(const request_id& id, std::string encoded, time_point now);

  // Null if there is none.
  const std::string* Find(const request_id& id) const;

  void Erase(const request_id& id);

  // Drops the answers that are past the retention period.
  void EraseExpired(time_point now);

 private:
  // When an answer may be dropped unrecorded.
  struct expiry {
    request_id id;
    time_point expires_at;
  };

  const duration retention_;
  std::unordered_map<request_id, std::string> answers_;
  std::deque<expiry> expiries_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_PENDING_ANSWER_STORE_H_
