#include "fault_board.h"

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
  throw Poco::DataFormatException("down_mode is answer, cut or hang", name);
}

}  // namespace

void fault_board::Apply(const json_object& body) {
  const std::lock_guard lock(mutex_);
  lasting_faults lasting = lasting_;
  int64_t lost = lost_answers_;
  int64_t crossed = crossed_answers_;
  int64_t deaths = deaths_in_load_;
  bool silence_open = false;
  for (const auto& [name, value] : body) {
    if (name == "down") {
      lasting.down = value.convert<bool>();
    } else if (name == "down_mode") {
      lasting.mode = ParseDownMode(value.convert<std::string>());
    } else if (name == "silent") {
      lasting.silent = value.convert<bool>();
    } else if (name == "silence_open") {
      silence_open = value.convert<bool>();
    } else if (name == "slow_ms") {
      lasting.slow = Milliseconds(value.convert<Poco::Int64>());
    } else if (name == "late_answer_ms") {
      lasting.late_answer = Milliseconds(value.convert<Poco::Int64>());
    } else if (name == "crash_on_body_containing") {
      lasting.crash_text = value.convert<std::string>();
    } else if (name == "store_factor") {
      lasting.store_factor = value.convert<double>();
    } else if (name == "lose_answer") {
      lost = value.convert<Poco::Int64>();
    } else if (name == "crossed_answer") {
      crossed = value.convert<Poco::Int64>();
    } else if (name == "die_mid_load") {
      deaths = value.convert<Poco::Int64>();
    } else {
      throw Poco::DataFormatException("unknown fault", name);
    }
  }
  lasting_ = lasting;
  lost_answers_ = lost;
  crossed_answers_ = crossed;
  deaths_in_load_ = deaths;
  if (silence_open)
    silenced_peers_.insert(open_peers_.begin(), open_peers_.end());
}

lasting_faults fault_board::lasting() const {
  const std::lock_guard lock(mutex_);
  return lasting_;
}

bool fault_board::TakeOne(int64_t& left) {
  if (left <= 0)
    return false;
  --left;
  return true;
}

bool fault_board::TakeLostAnswer() {
  const std::lock_guard lock(mutex_);
  return TakeOne(lost_answers_);
}

bool fault_board::TakeCrossedAnswer() {
  const std::lock_guard lock(mutex_);
  return TakeOne(crossed_answers_);
}

bool fault_board::TakeDeathInLoad() {
  const std::lock_guard lock(mutex_);
  return TakeOne(deaths_in_load_);
}

void fault_board::NoteConnection(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  open_peers_.insert(peer);
  silenced_peers_.erase(peer);
}

bool fault_board::IsSilenced(const std::string& peer) const {
  const std::lock_guard lock(mutex_);
  return lasting_.silent || silenced_peers_.contains(peer);
}

}  // namespace jasminepath::standin
