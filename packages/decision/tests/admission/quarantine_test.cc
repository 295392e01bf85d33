#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admission/admission_fixture.h"
#include "admission/history_check.h"

namespace jasminepath::decision {
namespace {

constexpr int kNodes = 8;
constexpr duration kCrashDelay = Milliseconds(150);
constexpr duration kTableLatency = Milliseconds(10);
constexpr duration kFactDelay = Seconds(2);

// Eight nodes with endpoints that one request crashes. The table answers after
// a delay or not at all; committed facts reach the nodes later than messages
// between nodes.
class poisoned_fleet {
 public:
  poisoned_fleet(uint64_t seed, bool table_is_up)
      : random_(seed), table_is_up_(table_is_up) {
    std::vector<instance_id> names;
    for (int i = 0; i < kNodes; ++i)
      names.emplace_back("n" + std::to_string(i));
    for (int i = 0; i < kNodes; ++i) {
      node& at = nodes_[i];
      at.name = names[i];
      at.calls = std::make_unique<call_coordinator<fake_router>>(
          at.name, at.router, random_engine(random_()), coordinator_limits());
      std::vector<call_action> actions;
      at.calls->OnConfiguration(MakeTestConfiguration(), now_, actions);
      at.calls->OnKeyFact(MakeTestKey("kb", "beads"), revision(1), now_,
                          actions);
      at.calls->OnShare(team_id("beads"), kWholeFractionPpm / kNodes, now_,
                        actions);
      at.calls->OnPeers(names, now_, actions);
      at.calls->OnReadiness(true, refusal_code::isolated, now_, actions);
    }
    Advance(Seconds(5));
  }

  request_id Send(int at, const std::string& body) {
    call_arrival arrival;
    arrival.id = request_id("r" + std::to_string(++sent_));
    arrival.presented_key = "kb.secret";
    arrival.target = model_target{model_id("m"), {}, tokens(10), tokens(10)};
    arrival.body_digest = body;
    std::vector<call_action> actions;
    nodes_[at % kNodes].calls->OnArrival(arrival, now_, actions);
    Handle(at % kNodes, actions);
    return arrival.id;
  }

  void Advance(duration step) {
    const time_point end = now_ + step;
    while (now_ < end) {
      now_ += Milliseconds(1);
      CrashEndpoints();
      while (!scheduled_work_.empty() &&
             scheduled_work_.begin()->first <= now_) {
        const auto due = scheduled_work_.begin()->second;
        scheduled_work_.erase(scheduled_work_.begin());
        due();
      }
      for (int i = 0; i < kNodes; ++i) {
        std::vector<call_action> actions;
        nodes_[i].calls->OnTick(now_, actions);
        Handle(i, actions);
      }
    }
  }

  bool HasEnded(const request_id& id) const { return ends_.contains(id); }
  bool WasAnswered(const request_id& id) const {
    const auto found = ends_.find(id);
    return found != ends_.end() && found->second;
  }
  int crashes() const { return crashes_; }

 private:
  struct node {
    instance_id name;
    fake_router router{6, 4};
    std::unique_ptr<call_coordinator<fake_router>> calls;
  };
  struct running_attempt {
    int node = 0;
    dispatch_call sent;
    time_point since;
  };

  // Crashes each endpoint that has run the request long enough, and ends all
  // attempts there.
  void CrashEndpoints() {
    while (true) {
      endpoint_id crashed;
      for (const running_attempt& each : running_) {
        if (now_ >= each.since + kCrashDelay)
          crashed = each.sent.endpoint;
      }
      if (crashed.empty())
        break;
      ++crashes_;
      std::vector<running_attempt> lost;
      std::erase_if(running_, [&](const running_attempt& each) {
        if (each.sent.endpoint != crashed)
          return false;
        lost.push_back(each);
        return true;
      });
      for (const running_attempt& each : lost) {
        attempt_report report = Failed(attempt_end::cut, run_state::unknown);
        report.endpoint_died = true;
        Report(each, report);
      }
    }
  }

  void Report(const running_attempt& ended, const attempt_report& report) {
    std::vector<call_action> actions;
    nodes_[ended.node].calls->OnAttemptEnd(ended.sent.id, ended.sent.attempt,
                                           report, now_, actions);
    Handle(ended.node, actions);
  }

  void Handle(int at, const std::vector<call_action>& actions) {
    for (const call_action& action : actions) {
      if (const auto* dispatch = std::get_if<dispatch_call>(&action))
        running_.push_back({at, *dispatch, now_});
      else if (const auto* refused = std::get_if<refuse_call>(&action))
        ends_[refused->id] = false;
      else if (const auto* finished = std::get_if<finish_call>(&action))
        ends_[finished->id] = true;
      else if (const auto* sent = std::get_if<send_admission_message>(&action))
        Deliver(at, *sent);
      else if (const auto* write = std::get_if<publish_quarantine>(&action))
        Publish(at, *write);
    }
  }

  void Deliver(int from, const send_admission_message& sent) {
    const int to = std::stoi(sent.to.value().substr(1));
    RunAfter(Milliseconds(1 + static_cast<int64_t>(random_() % 3)),
             [this, from, to, message = sent.message] {
               std::vector<call_action> actions;
               nodes_[to].calls->OnAdmissionMessage(nodes_[from].name, message,
                                                    now_, actions);
               Handle(to, actions);
             });
  }

