#ifndef JASMINEPATH_NODE_PENDING_ANSWER_STORE_H_
#define JASMINEPATH_NODE_PENDING_ANSWER_STORE_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::node {

// Complete answers that have been sent to their callers and wait to be recorded
// for repetitions of their idempotency key. An answer is erased once it is
// recorded, or after the retention period, when it is no longer retried.
class pending_answer_store {
 public:
  explicit pending_answer_store(duration retention) : retention_(retention) {}

  // Stores the answer of a call. The answer of a later attempt replaces that of
  // an earlier one.
  void Put(const request_id& id, std::string encoded, time_point now);

  // Returns null if there is no answer for the call.
  const std::string* Find(const request_id& id) const;

  void Erase(const request_id& id);

  // Erases the answers whose retention period has ended.
  void EraseExpired(time_point now);

 private:
  // When an answer is erased even if it is not recorded.
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
