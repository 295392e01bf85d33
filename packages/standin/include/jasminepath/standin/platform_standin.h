#ifndef JASMINEPATH_STANDIN_PLATFORM_STANDIN_H_
#define JASMINEPATH_STANDIN_PLATFORM_STANDIN_H_

#include <cstdint>
#include <memory>

#include "jasminepath/standin/listen_options.h"

namespace jasminepath::standin {

// Stands in for the platform in tests and the demo: transactional table,
// object store, lagging VM list and weight store over HTTP. Keeps everything
// in memory. The protocol is in docs/STANDINS.md. Serves from construction to
// destruction on threads of its own.
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
