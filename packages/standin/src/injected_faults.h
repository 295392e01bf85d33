#ifndef JASMINEPATH_STANDIN_INJECTED_FAULTS_H_
#define JASMINEPATH_STANDIN_INJECTED_FAULTS_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "jasminepath/base/boot_time.h"
#include "json_text.h"

namespace jasminepath::standin {

// How a stand-in that is down handles a request.
enum class down_mode { answer, cut, hang };

// Faults that apply until they are changed.
struct persistent_faults {
  bool down = false;
  down_mode mode = down_mode::answer;
  // Requests are not answered, and open streams send nothing more.
  bool silent = false;
  // The delay before a request takes effect.
  duration slow{};
  // The delay between the effect and the answer.
  duration late_answer{};
  // A request whose body contains this text crashes an engine; empty for none.
  std::string crash_text;
  // The factor by which loads from the weight store take longer.
  double store_factor = 1;

  friend bool operator==(const persistent_faults&,
                         const persistent_faults&) = default;
};

// The faults that are injected into one stand-in. Thread-safe.
class injected_faults {
 public:
  // Applies the fields of the body of POST /standin/faults. Throws
  // Poco::Exception and changes nothing if a field is unknown or invalid.
  void Apply(const json_object& body);

  persistent_faults persistent() const;

  // Consume one of the counted faults. False if none is left.
  bool ConsumeLostAnswer();
  bool ConsumeCrossedAnswer();
  bool ConsumeCrashDuringLoad();

  // Records a new connection of the peer address, which is not silenced.
  void OnConnection(const std::string& peer);
  // True if all connections are silent, or if the connection was open when the
  // open connections were silenced.
  bool IsSilenced(const std::string& peer) const;

 private:
  static bool ConsumeOne(int64_t& remaining);

  mutable std::mutex mutex_;
  persistent_faults persistent_;
  int64_t lost_answers_ = 0;
  int64_t crossed_answers_ = 0;
  int64_t crashes_during_load_ = 0;
  std::set<std::string> open_peers_;
  std::set<std::string> silenced_peers_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_INJECTED_FAULTS_H_