  void Publish(int from, const publish_quarantine& write) {
    RunAfter(kTableLatency, [this, from, write] {
      using status = quarantine_write_outcome::status;
      quarantine_write_outcome outcome;
      outcome.result = status::unreachable;
      if (table_is_up_)
        outcome = Commit(write);
      std::vector<call_action> actions;
      nodes_[from].calls->OnQuarantineOutcome(write.record.fingerprint, outcome,
                                              now_, actions);
      Handle(from, actions);
    });
  }

  quarantine_write_outcome Commit(const publish_quarantine& write) {
    using status = quarantine_write_outcome::status;
    const request_fingerprint& name = write.record.fingerprint;
    const auto found = rows_.find(name);
    const revision existing =
        found == rows_.end() ? revision(0) : versions_[name];
    if (existing != write.expected) {
      if (found == rows_.end())
        return {status::conflict, {}, std::nullopt};
      return {status::conflict, existing, found->second};
    }
    const revision version(++last_version_);
    if (write.record.state == quarantine_state::cleared)
      rows_.erase(name);
    else
      rows_[name] = write.record;
    versions_[name] = version;
    for (int i = 0; i < kNodes; ++i) {
      RunAfter(kFactDelay, [this, i, version, record = write.record] {
        std::vector<call_action> actions;
        nodes_[i].calls->OnQuarantineFact(record, version, now_, actions);
        Handle(i, actions);
      });
    }
    return {status::committed, version, std::nullopt};
  }

  void RunAfter(duration delay, std::function<void()> work) {
    scheduled_work_.emplace(now_ + delay, std::move(work));
  }

  random_engine random_;
  bool table_is_up_;
  time_point now_ = time_point(Seconds(100));
  node nodes_[kNodes];
  int sent_ = 0;
  int crashes_ = 0;
  int64_t last_version_ = 0;
  std::vector<running_attempt> running_;
  std::map<request_id, bool> ends_;
  std::map<request_fingerprint, quarantine_record> rows_;
  std::map<request_fingerprint, revision> versions_;
  std::multimap<time_point, std::function<void()>> scheduled_work_;
};

constexpr int kResends = 50;

// Returns the number of crashes when the caller resends the refused request,
// each time to another node.
int CountCrashesUnderResends(bool table_is_up) {
  poisoned_fleet fleet(5, table_is_up);
  for (int i = 0; i < kResends; ++i) {
    const request_id id = fleet.Send(i, "poison");
    for (int step = 0; step < 60'000 && !fleet.HasEnded(id); step += 10)
      fleet.Advance(Milliseconds(10));
    BOOST_TEST(fleet.HasEnded(id));
    BOOST_TEST(!fleet.WasAnswered(id));
  }
  return fleet.crashes();
}

BOOST_AUTO_TEST_SUITE(quarantine_test)

BOOST_AUTO_TEST_CASE(ResentRequestCrashesAtMostTwoEndpoints) {
  BOOST_TEST(CountCrashesUnderResends(true) <= 2);
}

BOOST_AUTO_TEST_CASE(ResentRequestCrashesAtMostTwoEndpointsWithoutTheTable) {
  BOOST_TEST(CountCrashesUnderResends(false) <= 2);
}

BOOST_AUTO_TEST_CASE(ConcurrentCopiesCrashAtMostTwoEndpoints) {
  poisoned_fleet fleet(5, true);
  std::vector<request_id> sent;
  for (int i = 0; i < kResends; ++i)
    sent.push_back(fleet.Send(i, "poison"));
  fleet.Advance(Seconds(70));
  for (const request_id& id : sent)
    BOOST_TEST(fleet.HasEnded(id));
  BOOST_TEST(fleet.crashes() <= 2);
}

BOOST_FIXTURE_TEST_CASE(HarmlessRequestIsRetriedOnceAndCleared,
                        admission_fixture) {
  Arrive(ModelCall("r1"));
  attempt_report died = Failed(attempt_end::cut, run_state::unknown);
  died.endpoint_died = true;
  EndAttempt("r1", died);
  BOOST_TEST(EmittedActions<dispatch_call>().empty());
  const auto writes = EmittedActions<publish_quarantine>();
  BOOST_TEST(writes.size() == 1u);
  BOOST_TEST((writes[0].record.trial == request_id("r1")));
  call_arrival copy = ModelCall("r2");
  copy.body_digest = "digest of r1";
  Arrive(copy);
  BOOST_TEST((EmittedActions<refuse_call>()[0].reason.code ==
              refusal_code::quarantined));
  actions.clear();
  calls.OnQuarantineOutcome(
      writes[0].record.fingerprint,
      {quarantine_write_outcome::status::committed, revision(20), std::nullopt},
      now, actions);
  BOOST_TEST(
      (EmittedActions<dispatch_call>()[0].endpoint == endpoint_id("e1")));
  EndAttempt("r1", Answered(), 2);
  BOOST_TEST(EmittedActions<finish_call>().size() == 1u);
  BOOST_TEST((EmittedActions<publish_quarantine>()[0].record.state ==
              quarantine_state::cleared));
  copy.id = request_id("r3");
  Arrive(copy);
  BOOST_TEST(EmittedActions<dispatch_call>().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(QuarantineEndsAfterItsLifetime, admission_fixture) {
  Arrive(ModelCall("r1"));
  quarantine_record record;
  record.fingerprint = request_fingerprint(std::string(32, '0'));
  record.state = quarantine_state::quarantined;
  record.lifetime = Seconds(600);
  calls.OnQuarantineFact(record, revision(9), now, actions);
  BOOST_TEST(calls.Status(now).quarantine_records == 1);
  Advance(Seconds(601));
  BOOST_TEST(calls.Status(now).quarantine_records == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
