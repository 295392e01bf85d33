#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/decision/admission/token_escrow.h"
#include "measurements.h"

namespace jasminepath::bench {
namespace {

using decision::escrow_output;

constexpr int kNodes = 8;
constexpr int kWithinRateRequests = 10'000;
constexpr double kHotNodeFraction = 0.9;
constexpr int64_t kTableWritesPerSecond = 400;
constexpr duration kTableLatency = Milliseconds(5);
const team_id kTeam("team");

struct workload {
  const char* name;
  int64_t rate;
  int64_t burst;
  // Mean of the reserved tokens per second, as a fraction of the rate.
  double load;
};

struct request {
  request_id id;
  time_point arrival;
  time_point end;
  int node = 0;
  tokens size;
  tokens used;
  bool is_within_rate = false;
};

// Generates Poisson arrivals with the sizes of short prompts. Marks those as
// within the rate that a central bucket with the same reservations and returns
// admits.
std::vector<request> MakeRequests(const workload& load, uint64_t seed) {
  random_engine random(seed);
  constexpr int64_t kMeanSizeTokens = 350;
  const double requests_per_second =
      load.load * static_cast<double>(load.rate) / kMeanSizeTokens;
  std::exponential_distribution<double> gap(requests_per_second);
  std::uniform_int_distribution<int64_t> prompt(50, 250);
  std::uniform_int_distribution<int64_t> limit(100, 300);
  std::uniform_int_distribution<int64_t> run_ms(300, 3000);
  std::uniform_real_distribution<double> unit(0, 1);
  decision::team_bucket central(tokens(load.rate), tokens(load.burst),
                                time_point());
  central.SetFraction(decision::kWholeFractionPpm, time_point());
  std::vector<request> made;
  std::multimap<time_point, std::pair<decision::debit_number, tokens>> ends;
  double at = 60;
  int within = 0;
  while (within < kWithinRateRequests) {
    at += gap(random);
    request next;
    next.id = request_id("r" + std::to_string(made.size()));
    next.arrival = time_point(duration(static_cast<int64_t>(at * 1e9)));
    next.end = next.arrival + Milliseconds(run_ms(random));
    next.node = unit(random) < kHotNodeFraction
                    ? 0
                    : 1 + static_cast<int>(random() % (kNodes - 1));
    const int64_t prompt_tokens = prompt(random);
    const int64_t max_generated = limit(random);
    next.size = tokens(prompt_tokens + max_generated);
    next.used = tokens(prompt_tokens +
                       static_cast<int64_t>(
                           unit(random) * static_cast<double>(max_generated)));
    while (!ends.empty() && ends.begin()->first <= next.arrival) {
      const auto [debit, unused] = ends.begin()->second;
      central.Restore(debit, unused, ends.begin()->first);
      ends.erase(ends.begin());
    }
    if (const auto debit = central.Take(next.size, next.arrival)) {
      next.is_within_rate = true;
      ++within;
      ends.emplace(next.end, std::pair(*debit, next.size - next.used));
    }
    made.push_back(next);
  }
  return made;
}

struct outcome {
  int64_t wrongful = 0;
  int64_t admitted = 0;
  int64_t messages = 0;
  int64_t writes = 0;
};

// Simulates eight nodes with equal fractions of the rate and a message latency
// of 0.5 to 2 ms.
template <typename Policy>
outcome RunEscrow(const workload& load,
                  const std::vector<request>& requests,
                  uint64_t seed) {
  random_engine random(seed);
  std::vector<std::unique_ptr<decision::token_escrow<Policy>>> nodes;
  std::vector<instance_id> names;
  for (int i = 0; i < kNodes; ++i)
    names.emplace_back("n" + std::to_string(i));
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<decision::token_escrow<Policy>>(names[i]));
    nodes[i]->SetTeam(kTeam, tokens(load.rate), tokens(load.burst),
                      time_point());
    nodes[i]->SetFraction(kTeam, decision::kWholeFractionPpm / kNodes,
                          time_point());
    nodes[i]->SetPeers(names);
  }
  struct delivery {
    int from = 0;
    int to = 0;
    decision::admission_message message;
  };
  std::multimap<time_point, delivery> network;
  std::multimap<time_point, const request*> ends;
  std::unordered_map<request_id, const request*> by_id;
  outcome total;
  const auto HandleOutput = [&](int node, const escrow_output& output,
                                time_point now) {
    for (const request_id& id : output.granted) {
      ++total.admitted;
      const request* granted = by_id.at(id);
      ends.emplace(std::max(granted->end, now), granted);
    }
    for (const auto& refused : output.refused)
      total.wrongful += by_id.at(refused.call)->is_within_rate ? 1 : 0;
    for (const auto& sent : output.messages) {
      ++total.messages;
      const auto to = std::find(names.begin(), names.end(), sent.to);
      const duration delay = std::chrono::microseconds(500 + random() % 1500);
      network.emplace(
          now + delay,
          delivery{node, static_cast<int>(to - names.begin()), sent.message});
    }
  };
  std::size_t next = 0;
  while (true) {
    std::optional<time_point> now;
    const auto ConsiderDeadline = [&now](time_point due) {
      now = now ? std::min(*now, due) : due;
    };
    if (next < requests.size())
      ConsiderDeadline(requests[next].arrival);
    if (!network.empty())
      ConsiderDeadline(network.begin()->first);
    if (!ends.empty())
      ConsiderDeadline(ends.begin()->first);
    for (const auto& node : nodes) {
      if (const auto due = node->NextDeadline())
        ConsiderDeadline(*due);
    }
    if (!now)
      break;
    while (!network.empty() && network.begin()->first <= *now) {
      const delivery arrived = network.begin()->second;
      network.erase(network.begin());
      escrow_output output;
      nodes[arrived.to]->OnMessage(names[arrived.from], arrived.message, *now,
                                   output);
      HandleOutput(arrived.to, output, *now);
    }
    while (!ends.empty() && ends.begin()->first <= *now) {
      const request& ended = *ends.begin()->second;
      ends.erase(ends.begin());
      escrow_output output;
      nodes[ended.node]->Settle(ended.id, ended.used, *now, output);
      HandleOutput(ended.node, output, *now);
    }
    if (next < requests.size() && requests[next].arrival <= *now) {
      const request& arriving = requests[next++];
      by_id[arriving.id] = &arriving;
      escrow_output output;
      nodes[arriving.node]->Reserve(arriving.id, kTeam, arriving.size,
                                    *now + Seconds(10), *now, output);
      HandleOutput(arriving.node, output, *now);
    }
    for (int i = 0; i < kNodes; ++i) {
      if (const auto due = nodes[i]->NextDeadline(); due && *due <= *now) {
        escrow_output output;
        nodes[i]->OnTick(*now, output);
        HandleOutput(i, output, *now);
      }
    }
  }
  return total;
}

