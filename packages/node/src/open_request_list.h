#ifndef JASMINEPATH_NODE_OPEN_REQUEST_LIST_H_
#define JASMINEPATH_NODE_OPEN_REQUEST_LIST_H_

#include <map>
#include <mutex>
#include <vector>

#include "caller_connection.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::node {

// One request whose answer is not complete.
struct open_request {
  request_id id;
  time_point arrived;
  bool has_answer_begun = false;

  friend bool operator==(const open_request&, const open_request&) = default;
};

// The requests of callers that are being handled. Thread-safe.
class open_request_list {
 public:
  // Lists a request for the lifetime of this object.
  class entry {
   public:
    // `list` and `caller` must outlive this object.
    entry(open_request_list& list,
          const caller_connection& caller,
          time_point now)
        : list_(list), caller_(caller) {
      const std::lock_guard lock(list_.mutex_);
      list_.arrivals_.emplace(&caller_, now);
    }
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry() {
      const std::lock_guard lock(list_.mutex_);
      list_.arrivals_.erase(&caller_);
    }

   private:
    open_request_list& list_;
    const caller_connection& caller_;
  };

  std::vector<open_request> List() const {
    const std::lock_guard lock(mutex_);
    std::vector<open_request> requests;
    requests.reserve(arrivals_.size());
    for (const auto& [caller, arrived] : arrivals_)
      requests.push_back({caller->id(), arrived, caller->has_started()});
    return requests;
  }

 private:
  mutable std::mutex mutex_;
  std::map<const caller_connection*, time_point> arrivals_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_OPEN_REQUEST_LIST_H_
