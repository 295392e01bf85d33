#include "jasminepath/decision/admission/token_escrow.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "admission/history_check.h"
#include "jasminepath/base/random.h"

namespace jasminepath::decision {
namespace {

const team_id kTeam("beads");

struct admission_entry {
  time_point at;
  int64_t net = 0;
};

// Nodes that share one team's rate over a network that loses, duplicates and
// delays messages. The fleet records everything that was admitted.
class escrow_fleet {
 public:
  struct limits {
    int64_t rate = 0;
    int64_t burst = 0;
  };

  explicit escrow_fleet(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kNodes; ++i)
      StartNode(i);
    for (int i = 0; i < kNodes; ++i) {
      nodes_[i].fraction = i < 4 ? kWholeFractionPpm / 4 : 0;
      SetFraction(i);
    }
    may_change_limits_ = random_() % 4 == 0;
  }

  void Apply(const history_step& step) {
    const int index = step.actor % kNodes;
    switch (step.kind) {
      case 0:
      case 1:
        Reserve(index, 1 + step.amount * 2);
        break;
      case 2:
        Advance(Milliseconds(1 + step.amount / 40));
        break;
      case 3:
        Advance(Milliseconds(1 + step.amount));
        break;
      case 4:
        Settle(step.amount, step.fault);
        break;
      case 5:
        TogglePause(index);
        break;
      case 6:
        if (step.fault < 30)
          Restart(index);
        break;
      case 7:
        MoveShare(index, (step.actor / kNodes) % kNodes, step.amount * 1000);
        break;
      case 8:
        if (may_change_limits_ && step.fault < 30)
          ChangeLimits(index, step.amount % 2);
        break;
    }
  }

  // Whether every window holds at most burst + rate x window.
  bool IsWithinRate() const {
    std::vector<admission_entry> all;
    for (const auto& [call, entry] : admitted_)
      all.push_back(entry);
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    for (std::size_t from = 0; from < all.size(); ++from) {
      int64_t total = 0;
      for (std::size_t to = from; to < all.size(); ++to) {
        total += all[to].net;
        const double window = ToSeconds(all[to].at - all[from].at);
        const double allowed = static_cast<double>(highest_.burst) +
                               static_cast<double>(highest_.rate) * window;
        if (static_cast<double>(total) > allowed + 1e-6)
          return false;
      }
    }
    return true;
  }

  // Whether admitted and available tokens are covered by the refill: the fleet
  // starts empty, and no message may create tokens.
  bool HasCreatedNoTokens() {
    int64_t total = 0;
    for (const auto& [call, entry] : admitted_)
      total += entry.net;
    for (node& each : nodes_)
      total += each.escrow->Available(kTeam, now_).count();
    const int64_t rate = limits_changed_ ? highest_.rate : limits_[0].rate;
    const double refilled =
        static_cast<double>(rate) * ToSeconds(now_ - start_);
    return static_cast<double>(total) <= refilled + 1e-6;
  }

  // Whether each reservation was answered once, except those of restarted
  // nodes.
  bool HasAnsweredAll() {
    for (int i = 0; i < kNodes; ++i)
      nodes_[i].paused = false;
    Advance(kLoanLifetime);
    return requested_count_ == answered_count_ + lost_with_node_;
  }

 private:
  static constexpr int kNodes = 8;

  struct node {
    std::unique_ptr<token_escrow<peer_borrowing>> escrow;
    instance_id name;
    int64_t fraction = 0;
    bool paused = false;
    std::vector<request_id> waiting;
    std::vector<request_id> open;
  };
  struct sent_message {
    instance_id from;
    instance_id to;
    admission_message message;
  };

  void StartNode(int index) {
    node& started = nodes_[index];
    started.name = instance_id("n" + std::to_string(++instances_));
    started.escrow =
        std::make_unique<token_escrow<peer_borrowing>>(started.name);
    started.escrow->SetTeam(kTeam, tokens(limits_[0].rate),
                            tokens(limits_[0].burst), now_);
    started.waiting.clear();
    started.open.clear();
    started.paused = false;
    std::vector<instance_id> peers;
    for (const node& other : nodes_)
      peers.push_back(other.name);
    for (node& other : nodes_) {
      if (other.escrow)
        other.escrow->SetPeers(peers);
    }
  }

  void SetFraction(int index) {
    nodes_[index].escrow->SetFraction(kTeam, nodes_[index].fraction, now_);
  }

