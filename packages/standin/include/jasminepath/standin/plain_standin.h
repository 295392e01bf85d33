#ifndef JASMINEPATH_STANDIN_PLAIN_STANDIN_H_
#define JASMINEPATH_STANDIN_PLAIN_STANDIN_H_

#include <cstdint>
#include <memory>

#include "jasminepath/standin/listen_options.h"

namespace jasminepath::standin {

// Simulates a plain order and stock service in tests and the demo. The service
// does not deduplicate: it executes and counts every POST /orders, so that a
// test detects a request that was sent twice. docs/STANDINS.md describes the
// protocol. Serves from construction to destruction on its own threads.
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
