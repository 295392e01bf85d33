#include "drain_sequence.h"

namespace jasminepath::node {
namespace {

drain_phase NextPhase(drain_phase phase) {
  switch (phase) {
    case drain_phase::serving:
      return drain_phase::lame_duck;
    case drain_phase::lame_duck:
      return drain_phase::finishing;
    case drain_phase::finishing:
      return drain_phase::releasing;
    case drain_phase::releasing:
    case drain_phase::stopped:
      return drain_phase::stopped;
  }
  return drain_phase::stopped;
}

}  // namespace

void drain_sequence::Begin(time_point now) {
  if (phase_ != drain_phase::serving)
    return;
  phase_ = drain_phase::lame_duck;
  phase_start_ = now;
}

bool drain_sequence::Advance(const drain_progress& progress, time_point now) {
  if (!CanAdvance(progress, now))
    return false;
  phase_ = NextPhase(phase_);
  phase_start_ = now;
  return true;
}

bool drain_sequence::CanAdvance(const drain_progress& progress,
                                time_point now) const {
  const duration elapsed = now - phase_start_;
  switch (phase_) {
    case drain_phase::serving:
    case drain_phase::stopped:
      return false;
    case drain_phase::lame_duck:
      return elapsed >= limits_.lame_duck;
    case drain_phase::finishing:
      return progress.open_calls == 0 || elapsed >= limits_.finishing;
    case drain_phase::releasing:
      return progress.has_released_all || elapsed >= limits_.releasing;
  }
  return false;
}

}  // namespace jasminepath::node
