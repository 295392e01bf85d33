#include "jasminepath/decision/admission/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "admission/history_check.h"

namespace jasminepath::decision {
namespace {

queued_call MakeCall(int number,
                     const std::string& team,
                     int64_t size,
                     int64_t priority = 1,
                     int64_t weight = 1) {
  queued_call call;
  call.id = request_id(team + std::to_string(number));
  call.team = team_id(team);
  call.size = tokens(size);
  call.priority = priority;
  call.weight = weight;
  return call;
}

// Tokens served to each team after `served` calls have left a queue in which
// both teams always have a backlog.
template <typename Discipline>
std::map<team_id, int64_t> ServeTwoTeams(int64_t size_a,
                                         int64_t size_b,
                                         int64_t weight_a,
                                         int served) {
  fair_queue<Discipline> queue(1000);
  std::map<team_id, int64_t> totals;
  for (int i = 0; i < served; ++i) {
    queue.Push(MakeCall(i, "a", size_a, 1, weight_a));
    queue.Push(MakeCall(i, "b", size_b));
  }
  for (int i = 0; i < served; ++i) {
    const auto call = queue.Pop();
    totals[call->team] += call->size.count();
  }
  return totals;
}

template <typename Discipline>
void CheckShares() {
  const auto even = ServeTwoTeams<Discipline>(800, 100, 1, 400);
  const int64_t a = even.at(team_id("a"));
  const int64_t b = even.at(team_id("b"));
  BOOST_TEST(std::abs(a - b) <= 800 + 2 * 512);
  const auto weighted = ServeTwoTeams<Discipline>(100, 100, 3, 400);
  BOOST_TEST(weighted.at(team_id("a")) >= 2 * weighted.at(team_id("b")));
  BOOST_TEST(weighted.at(team_id("a")) <= 4 * weighted.at(team_id("b")));
}

BOOST_AUTO_TEST_SUITE(fair_queue_test)

BOOST_AUTO_TEST_CASE(CountersShareByTokensAndWeight) {
  CheckShares<virtual_token_counters>();
}

BOOST_AUTO_TEST_CASE(RoundRobinSharesByTokensAndWeight) {
  CheckShares<deficit_round_robin>();
}

BOOST_AUTO_TEST_CASE(HigherPriorityLeavesFirst) {
  fair_queue<virtual_token_counters> queue(10);
  queue.Push(MakeCall(1, "a", 10, 2));
  queue.Push(MakeCall(2, "b", 10, 0));
  BOOST_TEST((queue.Pop()->id == request_id("b2")));
}

BOOST_AUTO_TEST_CASE(FullQueueDisplacesTheLargestBacklog) {
  fair_queue<virtual_token_counters> queue(8);
  for (int i = 0; i < 8; ++i)
    BOOST_TEST(!queue.Push(MakeCall(i, "big", 100)).has_value());
  const auto refused = queue.Push(MakeCall(8, "big", 100));
  BOOST_TEST((refused->id == request_id("big8")));
  const auto displaced = queue.Push(MakeCall(0, "small", 100));
  BOOST_TEST((displaced->id == request_id("big7")));
  BOOST_TEST(queue.size() == 8u);
}

BOOST_AUTO_TEST_CASE(IdleTeamEarnsNoCredit) {
  fair_queue<virtual_token_counters> queue(1000);
  for (int i = 0; i < 100; ++i)
    queue.Push(MakeCall(i, "busy", 100));
  for (int i = 0; i < 50; ++i)
    queue.Pop();
  for (int i = 0; i < 50; ++i)
    queue.Push(MakeCall(i, "idle", 100));
  int64_t idle_served = 0;
  for (int i = 0; i < 20; ++i)
    idle_served += queue.Pop()->team == team_id("idle") ? 1 : 0;
  BOOST_TEST(idle_served <= 11);
}

// Compares the queue with a model of its contents: no call is lost or
// duplicated, the calls of a team stay in order, and the size stays within the
// limit.
template <typename Discipline>
void CheckQueueHistory() {
  fair_queue<Discipline> queue(12);
  std::map<std::string, std::vector<request_id>> inside;
  const auto line = [](const queued_call& call) {
    return call.team.value() + std::to_string(call.priority);
  };
  std::size_t count = 0;
  int number = 0;
  for (const history_step& step : *GenHistory(5)) {
    if (step.kind <= 1) {
      const queued_call call =
          MakeCall(++number, step.actor % 3 == 0 ? "a" : "b", 1 + step.amount,
                   step.fault % 2, 1 + step.actor % 4);
      inside[line(call)].push_back(call.id);
      ++count;
      if (const auto out = queue.Push(call)) {
        RC_ASSERT(inside[line(*out)].back() == out->id);
        inside[line(*out)].pop_back();
        --count;
      }
    } else if (step.kind <= 3) {
      const queued_call* next = queue.Peek();
      const request_id shown = next == nullptr ? request_id() : next->id;
      const auto out = queue.Pop();
      RC_ASSERT(out.has_value() == (count > 0));
      if (out) {
        RC_ASSERT(out->id == shown);
        RC_ASSERT(inside[line(*out)].front() == out->id);
        inside[line(*out)].erase(inside[line(*out)].begin());
        queue.OnUnused(out->team, out->priority, tokens(step.amount / 2));
        --count;
      }
    } else if (number > 0) {
      const int chosen = 1 + step.amount % number;
      for (const char* team : {"a", "b"}) {
        const auto out =
            queue.Remove(request_id(team + std::to_string(chosen)));
        if (out) {
          RC_ASSERT(std::erase(inside[line(*out)], out->id) == 1u);
          --count;
        }
      }
    }
    RC_ASSERT(queue.size() == count);
    RC_ASSERT(count <= 12u);
  }
}

BOOST_AUTO_TEST_CASE(NoCallIsLostOrDuplicated) {
  BOOST_TEST(CheckHistories("fair queue with counters", 500,
                            CheckQueueHistory<virtual_token_counters>));
  BOOST_TEST(CheckHistories("fair queue with round robin", 500,
                            CheckQueueHistory<deficit_round_robin>));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
