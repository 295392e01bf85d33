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

  // The first value of the header, whose name is matched without case; empty if
  // there is none.
  std::string Header(const std::string& name) const;
  // The path without the query.
  std::string PathOnly() const;
  // The value of a query parameter, decoded; empty if there is none.
  std::string Parameter(const std::string& name) const;

  friend bool operator==(const received_request&,
                         const received_request&) = default;
};

// The most recent requests that a stand-in received. Thread-safe.
class request_log {
 public:
  void Record(const received_request& request);

  // {"total":N,"requests":[...]}: the retained requests whose path starts with
  // the prefix, oldest first. `total` counts all requests ever recorded.
  std::string ToJson(const std::string& path_prefix) const;

 private:
  mutable std::mutex mutex_;
  std::deque<received_request> latest_;
  int64_t total_ = 0;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_REQUEST_LOG_H_