  void Reserve(int index, int64_t amount) {
    node& to = nodes_[index];
    if (to.paused)
      return;
    const request_id call("c" + std::to_string(++calls_));
    sizes_[call] = amount;
    to.waiting.push_back(call);
    ++requested_count_;
    escrow_output output;
    to.escrow->Reserve(call, kTeam, tokens(amount), now_ + Seconds(1), now_,
                       output);
    Handle(index, output);
  }

  void Settle(int which, int percent) {
    for (int i = 0; i < kNodes; ++i) {
      node& from = nodes_[(which + i) % kNodes];
      if (from.paused || from.open.empty())
        continue;
      const std::size_t index =
          static_cast<std::size_t>(which) % from.open.size();
      const request_id call = from.open[index];
      from.open.erase(from.open.begin() + static_cast<std::ptrdiff_t>(index));
      const int64_t used = sizes_[call] * percent / 100;
      admitted_[call].net = used;
      escrow_output output;
      from.escrow->Settle(call, tokens(used), now_, output);
      Handle((which + i) % kNodes, output);
      // A second settlement of the same call must have no effect.
      escrow_output again;
      from.escrow->Settle(call, tokens(0), now_, again);
      return;
    }
  }

  void Handle(int index, escrow_output& output) {
    node& from = nodes_[index];
    for (const request_id& call : output.granted) {
      admitted_[call] = {now_, sizes_[call]};
      from.open.push_back(call);
      std::erase(from.waiting, call);
      ++answered_count_;
    }
    for (const reservation_refusal& refused : output.refused) {
      std::erase(from.waiting, refused.call);
      ++answered_count_;
    }
    for (const escrow_message& message : output.messages)
      Send(from.name, message);
  }

  void Send(const instance_id& from, const escrow_message& sent) {
    const auto chance = random_() % 100;
    if (chance < 10)
      return;
    const int copies = chance < 20 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool is_late = random_() % 100 < 15;
      const duration delay =
          Milliseconds(static_cast<int64_t>(random_() % (is_late ? 400 : 3)));
      network_.emplace(now_ + delay, sent_message{from, sent.to, sent.message});
    }
  }

  void Advance(duration step) {
    const time_point end = now_ + step;
    while (now_ < end) {
      now_ = std::min(end, now_ + Milliseconds(5));
      Deliver();
      for (int i = 0; i < kNodes; ++i) {
        if (nodes_[i].paused)
          continue;
        escrow_output output;
        nodes_[i].escrow->OnTick(now_, output);
        Handle(i, output);
      }
    }
  }

  void Deliver() {
    while (!network_.empty() && network_.begin()->first <= now_) {
      const sent_message next = network_.begin()->second;
      network_.erase(network_.begin());
      for (int i = 0; i < kNodes; ++i) {
        if (nodes_[i].name != next.to)
          continue;
        if (nodes_[i].paused) {
          network_.emplace(now_ + Milliseconds(6), next);
          continue;
        }
        escrow_output output;
        nodes_[i].escrow->OnMessage(next.from, next.message, now_, output);
        Handle(i, output);
      }
    }
  }

  void TogglePause(int index) { nodes_[index].paused = !nodes_[index].paused; }

  void Restart(int index) {
    lost_with_node_ += static_cast<int64_t>(nodes_[index].waiting.size());
    StartNode(index);
    SetFraction(index);
  }

  void MoveShare(int from, int to, int64_t amount) {
    if (from == to || nodes_[from].paused)
      return;
    const int64_t moved = std::min(amount, nodes_[from].fraction);
    nodes_[from].fraction -= moved;
    SetFraction(from);
    nodes_[to].fraction += moved;
    SetFraction(to);
  }

  void ChangeLimits(int index, int which) {
    limits_changed_ = true;
    nodes_[index].escrow->SetTeam(kTeam, tokens(limits_[which].rate),
                                  tokens(limits_[which].burst), now_);
  }

  random_engine random_;
  const limits limits_[2] = {{1000, 2000}, {1500, 900}};
  const limits highest_ = {1500, 2000};
  const time_point start_ = time_point(Seconds(100));
  time_point now_ = start_;
  bool may_change_limits_ = false;
  bool limits_changed_ = false;
  node nodes_[kNodes];
  int64_t instances_ = 0;
  int64_t calls_ = 0;
  int64_t requested_count_ = 0;
  int64_t answered_count_ = 0;
  int64_t lost_with_node_ = 0;
  std::map<request_id, int64_t> sizes_;
  std::map<request_id, admission_entry> admitted_;
  std::multimap<time_point, sent_message> network_;
};

