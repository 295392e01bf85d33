#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/decision/admission/fair_queue.h"
#include "jasminepath/decision/admission/team_bucket.h"
#include "measurements.h"

namespace jasminepath::bench {
namespace {

using decision::queued_call;

constexpr int kTeams = 5;
constexpr double kSimulatedSeconds = 2000;
constexpr double kServedTokensPerSecond = 10'000;
constexpr std::size_t kQueueLimitCalls = 256;
// Combined demand of the four ordinary teams, as a fraction of the capacity.
constexpr double kOrdinaryLoadFraction = 0.64;

// A FIFO queue, as the baseline.
class arrival_order_queue {
 public:
  explicit arrival_order_queue(std::size_t limit) : limit_(limit) {}
  std::optional<queued_call> Push(queued_call call) {
    if (calls_.size() >= limit_)
      return call;
    calls_.push_back(std::move(call));
    return std::nullopt;
  }
  std::optional<queued_call> Pop() {
    if (calls_.empty())
      return std::nullopt;
    const queued_call first = calls_.front();
    calls_.pop_front();
    return first;
  }
  void OnUnused(const team_id&, int64_t, tokens) {}
  bool empty() const { return calls_.empty(); }

 private:
  std::size_t limit_;
  std::deque<queued_call> calls_;
};

struct arrival {
  double at_s = 0;
  int team = 0;
  int64_t size = 0;
  int64_t used = 0;
};

// The arrivals of the ordinary teams do not depend on `heavy_factor`.
std::vector<arrival> MakeArrivals(double heavy_factor, uint64_t seed) {
  std::vector<arrival> all;
  const double each =
      kOrdinaryLoadFraction / (kTeams - 1) * kServedTokensPerSecond;
  for (int team = 0; team < kTeams; ++team) {
    random_engine random(seed + static_cast<uint64_t>(team));
    // The requests of one team are four times as large as those of the others.
    const int64_t scale = team == 1 ? 4 : 1;
    const double mean_used = 275.0 * static_cast<double>(scale);
    const double factor = team == kTeams - 1 ? heavy_factor : 1.0;
    if (factor == 0)
      continue;
    std::exponential_distribution<double> gap(each * factor / mean_used);
    std::uniform_int_distribution<int64_t> prompt(50, 250);
    std::uniform_int_distribution<int64_t> limit(100, 400);
    std::uniform_real_distribution<double> unit(0, 1);
    for (double at_s = gap(random); at_s < kSimulatedSeconds;
         at_s += gap(random)) {
      const int64_t prompt_tokens = prompt(random) * scale;
      const int64_t max_generated = limit(random) * scale;
      const auto generated = static_cast<int64_t>(
          unit(random) * static_cast<double>(max_generated));
      all.push_back({at_s, team, prompt_tokens + max_generated,
                     prompt_tokens + generated});
    }
  }
  std::sort(all.begin(), all.end(),
            [](const arrival& a, const arrival& b) { return a.at_s < b.at_s; });
  return all;
}

struct team_waits {
  std::vector<double> seconds;
  int64_t refused = 0;
  int64_t used = 0;
};

// Returns the arrivals that remain after the last team's rate limit: 125% of
// its share, with a burst of two seconds at that rate. Unused tokens are
// returned immediately.
std::vector<arrival> ApplyRateLimit(const std::vector<arrival>& arrivals) {
  const double share =
      kOrdinaryLoadFraction / (kTeams - 1) * kServedTokensPerSecond;
  const tokens rate(static_cast<int64_t>(share * 1.25));
  decision::team_bucket bucket(rate, tokens(2 * rate.count()), time_point());
  bucket.SetFraction(decision::kWholeFractionPpm, time_point());
  std::vector<arrival> passed;
  for (const arrival& incoming : arrivals) {
    const time_point now(duration(static_cast<int64_t>(incoming.at_s * 1e9)));
    if (incoming.team == kTeams - 1) {
      const auto debit = bucket.Take(tokens(incoming.size), now);
      if (!debit)
        continue;
      bucket.Restore(*debit, tokens(incoming.size - incoming.used), now);
    }
    passed.push_back(incoming);
  }
  return passed;
}

// Serves one call at a time, in the order of the queue.
template <typename Queue>
std::vector<team_waits> Serve(const std::vector<arrival>& arrivals) {
  Queue queue(kQueueLimitCalls);
  std::vector<team_waits> waits(kTeams);
  double free_at_s = 0;
  std::size_t next = 0;
  while (next < arrivals.size() || !queue.empty()) {
    while (next < arrivals.size() &&
           (queue.empty() || arrivals[next].at_s <= free_at_s)) {
      const arrival& incoming = arrivals[next];
      queued_call call;
      call.id = request_id(std::to_string(next));
      call.team = team_id("t" + std::to_string(incoming.team));
      call.size = tokens(incoming.size);
      if (const auto out = queue.Push(call)) {
        const auto index = std::stoul(out->id.value());
        ++waits[static_cast<std::size_t>(arrivals[index].team)].refused;
      }
      free_at_s = std::max(free_at_s, incoming.at_s);
      ++next;
    }
    const auto taken = queue.Pop();
    if (!taken)
      continue;
    const arrival& served = arrivals[std::stoul(taken->id.value())];
    team_waits& entry = waits[static_cast<std::size_t>(served.team)];
    entry.seconds.push_back(free_at_s - served.at_s);
    entry.used += served.used;
    free_at_s += static_cast<double>(served.used) / kServedTokensPerSecond;
    queue.OnUnused(taken->team, taken->priority,
                   tokens(served.size - served.used));
  }
  return waits;
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

template <typename Queue>
void Measure(const char* name,
             double factor,
             bool is_rate_limited,
             uint64_t seed) {
  const std::vector<arrival> arrivals = MakeArrivals(factor, seed);
  const auto waits =
      Serve<Queue>(is_rate_limited ? ApplyRateLimit(arrivals) : arrivals);
  for (int team = 0; team < kTeams; ++team) {
    const team_waits& entry = waits[static_cast<std::size_t>(team)];
    const char* kind = team == kTeams - 1 ? "heavy"
                       : team == 1        ? "large_calls"
                                          : "ordinary";
    if (team == 2 || team == 3)
      continue;
    std::printf(
        "measure=queue_fairness queue=%s heavy_factor=%.0f "
        "rate_limited=%s team=%s calls=%zu "
        "wait_p50_ms=%.0f wait_p99_ms=%.0f refused=%lld tokens_per_s=%.0f\n",
        name, factor, is_rate_limited ? "yes" : "no", kind,
        entry.seconds.size(), Quantile(entry.seconds, 0.5) * 1e3,
        Quantile(entry.seconds, 0.99) * 1e3,
        static_cast<long long>(entry.refused),
        static_cast<double>(entry.used) / kSimulatedSeconds);
  }
}

}  // namespace

void MeasureQueueFairness(uint64_t seed) {
  struct setting {
    double factor = 1;
    bool is_rate_limited = false;
  };
  for (const auto& [factor, is_rate_limited] :
       {setting{1, false}, setting{8, false}, setting{8, true}}) {
    Measure<decision::fair_queue<decision::virtual_token_counters>>(
        "virtual_token_counters", factor, is_rate_limited, seed);
    Measure<decision::fair_queue<decision::deficit_round_robin>>(
        "deficit_round_robin", factor, is_rate_limited, seed);
    Measure<arrival_order_queue>("arrival_order", factor, is_rate_limited,
                                 seed);
  }
}

}  // namespace jasminepath::bench
