#include "invariant_checker.h"

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

invariant_checker::invariant_checker(
    std::map<std::string, team_allowance> allowances)
    : allowances_(std::move(allowances)) {}

void invariant_checker::AddViolation(const std::string& invariant,
                                     const std::string& detail) {
  violations_[invariant].push_back(detail);
}

void invariant_checker::OnSent(const planned_call& call, time_point now) {
  ++counts_.calls;
  calls_[call.id] = {call, now, 0, false};
}

void invariant_checker::OnEnd(const planned_call& call,
                              const call_end& end,
                              bool is_undisturbed,
                              time_point now) {
  call_record& record = calls_[call.id];
  if (end.is_complete && end.status >= 200 && end.status < 300) {
    ++counts_.answered;
    return CheckAnswer(record, end);
  }
  if (end.is_complete && IsRefusal(end.status) && !end.is_sealed) {
    ++counts_.refused;
    record.is_reported_not_run = true;
    if (record.runs > 0)
      AddViolation("refused requests do not run",
                   call.id + " was refused with " + std::to_string(end.status) +
                       " but had run");
    return;
  }
  ++counts_.failed;
  if (end.status == 401 || end.status == 403 || end.status == 404)
    AddViolation("proper requests are not denied",
                 call.id + " got " + std::to_string(end.status));
  if (end.has_timed_out && is_undisturbed)
    AddViolation("requests end in time", call.id + " got no answer");
  const bool is_lost = record.runs > 0 || now - record.sent_at > kLossSlack;
  if (is_undisturbed && end.failure == http::call_failure::broken && is_lost)
    AddViolation("planned work loses no requests",
                 call.id + " ended without an answer after " +
                     std::to_string(ToMilliseconds(now - record.sent_at)) +
                     " ms");
}

void invariant_checker::CheckAnswer(const call_record& record,
                                    const call_end& end) {
  const std::string& id = record.call.id;
  const bool is_expected =
      record.call.model.empty()
          ? end.body.starts_with("answer of ") &&
                end.body.ends_with(" to " + id)
          : end.body == platform_adapter::WholeStreamOf(id);
  if (!end.is_sealed || !is_expected)
    AddViolation("answers are whole and the caller's own",
                 id + " got \"" + end.body + "\"");
  if (record.runs == 0)
    AddViolation("answers come from endpoints", id + " never ran");
}

void invariant_checker::OnRun(const std::string& endpoint,
                              const http::request& message,
                              time_point now) {
  ++counts_.runs;
  const std::string id(message.headers.ValueOf("Attempt-Id"));
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return AddViolation("only callers' requests run", id + " at " + endpoint);
  call_record& record = found->second;
  ++record.runs;
  const planned_call& call = record.call;
  if (record.runs > 1 && call.kind == call_kind::non_idempotent)
    AddViolation("at most once",
                 id + " ran " + std::to_string(record.runs) + " times");
  if (record.runs > kMaxAttempts)
    AddViolation("attempts are bounded",
                 id + " ran " + std::to_string(record.runs) + " times");
  if (record.is_reported_not_run)
    AddViolation("refused requests do not run",
                 id + " was refused and ran at " + endpoint);
  if (message.headers.ValueOf("Tenant") != call.team)
    AddViolation("requests run for their team",
                 id + " ran for \"" +
                     std::string(message.headers.ValueOf("Tenant")) +
                     "\" instead of \"" + call.team + "\"");
  if (message.headers.Find("X-Api-Key") != nullptr)
    AddViolation("endpoints receive no API keys", id + " at " + endpoint);
  if (message.target != call.target)
    AddViolation("requests are passed on unchanged", id + " at " + endpoint);
  CheckTokenUse(call.team, call.tokens, now);
}

void invariant_checker::CheckTokenUse(const std::string& team,
                                      int64_t tokens,
                                      time_point now) {
  const auto allowance = allowances_.find(team);
  if (allowance == allowances_.end())
    return;
  std::deque<token_use>& recent = uses_[team];
  recent.push_back({now, tokens});
  while (now - recent.front().at > kQuotaWindow)
    recent.pop_front();
  const int64_t used = std::accumulate(
      recent.begin(), recent.end(), int64_t{0},
      [](int64_t sum, const token_use& each) { return sum + each.tokens; });
  const double limit =
      (allowance->second.rate_per_second * ToSeconds(kQuotaWindow) +
       allowance->second.burst) *
      kQuotaFactor;
  if (static_cast<double>(used) > limit) {
    AddViolation("teams stay within their rate limit",
                 team + " used " + std::to_string(used) + " of " +
                     std::to_string(limit));
    recent.clear();
  }
}

void invariant_checker::OnOrder(const std::string& engine,
                                const std::string& holder,
                                int64_t fencing) {
  ++counts_.orders;
  const auto [found, is_new] = holders_.try_emplace(fencing, holder);
  if (!is_new && found->second != holder)
    AddViolation("an epoch has one holder",
                 engine + " got orders from " + holder + " and " +
                     found->second + " in epoch " + std::to_string(fencing));
}

void invariant_checker::OnResidency(const std::string& engine,
                                    std::size_t models,
                                    std::size_t adapters) {
  if (models > kMaxModelsPerEngine || adapters > kMaxAdaptersPerEngine)
    AddViolation("memory is not overcommitted",
                 engine + " holds " + std::to_string(models) + " models and " +
                     std::to_string(adapters) + " adapters");
}

}  // namespace jasminepath::soak