BOOST_AUTO_TEST_SUITE(token_escrow_test)

BOOST_AUTO_TEST_CASE(FleetNeverAdmitsBeyondRateAndBurst) {
  BOOST_TEST(CheckHistories("no over-admission", 6000, [] {
    escrow_fleet fleet(*rc::gen::arbitrary<uint64_t>());
    for (const history_step& step : *GenHistory(9))
      fleet.Apply(step);
    RC_ASSERT(fleet.HasCreatedNoTokens());
    RC_ASSERT(fleet.HasAnsweredAll());
    RC_ASSERT(fleet.IsWithinRate());
    RC_ASSERT(fleet.HasCreatedNoTokens());
  }));
}

// Two nodes that deliver each other's messages immediately.
struct two_nodes {
  two_nodes() {
    for (auto* node : {&a, &b}) {
      node->SetTeam(kTeam, tokens(1000), tokens(2000), now);
      node->SetFraction(kTeam, kWholeFractionPpm / 2, now);
      node->SetPeers({instance_id("a"), instance_id("b")});
    }
    now += Seconds(10);
  }
  escrow_output Exchange(escrow_output output) {
    escrow_output all;
    while (!output.messages.empty()) {
      escrow_output next;
      for (const escrow_message& sent : output.messages) {
        auto& to = sent.to == instance_id("a") ? a : b;
        const instance_id from(sent.to == instance_id("a") ? "b" : "a");
        to.OnMessage(from, sent.message, now, next);
      }
      all.granted.insert(all.granted.end(), next.granted.begin(),
                         next.granted.end());
      all.refused.insert(all.refused.end(), next.refused.begin(),
                         next.refused.end());
      output = next;
    }
    return all;
  }

  time_point now;
  token_escrow<peer_borrowing> a{instance_id("a")};
  token_escrow<peer_borrowing> b{instance_id("b")};
};

BOOST_FIXTURE_TEST_CASE(ShortageIsBorrowedFromAPeer, two_nodes) {
  escrow_output output;
  a.Reserve(request_id("c"), kTeam, tokens(1500), now + Seconds(1), now,
            output);
  BOOST_TEST(output.granted.empty());
  const escrow_output after = Exchange(output);
  BOOST_TEST(after.granted.size() == 1u);
  BOOST_TEST((a.Available(kTeam, now) + b.Available(kTeam, now) ==
              tokens(1900 - 1500)));
}

BOOST_FIXTURE_TEST_CASE(UnusedLoanIsReturnedToTheLender, two_nodes) {
  escrow_output output;
  a.Reserve(request_id("c"), kTeam, tokens(1500), now + Seconds(1), now,
            output);
  Exchange(output);
  escrow_output settled;
  a.Settle(request_id("c"), tokens(100), now, settled);
  Exchange(settled);
  BOOST_TEST(
      (a.Available(kTeam, now) + b.Available(kTeam, now) == tokens(1800)));
}

BOOST_FIXTURE_TEST_CASE(LateLoanIsNotUsed, two_nodes) {
  escrow_output output;
  a.Reserve(request_id("c"), kTeam, tokens(1500), now + Seconds(1), now,
            output);
  escrow_output lent;
  b.OnMessage(instance_id("a"), output.messages[0].message, now, lent);
  now += kLoanLifetime + Milliseconds(1);
  escrow_output late;
  a.OnTick(now, late);
  BOOST_TEST(late.refused.size() == 1u);
  escrow_output ignored;
  a.OnMessage(instance_id("b"), lent.messages[0].message, now, ignored);
  BOOST_TEST(ignored.granted.empty());
}

BOOST_FIXTURE_TEST_CASE(LoanInFlightIsCoveredByTheReducedBurst, two_nodes) {
  escrow_output output;
  a.Reserve(request_id("c"), kTeam, tokens(1900), now + Seconds(1), now,
            output);
  escrow_output lent;
  b.OnMessage(instance_id("a"), output.messages[0].message, now, lent);
  now += kLoanLifetime - Milliseconds(1);
  escrow_output arrived;
  a.OnMessage(instance_id("b"), lent.messages[0].message, now, arrived);
  BOOST_TEST(arrived.granted.size() == 1u);
  const tokens left = a.Available(kTeam, now) + b.Available(kTeam, now);
  BOOST_TEST((tokens(1900) + left <= tokens(2000)));
  BOOST_TEST((left >= tokens(49)));
}

