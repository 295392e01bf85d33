#ifndef JASMINEPATH_NODE_DRAIN_SEQUENCE_H_
#define JASMINEPATH_NODE_DRAIN_SEQUENCE_H_

#include <cstdint>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::node {

// How far a planned stop has come.
enum class drain_phase {
  serving,    // No stop was asked for.
  lame_duck,  // Unready, but still taking the calls that come.
  finishing,  // Refusing new calls while those in progress end.
  releasing,  // Giving back authorities and shares.
  stopped,    // The process may end.
};

// Times of a planned stop.
struct drain_limits {
  duration lame_duck = Seconds(5);
  // Calls in progress end by their own deadlines; this bounds them all.
  duration finishing = Seconds(3600);
  duration releasing = Seconds(10);

  friend bool operator==(const drain_limits&, const drain_limits&) = default;
};

// What the sequence depends on.
struct drain_progress {
  int64_t open_calls = 0;
  // Everything held has been given back.
  bool has_released_all = false;

  friend bool operator==(const drain_progress&,
                         const drain_progress&) = default;
};

// Orders the steps of a planned stop.
class drain_sequence {
 public:
  explicit drain_sequence(const drain_limits& limits) : limits_(limits) {}

  // Begins the stop; a second call has no effect.
  void Begin(time_point now);

  // Moves at most one phase on; true if it did.
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
