#ifndef JASMINEPATH_STANDIN_PLAIN_STANDIN_H_
#define JASMINEPATH_STANDIN_PLAIN_STANDIN_H_

#include <cstdint>
#include <memory>

#include "jasminepath/standin/listen_options.h"

namespace jasminepath::standin {

// Stands in for a plain order and stock service in tests and the demo. Every
// POST /orders is an execution of its own: the service does not deduplicate,
// so a request sent twice shows. The protocol is in docs/STANDINS.md.
class plain_standin {
 public:
  explicit plain_standin(const listen_options& options);
  plain_standin(const plain_standin&) = delete;
  plain_standin& operator=(const plain_standin&) = delete;
  ~plain_standin();

  uint16_t port() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_PLAIN_STANDIN_H_
