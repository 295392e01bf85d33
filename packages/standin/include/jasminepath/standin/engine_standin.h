#ifndef JASMINEPATH_STANDIN_ENGINE_STANDIN_H_
#define JASMINEPATH_STANDIN_ENGINE_STANDIN_H_

#include <cstdint>
#include <memory>

#include "jasminepath/standin/engine_options.h"

namespace jasminepath::standin {

// Simulates a model engine in tests and the demo: orders, resident models,
// streamed answers with resume and cancel, delayed load reports, delayed cache
// events with gaps, and crashes. docs/STANDINS.md describes the protocol.
// Serves from construction to destruction on its own threads.
class engine_standin {
 public:
  explicit engine_standin(const engine_options& options);
  engine_standin(const engine_standin&) = delete;
  engine_standin& operator=(const engine_standin&) = delete;
  ~engine_standin();

  uint16_t port() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_ENGINE_STANDIN_H_