BOOST_FIXTURE_TEST_CASE(RepeatedRequestIsDebitedOnce, two_nodes) {
  escrow_output output;
  a.Reserve(request_id("c"), kTeam, tokens(1500), now + Seconds(1), now,
            output);
  escrow_output lent;
  for (int i = 0; i < 3; ++i)
    b.OnMessage(instance_id("a"), output.messages[0].message, now, lent);
  BOOST_TEST(lent.messages.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(NewInstanceStartsEmpty, two_nodes) {
  token_escrow<peer_borrowing> fresh(instance_id("fresh"));
  fresh.SetTeam(kTeam, tokens(1000), tokens(2000), now);
  fresh.SetFraction(kTeam, kWholeFractionPpm / 2, now);
  BOOST_TEST((fresh.Available(kTeam, now) == tokens(0)));
  BOOST_TEST((fresh.Available(kTeam, now + Seconds(1)) == tokens(500)));
}

BOOST_FIXTURE_TEST_CASE(ReservationBeyondTheBurstIsRefusedAsExceedingIt,
                        two_nodes) {
  escrow_output output;
  a.Reserve(request_id("c"), kTeam, tokens(2001), now + Seconds(1), now,
            output);
  BOOST_TEST(output.refused.size() == 1u);
  BOOST_TEST(output.refused[0].exceeds_burst);
}

BOOST_AUTO_TEST_CASE(StaticSplitNeverBorrows) {
  token_escrow<static_split> node(instance_id("a"));
  const time_point now(Seconds(1));
  node.SetTeam(kTeam, tokens(1000), tokens(2000), now);
  node.SetFraction(kTeam, kWholeFractionPpm / 2, now);
  node.SetPeers({instance_id("b")});
  escrow_output output;
  node.Reserve(request_id("c"), kTeam, tokens(1500), now + Seconds(9),
               now + Seconds(9), output);
  BOOST_TEST(output.messages.empty());
  BOOST_TEST(output.refused.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(team_bucket_test)

// The amount taken from a bucket, net of restorations, never exceeds capacity +
// rate x window, whatever the order of the restorations.
BOOST_AUTO_TEST_CASE(RestoredTokensNeverExceedTheWindow) {
  BOOST_TEST(CheckHistories("bucket within its window", 2000, [] {
    time_point now(Seconds(1));
    team_bucket bucket(tokens(100), tokens(300), now);
    bucket.SetFraction(kWholeFractionPpm, now);
    struct debit {
      debit_number number;
      time_point at;
      int64_t net;
      bool can_restore;
    };
    std::vector<debit> debits;
    for (const history_step& step : *GenHistory(3)) {
      if (step.kind == 0) {
        const tokens amount(1 + step.amount / 4);
        if (const auto number = bucket.Take(amount, now))
          debits.push_back({*number, now, amount.count(), true});
      } else if (step.kind == 1) {
        now += Milliseconds(step.amount * 3);
      } else if (!debits.empty()) {
        debit& chosen =
            debits[static_cast<std::size_t>(step.amount) % debits.size()];
        if (std::exchange(chosen.can_restore, false)) {
          const int64_t back = chosen.net * step.fault / 100;
          bucket.Restore(chosen.number, tokens(back), now);
          chosen.net -= back;
        }
      }
    }
    for (std::size_t from = 0; from < debits.size(); ++from) {
      int64_t total = 0;
      for (std::size_t to = from; to < debits.size(); ++to) {
        total += debits[to].net;
        const double window = ToSeconds(debits[to].at - debits[from].at);
        RC_ASSERT(static_cast<double>(total) <= 300 + 100 * window + 1e-6);
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(RestoreIsCompleteWithoutOverflow) {
  time_point now(Seconds(1));
  team_bucket bucket(tokens(10), tokens(100), now);
  bucket.SetFraction(kWholeFractionPpm, now);
  now += Seconds(20);
  const auto debit = bucket.Take(tokens(80), now);
  now += Seconds(1);
  BOOST_TEST((bucket.Restore(*debit, tokens(60), now) == tokens(60)));
  BOOST_TEST((bucket.Available(now) == tokens(90)));
}

BOOST_AUTO_TEST_CASE(RestoreAfterFullRefillCreditsNothing) {
  time_point now(Seconds(1));
  team_bucket bucket(tokens(10), tokens(100), now);
  bucket.SetFraction(kWholeFractionPpm, now);
  now += Seconds(20);
  const auto debit = bucket.Take(tokens(80), now);
  now += Seconds(20);
  BOOST_TEST(bucket.Take(tokens(100), now).has_value());
  BOOST_TEST((bucket.Restore(*debit, tokens(60), now) == tokens(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
