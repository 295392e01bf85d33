#ifndef JASMINEPATH_DECISION_ADMISSION_QUEUE_DISCIPLINE_H_
#define JASMINEPATH_DECISION_ADMISSION_QUEUE_DISCIPLINE_H_

#include <concepts>
#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// A team with calls in a queue, and the size of the first of these calls.
struct backlogged_team {
  team_id team;
  int64_t weight = 1;
  tokens first_size;

  friend bool operator==(const backlogged_team&,
                         const backlogged_team&) = default;
};

// Selects the team whose first call leaves a queue next. `teams` is never empty
// and lists every team with a backlog, in order of their ids.
template <typename T>
concept queue_discipline = requires(T discipline,
                                    const std::vector<backlogged_team>& teams,
                                    const backlogged_team& chosen,
                                    const team_id& team,
                                    tokens unused) {
  // Returns the same team until a call is pushed or taken.
  { discipline.Select(teams) } -> std::same_as<team_id>;
  // The first call of the team has left the queue to be run.
  { discipline.OnServed(chosen) } -> std::same_as<void>;
  // A call that was served used fewer tokens than its size.
  { discipline.OnUnused(team, unused) } -> std::same_as<void>;
};

// Serves the team that has received the fewest tokens relative to its weight. A
// team that was idle starts at the lowest counter of the busy teams, so that
// idle time earns no credit.
class virtual_token_counters {
 public:
  team_id Select(const std::vector<backlogged_team>& teams);
  void OnServed(const backlogged_team& chosen);
  void OnUnused(const team_id& team, tokens unused);

 private:
  struct counter {
    double served = 0;
    int64_t weight = 1;
    bool is_busy = false;
  };

  void RaiseIdleCounters(const std::vector<backlogged_team>& teams);

  std::map<team_id, counter> counters_;
  // Counter of the team that was served last; never decreases.
  double floor_ = 0;
};

// Deficit round robin: teams take turns, and each turn adds a quantum of
// tokens, scaled by the team's weight, to the team's deficit counter.
class deficit_round_robin {
 public:
  // `quantum` is added at each turn of a team of weight 1.
  explicit deficit_round_robin(tokens quantum = kDefaultQuantum)
      : quantum_(quantum) {}

  team_id Select(const std::vector<backlogged_team>& teams);
  void OnServed(const backlogged_team& chosen);
  void OnUnused(const team_id& team, tokens unused);

 private:
  static constexpr tokens kDefaultQuantum = tokens(512);

  struct turn {
    team_id team;
    int64_t deficit = 0;
    bool has_quantum = false;
  };

  void UpdateTurns(const std::vector<backlogged_team>& teams);

  tokens quantum_;
  // The team at the front has its turn.
  std::list<turn> turns_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_QUEUE_DISCIPLINE_H_