// Simulates a bucket in one row of the table, with one write per grant and per
// return. The table serves writes in order at its rate and reports no
// conflicts, so the result is better than that of a real table. A grant that
// takes longer than the lifetime of a loan counts as a refusal.
outcome RunTableGrants(const workload& load,
                       const std::vector<request>& requests) {
  decision::team_bucket bucket(tokens(load.rate), tokens(load.burst),
                               time_point());
  bucket.SetFraction(decision::kWholeFractionPpm, time_point());
  constexpr duration kServiceTime = Seconds(1) / kTableWritesPerSecond;
  struct write {
    const request* caller = nullptr;
    std::optional<decision::debit_number> debit;
  };
  std::multimap<time_point, write> pending_writes;
  for (const request& each : requests)
    pending_writes.emplace(each.arrival, write{&each, std::nullopt});
  time_point free_at;
  outcome total;
  while (!pending_writes.empty()) {
    const auto [at, next] = *pending_writes.begin();
    pending_writes.erase(pending_writes.begin());
    const time_point start = std::max(at, free_at);
    const time_point done = start + kTableLatency;
    const bool is_grant = !next.debit;
    if (is_grant && done > at + decision::kLoanLifetime) {
      total.wrongful += next.caller->is_within_rate ? 1 : 0;
      continue;
    }
    free_at = start + kServiceTime;
    ++total.writes;
    if (!is_grant) {
      bucket.Restore(*next.debit, next.caller->size - next.caller->used, start);
      continue;
    }
    const auto debit = bucket.Take(next.caller->size, start);
    if (!debit) {
      total.wrongful += next.caller->is_within_rate ? 1 : 0;
      continue;
    }
    ++total.admitted;
    pending_writes.emplace(std::max(next.caller->end, done),
                           write{next.caller, debit});
  }
  return total;
}

void Print(const workload& load,
           const std::vector<request>& requests,
           const char* scheme,
           const outcome& total) {
  const double seconds =
      ToSeconds(requests.back().arrival - requests.front().arrival);
  std::printf(
      "measure=wrongful_refusals workload=%s load=%.2f requests=%zu "
      "requests_per_s=%.0f within_rate=%d scheme=%s wrongful=%lld "
      "admitted=%lld peer_messages_per_s=%.1f table_writes_per_s=%.1f\n",
      load.name, load.load, requests.size(),
      static_cast<double>(requests.size()) / seconds, kWithinRateRequests,
      scheme, static_cast<long long>(total.wrongful),
      static_cast<long long>(total.admitted),
      static_cast<double>(total.messages) / seconds,
      static_cast<double>(total.writes) / seconds);
}

}  // namespace

void MeasureWrongfulRefusals(uint64_t seed) {
  const workload workloads[] = {
      {"today", 10'000, 30'000, 0.5},     {"today", 10'000, 30'000, 0.8},
      {"today", 10'000, 30'000, 1.2},     {"today", 10'000, 30'000, 8.0},
      {"large", 400'000, 1'200'000, 0.8}, {"large", 400'000, 1'200'000, 8.0},
  };
  for (const workload& load : workloads) {
    const std::vector<request> requests = MakeRequests(load, seed);
    Print(load, requests, "escrow",
          RunEscrow<decision::peer_borrowing>(load, requests, seed));
    Print(load, requests, "static_split",
          RunEscrow<decision::static_split>(load, requests, seed));
    Print(load, requests, "table_write_per_grant",
          RunTableGrants(load, requests));
  }
}

}  // namespace jasminepath::bench
