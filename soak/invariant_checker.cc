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
  call_record record;
  record.call = call;
  record.sent_at = now;
  calls_[call.id] = std::move(record);
}

void invariant_checker::OnEnd(const planned_call& call,
                              const call_end& end,
                              const call_conditions& conditions,
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
  CheckCut(record, end, conditions, now);
}

void invariant_checker::OnProbeEnd(const planned_call& call,
                                   const call_end& end,
                                   const call_conditions& conditions,
                                   time_point now) {
  if (!end.is_complete)
    CheckCut(calls_[call.id], end, conditions, now);
}

void invariant_checker::CheckCut(call_record& record,
                                 const call_end& end,
                                 const call_conditions& conditions,
                                 time_point now) {
  const std::string& id = record.call.id;
  if (end.failure == http::call_failure::malformed)
    AddViolation("answers follow the protocol", id);
  if (!conditions.is_undisturbed)
    return;
  if (end.has_timed_out)
    AddViolation("requests end in time",
                 DescribeCut(record, end, conditions, now));
  const bool is_cut = end.failure == http::call_failure::broken ||
                      end.failure == http::call_failure::malformed;
  if (!is_cut)
    return;
  if (record.runs == 0 && now - record.sent_at <= kLossSlack) {
    record.is_unread = true;
    return;
  }
  const std::string excuse = ExcuseFor(record, conditions, now);
  const std::string line = DescribeCut(record, end, conditions, now);
  ++counts_.cut;
  cuts_.push_back(line + " verdict=" + (excuse.empty() ? "lost" : excuse));
  if (!excuse.empty())
    return;
  ++counts_.lost;
  AddViolation("planned work loses no requests", line);
}

std::string invariant_checker::DescribeCut(const call_record& record,
                                           const call_end& end,
                                           const call_conditions& conditions,
                                           time_point now) {
  const planned_call& call = record.call;
  const time_point zero = conditions.stopped_at.value_or(record.sent_at);
  const auto at = [zero](time_point time) {
    return std::to_string(ToMilliseconds(time - zero));
  };
  std::string line = call.id + " target=" + call.target.substr(0, 7) +
                     " node=" + conditions.node +
                     (conditions.is_first_on_connection ? " first" : " later") +
                     "_on_connection " +
                     (conditions.stopped_at ? "sigterm=0" : "sigterm=none") +
                     " sent=" + at(record.sent_at) + " cut=" + at(now) +
                     " status=" + std::to_string(end.status) +
                     " runs=" + std::to_string(record.runs);
  if (record.last_run) {
    const run_record& run = *record.last_run;
    line += " at=" + run.endpoint + " from=" + at(run.began_at);
    if (run.ended_at)
      line += " until=" + at(*run.ended_at);
  }
  if (!call.model.empty())
    line +=
        " stream_ms=" +
        std::to_string(call.stream.events *
                       ToMilliseconds(call.stream.event_interval)) +
        " queue_ms=" + std::to_string(ToMilliseconds(call.stream.queue_time));
  if (conditions.reloaded_at)
    line += " reloaded=" + at(*conditions.reloaded_at);
  if (conditions.reconfigured_at)
    line += " reconfigured=" + at(*conditions.reconfigured_at);
  return line;
}

std::string invariant_checker::ExcuseFor(const call_record& record,
                                         const call_conditions& conditions,
                                         time_point now) {
  if (now - record.sent_at >= record.call.timeout - kTimeoutMargin)
    return "time_used_up";
  if (!record.last_run)
    return "";
  const run_record& run = *record.last_run;
  if (run.end == platform_adapter::run_end::broke_off)
    return "endpoint_broke_off";
  if (!conditions.stopped_at)
    return "";
  const time_point stopped_at = *conditions.stopped_at;
  const bool is_at_work_late =
      run.ended_at.value_or(now) >= stopped_at + kLateInStop;
  if (record.sent_at <= stopped_at + kStopNoticeTime && is_at_work_late)
    return "at_work_late_in_stop";
  return "";
}

platform_adapter::stream_shape invariant_checker::StreamOf(
    std::string_view id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? platform_adapter::stream_shape()
                               : found->second.call.stream;
}

void invariant_checker::CheckAnswer(const call_record& record,
                                    const call_end& end) {
  const std::string& id = record.call.id;
  const bool is_expected = record.call.model.empty()
                               ? end.body.starts_with("answer of ") &&
                                     end.body.ends_with(" to " + id)
                               : end.body == platform_adapter::WholeStreamOf(
                                                 id, record.call.stream.events);
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
  record.last_run.emplace();
  record.last_run->endpoint = endpoint;
  record.last_run->began_at = now;
  const planned_call& call = record.call;
  if (record.runs > 1 && call.kind == call_kind::non_idempotent)
    AddViolation("at most once",
                 id + " ran " + std::to_string(record.runs) + " times");
  if (record.runs > kMaxAttempts)
    AddViolation("attempts are bounded",
                 id + " ran " + std::to_string(record.runs) + " times");
  if (record.is_unread) {
    ++counts_.lost;
    AddViolation(
        "planned work loses no requests",
        id + " ran at " + endpoint + " after its connection had ended");
  }
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

void invariant_checker::OnRunEnd(const std::string& endpoint,
                                 const std::string& request,
                                 platform_adapter::run_end how,
                                 time_point now) {
  const auto found = calls_.find(request);
  if (found == calls_.end() || !found->second.last_run)
    return;
  run_record& run = *found->second.last_run;
  // A repeated request may begin to run before the end of its earlier run is
  // known.
  if (run.endpoint != endpoint)
    return;
  run.ended_at = now;
  run.end = how;
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
