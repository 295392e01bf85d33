#ifndef JASMINEPATH_STANDIN_PLATFORM_STANDIN_H_
#define JASMINEPATH_STANDIN_PLATFORM_STANDIN_H_

#include <cstdint>
#include <memory>

#include "jasminepath/standin/listen_options.h"

namespace jasminepath::standin {

// Simulates the platform in tests and the demo: transactional table, object
// store, delayed VM list and weight store over HTTP. All data is in memory.
// docs/STANDINS.md describes the protocol. Serves from construction to
// destruction on its own threads.
class platform_standin {
 public:
  explicit platform_standin(const listen_options& options);
  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;
  ~platform_standin();

  uint16_t port() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_PLATFORM_STANDIN_H_
