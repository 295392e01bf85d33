#include "injected_faults.h"

#include <Poco/Exception.h>

namespace jasminepath::standin {
namespace {

down_mode ParseDownMode(const std::string& name) {
  if (name == "answer")
    return down_mode::answer;
  if (name == "cut")
    return down_mode::cut;
  if (name == "hang")
    return down_mode::hang;
  throw Poco::DataFormatException("down_mode must be answer, cut or hang",
                                  name);
}

}  // namespace

void injected_faults::Apply(const json_object& body) {
  const std::lock_guard lock(mutex_);
  persistent_faults persistent = persistent_;
  int64_t lost = lost_answers_;
  int64_t crossed = crossed_answers_;
  int64_t crashes = crashes_during_load_;
  bool silence_open = false;
  for (const auto& [name, value] : body) {
    if (name == "down") {
      persistent.down = value.convert<bool>();
    } else if (name == "down_mode") {
      persistent.mode = ParseDownMode(value.convert<std::string>());
    } else if (name == "silent") {
      persistent.silent = value.convert<bool>();
    } else if (name == "silence_open") {
      silence_open = value.convert<bool>();
    } else if (name == "slow_ms") {
      persistent.slow = Milliseconds(value.convert<Poco::Int64>());
    } else if (name == "late_answer_ms") {
      persistent.late_answer = Milliseconds(value.convert<Poco::Int64>());
    } else if (name == "crash_on_body_containing") {
      persistent.crash_text = value.convert<std::string>();
    } else if (name == "store_factor") {
      persistent.store_factor = value.convert<double>();
    } else if (name == "lose_answer") {
      lost = value.convert<Poco::Int64>();
    } else if (name == "crossed_answer") {
      crossed = value.convert<Poco::Int64>();
    } else if (name == "die_mid_load") {
      crashes = value.convert<Poco::Int64>();
    } else {
      throw Poco::DataFormatException("unknown fault", name);
    }
  }
  persistent_ = persistent;
  lost_answers_ = lost;
  crossed_answers_ = crossed;
  crashes_during_load_ = crashes;
  if (silence_open)
    silenced_peers_.insert(open_peers_.begin(), open_peers_.end());
}

persistent_faults injected_faults::persistent() const {
  const std::lock_guard lock(mutex_);
  return persistent_;
}

bool injected_faults::ConsumeOne(int64_t& remaining) {
  if (remaining <= 0)
    return false;
  --remaining;
  return true;
}

bool injected_faults::ConsumeLostAnswer() {
  const std::lock_guard lock(mutex_);
  return ConsumeOne(lost_answers_);
}

bool injected_faults::ConsumeCrossedAnswer() {
  const std::lock_guard lock(mutex_);
  return ConsumeOne(crossed_answers_);
}

bool injected_faults::ConsumeCrashDuringLoad() {
  const std::lock_guard lock(mutex_);
  return ConsumeOne(crashes_during_load_);
}

void injected_faults::OnConnection(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  open_peers_.insert(peer);
  silenced_peers_.erase(peer);
}

bool injected_faults::IsSilenced(const std::string& peer) const {
  const std::lock_guard lock(mutex_);
  return persistent_.silent || silenced_peers_.contains(peer);
}

}  // namespace jasminepath::standin
