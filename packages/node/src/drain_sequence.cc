#include "drain_sequence.h"

namespace jasminepath::node {
namespace {

drain_phase Following(drain_phase phase) {
  switch (phase) {
    case drain_phase::serving:
      return drain_phase::lame_duck;
    case drain_phase::lame_duck:
      return drain_phase::finishing;
    case drain_phase::finishing:
      return drain_phase::returning;
    case drain_phase::returning:
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
  phase_began_ = now;
}

bool drain_sequence::Advance(const drain_progress& progress, time_point now) {
  if (!MayAdvance(progress, now))
    return false;
  phase_ = Following(phase_);
  phase_began_ = now;
  return true;
}

bool drain_sequence::MayAdvance(const drain_progress& progress,
                                time_point now) const {
  const duration spent = now - phase_began_;
  switch (phase_) {
    case drain_phase::serving:
    case drain_phase::stopped:
      return false;
    case drain_phase::lame_duck:
      return spent >= limits_.lame_duck;
    case drain_phase::finishing:
      return progress.open_calls == 0 || spent >= limits_.finishing;
    case drain_phase::returning:
      return progress.returned || spent >= limits_.returning;
  }
  return false;
}

}  // namespace jasminepath::node
