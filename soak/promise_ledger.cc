#include "promise_ledger.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "platform_standin.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

bool IsRefusal(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

promise_ledger::promise_ledger(std::map<std::string, team_allowance> allowances)
    : allowances_(std::move(allowances)) {}

void promise_ledger::Break(const std::string& promise,
                           const std::string& detail) {
  violations_[promise].push_back(detail);
}

void promise_ledger::OnSent(const planned_call& call, time_point now) {
  ++counts_.calls;
  calls_[call.id] = {call, now, 0, false};
}

void promise_ledger::OnEnd(const planned_call& call,
                           const call_end& end,
                           bool calm,
                           time_point now) {
  history& known = calls_[call.id];
  if (end.is_whole && end.status >= 200 && end.status < 300) {
    ++counts_.answered;
    return CheckAnswer(known, end);
  }
  if (end.is_whole && IsRefusal(end.status) && !end.is_sealed) {
    ++counts_.refused;
    known.said_not_run = true;
    if (known.runs > 0)
      Break("refusals are true", call.id + " was refused with " +
                                     std::to_string(end.status) +
                                     " and had run");
    return;
  }
  ++counts_.failed;
  if (end.status == 401 || end.status == 403 || end.status == 404)
    Break("proper requests are not denied",
          call.id + " got " + std::to_string(end.status));
  if (end.was_held && calm)
    Break("requests end in time", call.id + " had no answer");
  const bool is_lost = known.runs > 0 || now - known.sent_at > kLossSlack;
  if (calm && end.failure == http::call_failure::broken && is_lost)
    Break("planned work loses nothing",
          call.id + " ended without an answer after " +
              std::to_string(ToMilliseconds(now - known.sent_at)) + " ms");
}

void promise_ledger::CheckAnswer(const history& known, const call_end& end) {
  const std::string& id = known.call.id;
  const bool is_right = known.call.model.empty()
                            ? end.body.starts_with("answer of ") &&
                                  end.body.ends_with(" to " + id)
                            : end.body == platform_adapter::WholeStreamOf(id);
  if (!end.is_sealed || !is_right)
    Break("answers are whole and the caller's own",
          id + " got \"" + end.body + "\"");
  if (known.runs == 0)
    Break("answers come from endpoints", id + " never ran");
}

void promise_ledger::OnRun(const std::string& endpoint,
                           const http::request& message,
                           time_point now) {
  ++counts_.runs;
  const std::string id(message.headers.ValueOf("Attempt-Id"));
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return Break("only callers' requests run", id + " at " + endpoint);
  history& known = found->second;
  ++known.runs;
  const planned_call& call = known.call;
  if (known.runs > 1 && call.kind == call_kind::once)
    Break("at most once", id + " ran " + std::to_string(known.runs) + " times");
  if (known.runs > kMostAttempts)
    Break("attempts are bounded",
          id + " ran " + std::to_string(known.runs) + " times");
  if (known.said_not_run)
    Break("refusals are true", id + " was refused and ran at " + endpoint);
  if (message.headers.ValueOf("Tenant") != call.team)
    Break("requests run for their team",
          id + " ran for \"" + std::string(message.headers.ValueOf("Tenant")) +
              "\" in place of \"" + call.team + "\"");
  if (message.headers.Find("X-Api-Key") != nullptr)
    Break("endpoints see no keys", id + " at " + endpoint);
  if (message.target != call.target)
    Break("requests are passed on unchanged", id + " at " + endpoint);
  CheckUse(call.team, call.tokens, now);
}

void promise_ledger::CheckUse(const std::string& team,
                              int64_t tokens,
                              time_point now) {
  const auto allowance = allowances_.find(team);
  if (allowance == allowances_.end())
    return;
  std::deque<use>& recent = uses_[team];
  recent.push_back({now, tokens});
  while (now - recent.front().at > kQuotaWindow)
    recent.pop_front();
  const int64_t used = std::accumulate(
      recent.begin(), recent.end(), int64_t{0},
      [](int64_t sum, const use& each) { return sum + each.tokens; });
  const double most =
      (allowance->second.rate_per_second * ToSeconds(kQuotaWindow) +
       allowance->second.burst) *
      kQuotaFactor;
  if (static_cast<double>(used) > most) {
    Break(
        "teams stay within their rate",
        team + " used " + std::to_string(used) + " of " + std::to_string(most));
    recent.clear();
  }
}

void promise_ledger::OnOrder(const std::string& engine,
                             const std::string& holder,
                             int64_t fencing) {
  ++counts_.orders;
  const auto [known, is_new] = holders_.try_emplace(fencing, holder);
  if (!is_new && known->second != holder)
    Break("one holder an epoch", engine + " got orders of " + holder + " and " +
                                     known->second + " under " +
                                     std::to_string(fencing));
}

void promise_ledger::OnHoldings(const std::string& engine,
                                std::size_t models,
                                std::size_t adapters) {
  if (models > kModelsPerEngine || adapters > kAdaptersPerEngine)
    Break("memory is not overcommitted",
          engine + " holds " + std::to_string(models) + " models and " +
              std::to_string(adapters) + " adapters");
}

}  // namespace jasminepath::soak
