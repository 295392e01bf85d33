#include "replay_metrics.h"

#include <algorithm>

#include "jasminepath/config/configuration_index.h"

namespace jasminepath::replay {
namespace {

constexpr duration kLateTolerance = Seconds(1);
constexpr double kSecondsPerHour = 3600;
constexpr double kMsPerSecond = 1000;

// Identifies the work that may run at most once: all requests with the same
// idempotency key, or the single request.
std::string ExecutionKey(const trace_request& request) {
  if (request.idempotency_key.empty())
    return "request " + request.id;
  return "key " + request.team.value() + "/" + request.idempotency_key;
}

bool MustRunAtMostOnce(const trace& source, const trace_request& request) {
  if (!request.model.empty())
    return false;
  const auto match =
      config::FindRoute(source.site, request.method, request.path);
  return match.matched != nullptr && !match.matched->idempotent;
}

double QuantileMs(const std::vector<double>& ordered, double quantile) {
  if (ordered.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(ordered.size() - 1));
  return ordered[rank];
}

}  // namespace

replay_metrics::replay_metrics(const trace& source, time_point start)
    : source_(source), start_(start) {
  for (const config::team& team : source.site.teams)
    teams_.emplace(
        team.id, team_usage{rate_meter(team.rate_per_second, team.burst, start),
                            tokens()});
}

void replay_metrics::OnArrival(const trace_request& request,
                               bool cold,
                               tokens size,
                               duration allowed,
                               time_point now) {
  arrival_order_.push_back(request.id);
  record entry;
  entry.request = &request;
  entry.cold = cold;
  entry.size = size;
  entry.arrived = now;
  entry.latest_end = now + allowed + kLateTolerance;
  records_[request.id] = entry;
}

replay_metrics::record* replay_metrics::FindOpen(const std::string& id) {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.end != end_kind::open)
    return nullptr;
  return &found->second;
}

void replay_metrics::OnExecution(const std::string& id, time_point now) {
  const auto found = records_.find(id);
  if (found == records_.end())
    return;
  record& entry = found->second;
  const trace_request& request = *entry.request;
  if (entry.executions++ == 0) {
    const auto team = teams_.find(request.team);
    if (team != teams_.end())
      team->second.meter.Take(entry.size, now);
  }
  if (MustRunAtMostOnce(source_, request) &&
      ++execution_counts_[ExecutionKey(request)] > 1)
    OnViolation("ran_more_than_once", ExecutionKey(request), now);
}

void replay_metrics::OnFirstByte(const std::string& id, time_point now) {
  record* entry = FindOpen(id);
  if (entry != nullptr && !entry->first_byte)
    entry->first_byte = now;
}

void replay_metrics::CloseRecord(record& entry, end_kind end, time_point now) {
  entry.end = end;
  entry.ended = now;
  if (now > entry.latest_end && !entry.was_paused)
    OnViolation("late_end", entry.request->id, now);
}

void replay_metrics::OnServed(const std::string& id,
                              tokens used,
                              time_point now) {
  record* entry = FindOpen(id);
  if (entry == nullptr)
    return OnViolation("answered_twice", id, now);
  if (!entry->first_byte)
    entry->first_byte = now;
  const auto team = teams_.find(entry->request->team);
  if (team != teams_.end() && entry->executions > 0) {
    team->second.meter.Refund(entry->size - used, now);
    team->second.used += used;
  }
  CloseRecord(*entry, end_kind::served, now);
}

void replay_metrics::OnRefused(const std::string& id,
                               const refusal& reason,
                               time_point now) {
  record* entry = FindOpen(id);
  if (entry == nullptr)
    return OnViolation("answered_twice", id, now);
  entry->refused = reason.code;
  if (reason.run == run_state::not_run && entry->executions > 0)
    OnViolation("false_not_run", id, now);
  if (reason.code == refusal_code::rate_limited) {
    const auto team = teams_.find(entry->request->team);
    const bool is_within_rate =
        team != teams_.end() && team->second.meter.HasTokens(entry->size, now);
    wrongful_refusals_ += is_within_rate ? 1 : 0;
    entry->is_over_rate = !is_within_rate;
  }
  CloseRecord(*entry, end_kind::refused, now);
}

