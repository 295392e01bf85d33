#include "jasminepath/decision/admission/queue_discipline.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace jasminepath::decision {
namespace {

const backlogged_team* Find(const std::vector<backlogged_team>& teams,
                            const team_id& team) {
  const auto found =
      std::lower_bound(teams.begin(), teams.end(), team,
                       [](const backlogged_team& entry, const team_id& id) {
                         return entry.team < id;
                       });
  return found != teams.end() && found->team == team ? &*found : nullptr;
}

}  // namespace

team_id virtual_token_counters::Select(
    const std::vector<backlogged_team>& teams) {
  RaiseIdleCounters(teams);
  const backlogged_team* least = &teams.front();
  double least_served = std::numeric_limits<double>::infinity();
  for (const backlogged_team& entry : teams) {
    const double served = counters_[entry.team].served;
    if (served < least_served) {
      least = &entry;
      least_served = served;
    }
  }
  return least->team;
}

void virtual_token_counters::OnServed(const backlogged_team& chosen) {
  counter& served = counters_[chosen.team];
  floor_ = std::max(floor_, served.served);
  served.weight = chosen.weight;
  served.served += static_cast<double>(chosen.first_size.count()) /
                   static_cast<double>(chosen.weight);
}

void virtual_token_counters::OnUnused(const team_id& team, tokens unused) {
  const auto found = counters_.find(team);
  if (found == counters_.end())
    return;
  counter& served = found->second;
  const double refund =
      static_cast<double>(unused.count()) / static_cast<double>(served.weight);
  served.served = std::max(0.0, served.served - refund);
}

// Raises the counters of teams that were idle, and records which teams are busy
// now.
void virtual_token_counters::RaiseIdleCounters(
    const std::vector<backlogged_team>& teams) {
  double least_busy = std::numeric_limits<double>::infinity();
  for (const backlogged_team& entry : teams) {
    const auto found = counters_.find(entry.team);
    if (found != counters_.end() && found->second.is_busy)
      least_busy = std::min(least_busy, found->second.served);
  }
  const double start = least_busy == std::numeric_limits<double>::infinity()
                           ? floor_
                           : least_busy;
  for (auto& [team, entry] : counters_)
    entry.is_busy = entry.is_busy && Find(teams, team) != nullptr;
  for (const backlogged_team& entry : teams) {
    counter& served = counters_[entry.team];
    if (!served.is_busy)
      served.served = std::max(served.served, start);
    served.is_busy = true;
    served.weight = entry.weight;
  }
}

team_id deficit_round_robin::Select(const std::vector<backlogged_team>& teams) {
  UpdateTurns(teams);
  while (true) {
    turn& current = turns_.front();
    const backlogged_team& entry = *Find(teams, current.team);
    if (!std::exchange(current.has_quantum, true))
      current.deficit += quantum_.count() * entry.weight;
    if (current.deficit >= entry.first_size.count())
      return current.team;
    current.has_quantum = false;
    turns_.splice(turns_.end(), turns_, turns_.begin());
  }
}

void deficit_round_robin::OnServed(const backlogged_team& chosen) {
  for (turn& entry : turns_) {
    if (entry.team == chosen.team)
      entry.deficit -= chosen.first_size.count();
  }
}

void deficit_round_robin::OnUnused(const team_id& team, tokens unused) {
  for (turn& entry : turns_) {
    if (entry.team == team)
      entry.deficit += unused.count();
  }
}

// Removes the turns of teams without a backlog and appends turns for new teams.
void deficit_round_robin::UpdateTurns(
    const std::vector<backlogged_team>& teams) {
  turns_.remove_if(
      [&](const turn& entry) { return Find(teams, entry.team) == nullptr; });
  for (const backlogged_team& entry : teams) {
    const bool has_turn =
        std::any_of(turns_.begin(), turns_.end(),
                    [&](const turn& item) { return item.team == entry.team; });
    if (!has_turn)
      turns_.push_back({.team = entry.team});
  }
}

}  // namespace jasminepath::decision
