#ifndef JASMINEPATH_NODE_DRAIN_SEQUENCE_H_
#define JASMINEPATH_NODE_DRAIN_SEQUENCE_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::node {

// Phases of a planned stop.
enum class drain_phase {
  serving,    // No stop was requested.
  lame_duck,  // Not ready, but still accepting new calls.
  finishing,  // Refusing new calls while open calls finish.
  releasing,  // Releasing authorities and shares.
  stopped,    // The process can exit.
};

// Durations of the phases of a planned stop. `finishing` and `releasing` are
// upper limits.
struct drain_limits {
  duration lame_duck = Seconds(5);
  // Open calls end by their own deadlines; this is an upper bound for all.
  duration finishing = Seconds(3600);
  duration releasing = Seconds(10);

  friend bool operator==(const drain_limits&, const drain_limits&) = default;
};

// Inputs of the sequence.
struct drain_progress {
  int64_t open_calls = 0;
  // Whether all authorities and shares have been released.
  bool has_released_all = false;

  friend bool operator==(const drain_progress&,
                         const drain_progress&) = default;
};

// State machine for the phases of a planned stop.
class drain_sequence {
 public:
  explicit drain_sequence(const drain_limits& limits) : limits_(limits) {}

  // Starts the stop. A second call has no effect.
  void Begin(time_point now);

  // Advances by at most one phase. Returns true if the phase changed.
  bool Advance(const drain_progress& progress, time_point now);

  drain_phase phase() const { return phase_; }

 private:
  bool CanAdvance(const drain_progress& progress, time_point now) const;

  const drain_limits limits_;
  drain_phase phase_ = drain_phase::serving;
  time_point phase_start_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_DRAIN_SEQUENCE_H_
