#ifndef JASMINEPATH_STANDIN_FAULT_BOARD_H_
#define JASMINEPATH_STANDIN_FAULT_BOARD_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "json_text.h"

namespace jasminepath::standin {

// How a stand-in that is down meets a request.
enum class down_mode { answer, cut, hang };

// Faults that last until they are set again.
struct lasting_faults {
  bool down = false;
  down_mode mode = down_mode::answer;
  // Every request and every open stream goes silent.
  bool silent = false;
  // Wait before a request takes effect.
  duration slow{};
  // Wait between the effect and the answer.
  duration late_answer{};
  // A request whose body contains this text crashes an engine; empty for none.
  std::string crash_text;
  // The weight store's time for each load grows by this factor.
  double store_factor = 1;

  friend bool operator==(const lasting_faults&,
                         const lasting_faults&) = default;
};

// The faults that are set on one stand-in. Safe from several threads.
class fault_board {
 public:
  // Applies the fields of a POST /standin/faults body. An exception of Poco's
  // if a field is unknown or of the wrong type; then nothing is changed.
  void Apply(const json_object& body);

  lasting_faults lasting() const;

  // Takes one of the counted faults if any is left.
  bool TakeLostAnswer();
  bool TakeCrossedAnswer();
  bool TakeDeathInLoad();

  // Notes a connection by its peer; a new one is never silenced.
  void NoteConnection(const std::string& peer);
  // Whether the connection was open when open ones were silenced.
  bool IsSilenced(const std::string& peer) const;

 private:
  static bool TakeOne(int64_t& left);

  mutable std::mutex mutex_;
  lasting_faults lasting_;
  int64_t lost_answers_ = 0;
  int64_t crossed_answers_ = 0;
  int64_t deaths_in_load_ = 0;
  std::set<std::string> open_peers_;
  std::set<std::string> silenced_peers_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_FAULT_BOARD_H_
