#ifndef JASMINEPATH_STANDIN_REQUEST_LOG_H_
#define JASMINEPATH_STANDIN_REQUEST_LOG_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace jasminepath::standin {

// One header field as it was received.
struct received_header {
  std::string name;
  std::string value;

  friend bool operator==(const received_header&,
                         const received_header&) = default;
};

// One request as it was received.
struct received_request {
  std::string method;
  // Path with query.
  std::string path;
  std::vector<received_header> headers;
  std::string body;

  // The first value of the named header, any case; empty if there is none.
  std::string Header(const std::string& name) const;
  // The path without its query.
  std::string PathOnly() const;
  // The value of a query parameter, decoded; empty if there is none.
  std::string Parameter(const std::string& name) const;

  friend bool operator==(const received_request&,
                         const received_request&) = default;
};

// The latest requests that a stand-in received. Safe from several threads.
class request_log {
 public:
  void Record(const received_request& request);

  // {"total":N,"requests":[...]}: those kept whose path starts with the
  // prefix, the oldest first. `total` counts all that were ever recorded.
  std::string ToJson(const std::string& path_prefix) const;

 private:
  mutable std::mutex mutex_;
  std::deque<received_request> latest_;
  int64_t total_ = 0;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_REQUEST_LOG_H_