void replay_metrics::OnNodeLost(const std::string& id) {
  if (record* entry = FindOpen(id))
    entry->end = end_kind::node_lost;
}

void replay_metrics::OnNodePaused(const std::string& id) {
  if (record* entry = FindOpen(id))
    entry->was_paused = true;
}

void replay_metrics::OnIdle(double accelerators, duration idle) {
  idle_accelerator_seconds_ += accelerators * ToSeconds(idle);
}

void replay_metrics::OnViolation(const std::string& rule,
                                 const std::string& detail,
                                 time_point now) {
  violations_.push_back({rule, ToMilliseconds(now - start_), detail});
}

void replay_metrics::CheckExpectation(const record& entry) {
  const trace_request& request = *entry.request;
  if (!request.expect)
    return;
  const expectation& expected = *request.expect;
  std::string problem;
  if (expected.outcome == stated_outcome::served &&
      entry.end != end_kind::served)
    problem = "was not served";
  if (expected.outcome == stated_outcome::refused &&
      (entry.end != end_kind::refused ||
       ToString(entry.refused) != expected.refusal))
    problem = "was not refused as " + expected.refusal;
  if (expected.within_ms > 0 &&
      entry.ended > entry.arrived + Milliseconds(expected.within_ms))
    problem = "ended after its stated time limit";
  if (problem.empty())
    return;
  if (entry.end == end_kind::refused)
    problem += "; refused as " + std::string(ToString(entry.refused));
  violations_.push_back(
      {"stated_outcome", request.at_ms, request.id + " " + problem});
}

void replay_metrics::CheckRates(time_point end) {
  for (const config::team& team : source_.site.teams) {
    const double allowed = static_cast<double>(team.burst.count()) +
                           static_cast<double>(team.rate_per_second.count()) *
                               ToSeconds(end - start_);
    const tokens used = teams_.at(team.id).used;
    if (static_cast<double>(used.count()) > allowed)
      OnViolation("over_rate", team.id.value(), end);
  }
}

cold_start_times replay_metrics::ColdStartTimes() const {
  std::vector<double> waits;
  for (const auto& [id, entry] : records_) {
    if (entry.cold && entry.end == end_kind::served)
      waits.push_back(ToSeconds(*entry.first_byte - entry.arrived) *
                      kMsPerSecond);
  }
  std::sort(waits.begin(), waits.end());
  cold_start_times times;
  times.count = static_cast<int64_t>(waits.size());
  times.p50_ms = QuantileMs(waits, 0.5);
  times.p99_ms = QuantileMs(waits, 0.99);
  times.max_ms = QuantileMs(waits, 1);
  return times;
}

std::vector<team_result> replay_metrics::TeamResults() const {
  std::map<team_id, team_result> results;
  std::map<team_id, int64_t> counted;
  for (const auto& [id, entry] : records_) {
    const team_id& team = entry.request->team;
    if (team.empty())
      continue;
    team_result& result = results[team];
    result.team = team;
    ++result.requests;
    result.served += entry.end == end_kind::served ? 1 : 0;
    counted[team] += entry.is_over_rate ? 0 : 1;
  }
  std::vector<team_result> listed;
  for (auto& [team, result] : results) {
    if (counted[team] > 0)
      result.served_ratio = static_cast<double>(result.served) /
                            static_cast<double>(counted[team]);
    listed.push_back(result);
  }
  return listed;
}

replay_report replay_metrics::Finish(time_point end) {
  for (const std::string& id : arrival_order_) {
    const record& entry = records_.at(id);
    if (entry.end == end_kind::open)
      OnViolation("dropped", id, end);
    CheckExpectation(entry);
  }
  CheckRates(end);
  replay_report report;
  report.requests = static_cast<int64_t>(arrival_order_.size());
  report.cold_start = ColdStartTimes();
  report.idle_accelerator_hours = idle_accelerator_seconds_ / kSecondsPerHour;
  report.teams = TeamResults();
  const auto worst =
      std::min_element(report.teams.begin(), report.teams.end(),
                       [](const team_result& a, const team_result& b) {
                         return a.served_ratio < b.served_ratio;
                       });
  if (worst != report.teams.end())
    report.worst_team = *worst;
  report.wrongful_refusals = wrongful_refusals_;
  report.violations = violations_;
  return report;
}

}  // namespace jasminepath::replay
