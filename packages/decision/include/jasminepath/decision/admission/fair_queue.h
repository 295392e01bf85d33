#ifndef JASMINEPATH_DECISION_ADMISSION_FAIR_QUEUE_H_
#define JASMINEPATH_DECISION_ADMISSION_FAIR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/queue_discipline.h"

namespace jasminepath::decision {

// A call that waits for an endpoint.
struct queued_call {
  request_id id;
  // Empty on routes that require no key; such calls are scheduled as one team.
  team_id team;
  tokens size;
  int64_t weight = 1;
  // 0 is the highest priority.
  int64_t priority = 1;
  time_point arrived;
  time_point deadline;

  friend bool operator==(const queued_call&, const queued_call&) = default;
};

// Bounded queue of calls for one model or plain service. Calls of a higher
// priority leave first. Within a priority, the discipline shares tokens fairly
// between teams, and the calls of each team stay in order.
template <queue_discipline Discipline>
class fair_queue {
 public:
  // The capacity is `limit` calls, at least one.
  explicit fair_queue(std::size_t limit)
      : limit_(std::max<std::size_t>(limit, 1)) {}

  // Adds a call. If the queue is full, the newest call of the team with the
  // largest backlog relative to its weight is removed and returned. If that
  // team is the team of the new call, the new call itself is returned.
  std::optional<queued_call> Push(queued_call call) {
    std::optional<queued_call> displaced;
    if (size_ >= limit_) {
      const team_id largest_team = FindTeamWithLargestBacklog(call);
      if (largest_team == call.team)
        return call;
      displaced = RemoveNewest(largest_team);
    }
    ++size_;
    backlog& entry = backlogs_[call.team];
    entry.total += call.size;
    entry.weight = call.weight;
    waiting_ += call.size;
    levels_[call.priority].teams[call.team].push_back(std::move(call));
    return displaced;
  }

  // Returns the call that leaves next, or null. The pointer is valid until the
  // queue changes.
  const queued_call* Peek() {
    for (auto& [priority, entry] : levels_) {
      if (!entry.teams.empty())
        return &entry.teams[entry.discipline.Select(ListTeams(entry))].front();
    }
    return nullptr;
  }

  // Removes and returns the call that Peek() returns. The call is counted as
  // served.
  std::optional<queued_call> Pop() {
    const queued_call* next = Peek();
    if (next == nullptr)
      return std::nullopt;
    const queued_call taken = *next;
    level& entry = levels_[taken.priority];
    entry.discipline.OnServed({taken.team, taken.weight, taken.size});
    Remove(taken.priority, taken.team, 0);
    return taken;
  }

  // Removes a call that will not be run; returns nullopt if it is not queued.
  std::optional<queued_call> Remove(const request_id& id) {
    for (auto& [priority, entry] : levels_) {
      for (auto& [team, calls] : entry.teams) {
        for (std::size_t i = 0; i < calls.size(); ++i) {
          if (calls[i].id == id)
            return Remove(priority, team_id(team), i);
        }
      }
    }
    return std::nullopt;
  }

  // Reports that a call which was popped used fewer tokens than its size.
  void OnUnused(const team_id& team, int64_t priority, tokens unused) {
    const auto found = levels_.find(priority);
    if (found != levels_.end())
      found->second.discipline.OnUnused(team, unused);
  }

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  tokens waiting_size() const { return waiting_; }
  void set_limit(std::size_t limit) {
    limit_ = std::max<std::size_t>(limit, 1);
  }

  // Calls `visit` with each queued call.
  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [priority, entry] : levels_) {
      for (const auto& [team, calls] : entry.teams) {
        for (const queued_call& call : calls)
          visit(call);
      }
    }
  }

 private:
  // The queued calls of one priority.
  struct level {
    Discipline discipline;
    std::map<team_id, std::deque<queued_call>> teams;
  };
  struct backlog {
    tokens total;
    int64_t weight = 1;
  };

  static std::vector<backlogged_team> ListTeams(const level& entry) {
    std::vector<backlogged_team> teams;
    teams.reserve(entry.teams.size());
    for (const auto& [team, calls] : entry.teams)
      teams.push_back({team, calls.front().weight, calls.front().size});
    return teams;
  }

  team_id FindTeamWithLargestBacklog(const queued_call& incoming) const {
    const auto load = [](tokens total, int64_t weight) {
      return static_cast<double>(total.count()) / static_cast<double>(weight);
    };
    const auto own = backlogs_.find(incoming.team);
    const tokens before =
        own == backlogs_.end() ? tokens(0) : own->second.total;
    team_id largest_team = incoming.team;
    double largest_load = load(before + incoming.size, incoming.weight);
    for (const auto& [team, entry] : backlogs_) {
      if (load(entry.total, entry.weight) > largest_load) {
        largest_team = team;
        largest_load = load(entry.total, entry.weight);
      }
    }
    return largest_team;
  }

  // Removes the newest call of the team at the lowest priority at which the
  // team has calls.
  std::optional<queued_call> RemoveNewest(const team_id& team) {
    for (auto entry = levels_.rbegin(); entry != levels_.rend(); ++entry) {
      const auto found = entry->second.teams.find(team);
      if (found != entry->second.teams.end())
        return Remove(entry->first, team, found->second.size() - 1);
    }
    return std::nullopt;
  }

  std::optional<queued_call> Remove(int64_t priority,
                                    const team_id& team,
                                    std::size_t index) {
    level& entry = levels_[priority];
    std::deque<queued_call>& calls = entry.teams[team];
    const queued_call taken = calls[index];
    calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
    if (calls.empty())
      entry.teams.erase(taken.team);
    --size_;
    waiting_ -= taken.size;
    backlog& total = backlogs_[taken.team];
    total.total -= taken.size;
    if (total.total == tokens(0))
      backlogs_.erase(taken.team);
    return taken;
  }

  std::size_t limit_;
  std::size_t size_ = 0;
  tokens waiting_;
  std::map<int64_t, level> levels_;
  std::map<team_id, backlog> backlogs_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_FAIR_QUEUE_H_
