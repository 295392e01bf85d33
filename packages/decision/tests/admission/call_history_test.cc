#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/admission_fixture.h"
#include "admission/history_check.h"

namespace jasminepath::decision {
namespace {

constexpr int kNodes = 3;
constexpr int kKeys = 3;

// Several nodes with one table, one object store and endpoints with injected
// failures. The fleet tracks which calls really ran.
class call_fleet {
 public:
  explicit call_fleet(uint64_t seed) : random_(seed) {
    for (int i = 0; i < kNodes; ++i)
      StartNode(i);
    Advance(Seconds(5));
  }

  void Apply(const history_step& step) {
    node& at = nodes_[step.actor % kNodes];
    switch (step.kind) {
      case 0:
      case 1:
        Arrive(at, step.amount, step.fault);
        break;
      case 2:
        Advance(Milliseconds(1 + step.amount / 20));
        break;
      case 3:
        Advance(Milliseconds(1 + step.amount * 4));
        break;
      case 4:
      case 5:
        EndAttempt(step.amount, step.fault);
        break;
      case 6:
      case 7:
      case 8:
        AnswerTableRequest(step.amount, step.fault);
        break;
      case 9:
        if (step.fault < 10)
          WithdrawKey(at, step.amount % kKeys);
        break;
      case 10:
        if (step.fault < 30)
          at.paused = !at.paused;
        break;
      case 11:
        if (step.fault < 15)
          Restart(step.actor % kNodes);
        break;
      case 12:
        DisconnectCaller(step.amount, step.fault);
        break;
      case 13:
        ChangeSlots(at, step.amount % 3);
        break;
      case 14:
        DeliverFirstByte(step.amount);
        break;
      case 15:
        ApplyLateWrite();
        break;
      case 16:
        RepeatReport(step.amount);
        break;
    }
  }

  // Processes everything that is pending; then every call must have ended.
  void Finish() {
    for (node& each : nodes_) {
      each.paused = false;
      ChangeSlots(each, 2);
    }
    for (int round = 0; round < 400; ++round) {
      while (!table_requests_.empty())
        AnswerTableRequest(0, 99);
      while (!running_attempts_.empty())
        EndAttempt(0, 0);
      Advance(Milliseconds(200));
    }
    for (node& each : nodes_) {
      RC_ASSERT(each.calls->open_calls() == 0);
      RC_ASSERT(each.router->running() == 0);
    }
    for (const auto& [id, call] : calls_)
      RC_ASSERT(call.lost_with_node || call.ends == 1);
  }

 private:
  // A booking under one idempotency key, or one call without a key.
  struct logical_run {
    int64_t ran = 0;
  };
  struct known_call {
    request_id id;
    int node = 0;
    instance_id instance;
    int key = 0;
    std::string run;
    bool idempotent = false;
    time_point deadline;
    int64_t attempts = 0;
    int64_t ran = 0;
    int64_t ends = 0;
    bool lost_with_node = false;
  };
  struct attempt {
    request_id id;
    instance_id instance;
    int64_t number = 0;
    bool cut = false;
    bool has_first_byte = false;
  };
  struct table_request {
    instance_id instance;
    call_action action;
  };
  struct node {
    int index = 0;
    instance_id name;
    std::unique_ptr<fake_router> router;
    std::unique_ptr<call_coordinator<fake_router>> calls;
    bool paused = false;
    std::set<int> withdrawn;
  };
  struct mesh_message {
    instance_id from;
    instance_id to;
    admission_message message;
  };
  template <typename Record>
  struct row {
    revision version;
    Record record;
  };

  static std::string KeyName(int key) { return "k" + std::to_string(key); }
  static team_id TeamOf(int key) { return team_id(key < 2 ? "beads" : "pegs"); }

  void StartNode(int index) {
    node& at = nodes_[index];
    at.index = index;
    at.name = instance_id("n" + std::to_string(++instances_));
    at.router = std::make_unique<fake_router>(3, 2);
    at.calls = std::make_unique<call_coordinator<fake_router>>(
        at.name, *at.router, random_engine(random_()), coordinator_limits());
    at.paused = false;
    at.withdrawn.clear();
    std::vector<call_action> actions;
    at.calls->OnConfiguration(MakeTestConfiguration(tokens(600), tokens(1200)),
                              now_, actions);
    for (int key = 0; key < kKeys; ++key)
      DeliverKey(at, key);
    for (const char* team : {"beads", "pegs"})
      at.calls->OnShare(team_id(team), kWholeFractionPpm / kNodes, now_,
                        actions);
    for (const auto& [fingerprint, existing] : quarantine_rows_)
      at.calls->OnQuarantineFact(existing.record, existing.version, now_,
                                 actions);
    at.calls->OnReadiness(true, refusal_code::isolated, now_, actions);
    std::vector<instance_id> names;
    for (const node& each : nodes_)
      names.push_back(each.name);
    for (node& each : nodes_) {
      if (each.calls)
        each.calls->OnPeers(names, now_, actions);
    }
    Handle(at, actions);
  }

  void DeliverKey(node& at, int key) {
    config::team_key fact = MakeTestKey(KeyName(key), TeamOf(key).value());
    fact.withdrawn = withdrawn_.contains(key);
    if (fact.withdrawn)
      at.withdrawn.insert(key);
    std::vector<call_action> actions;
    at.calls->OnKeyFact(fact, revision(fact.withdrawn ? 9 : 1), now_, actions);
    Handle(at, actions);
    if (!fact.withdrawn)
      return;
    for (const auto& [id, call] : calls_)
      RC_ASSERT(call.instance != at.name || call.key != key || call.ends == 1);
  }

  void WithdrawKey(node& at, int key) {
    withdrawn_.insert(key);
    DeliverKey(at, key);
  }

  void Arrive(node& at, int amount, int fault) {
    if (at.paused)
      return;
    known_call call;
    call.id = request_id("r" + std::to_string(calls_.size()));
    call.node = at.index;
    call.instance = at.name;
    call.key = amount % kKeys;
    call_arrival arrival;
    arrival.id = call.id;
    arrival.presented_key = KeyName(call.key) + ".secret";
    call.run = "call " + call.id.value();
    if (fault < 40) {
      arrival.target = model_target{model_id("m"), {}, tokens(50), tokens(100)};
      arrival.body_digest = "prompt " + std::to_string(amount % 7);
      call.idempotent = true;
      call.deadline = now_ + Seconds(60);
    } else {
      arrival.target = route_target{"POST", "/orders"};
      arrival.body_digest = "booking " + std::to_string(amount % 4);
      call.deadline = now_ + Seconds(5);
      if (fault < 85) {
        arrival.idempotency_key = "key " + std::to_string(amount % 4);
        call.run = TeamOf(call.key).value() + " " + *arrival.idempotency_key;
        if (fault < 45)
          arrival.body_digest = "another booking";
      }
    }
    calls_[call.id] = call;
    std::vector<call_action> actions;
    at.calls->OnArrival(arrival, now_, actions);
    Handle(at, actions);
  }

  // Advances the time in steps of NextDeadline and delivers messages in
  // between.
  void Advance(duration step) {
    const time_point end = now_ + step;
    while (now_ < end) {
      time_point next = end;
      for (node& each : nodes_) {
        if (!each.paused && each.calls->NextDeadline())
          next = std::min(next, *each.calls->NextDeadline());
      }
      if (!network_.empty())
        next = std::min(next, network_.begin()->first);
      now_ = std::max(now_ + std::chrono::nanoseconds(1), next);
      DeliverMessages();
      for (node& each : nodes_)
        Tick(each);
    }
  }

  void Tick(node& at) {
    if (at.paused)
      return;
    std::vector<call_action> actions;
    at.calls->OnTick(now_, actions);
    Handle(at, actions);
    const auto next = at.calls->NextDeadline();
    RC_ASSERT(!next || *next > now_);
    for (const auto& [id, call] : calls_)
      RC_ASSERT(call.instance != at.name || call.lost_with_node ||
                call.ends == 1 || now_ < call.deadline);
  }

  void DeliverMessages() {
    while (!network_.empty() && network_.begin()->first <= now_) {
      const mesh_message next = network_.begin()->second;
      network_.erase(network_.begin());
      for (node& each : nodes_) {
        if (each.name != next.to || each.paused)
          continue;
        std::vector<call_action> actions;
        each.calls->OnAdmissionMessage(next.from, next.message, now_, actions);
        Handle(each, actions);
      }
    }
  }

  void Handle(node& at, const std::vector<call_action>& actions) {
    for (const call_action& action : actions)
      std::visit([&](const auto& entry) { Execute(at, entry); }, action);
  }

  known_call& OpenCall(const node& at, const request_id& id) {
    known_call& call = calls_.at(id);
    RC_ASSERT(call.instance == at.name);
    RC_ASSERT(call.ends == 0);
    return call;
  }

  void CheckRunState(const known_call& call, const refusal& reason) {
    if (reason.run == run_state::not_run)
      RC_ASSERT(call.ran == 0 && !HasRunningAttempt(call.id));
    if (reason.run == run_state::ran)
      RC_ASSERT(call.ran > 0 || HasRunningAttempt(call.id));
  }

  bool HasRunningAttempt(const request_id& id) const {
    return std::any_of(running_attempts_.begin(), running_attempts_.end(),
                       [&](const attempt& out) { return out.id == id; });
  }

  void Execute(node& at, const refuse_call& action) {
    known_call& call = OpenCall(at, action.id);
    CheckRunState(call, action.reason);
    RC_ASSERT(!HasRunningAttempt(action.id));
    ++call.ends;
  }
  void Execute(node& at, const cut_call& action) {
    known_call& call = OpenCall(at, action.id);
    CheckRunState(call, action.reason);
    ++call.ends;
    for (attempt& out : running_attempts_)
      out.cut = out.cut || out.id == action.id;
  }
  void Execute(node& at, const finish_call& action) {
    RC_ASSERT(!HasRunningAttempt(action.id));
    ++OpenCall(at, action.id).ends;
  }
  void Execute(node& at, const replay_answer& action) {
    known_call& call = OpenCall(at, action.id);
    ++call.ends;
    RC_ASSERT(objects_.contains(action.object_name));
    const known_call& first = calls_.at(objects_.at(action.object_name));
    RC_ASSERT(first.run == call.run);
    RC_ASSERT(TeamOf(first.key) == TeamOf(call.key));
  }
  void Execute(node& at, const dispatch_call& action) {
    known_call& call = OpenCall(at, action.id);
    RC_ASSERT(action.team == TeamOf(call.key));
    RC_ASSERT(!at.withdrawn.contains(call.key));
    RC_ASSERT(now_ < call.deadline);
    RC_ASSERT(!HasRunningAttempt(call.id));
    RC_ASSERT(action.attempt == ++call.attempts);
    RC_ASSERT(call.idempotent || call.ran == 0);
    running_attempts_.push_back({action.id, at.name, action.attempt});
  }
  void Execute(node& at, const commit_claim& action) {
    table_requests_.push_back({at.name, action});
  }
  void Execute(node& at, const read_claim& action) {
    table_requests_.push_back({at.name, action});
  }
  void Execute(node& at, const record_answer& action) {
    table_requests_.push_back({at.name, action});
  }
  void Execute(node& at, const publish_quarantine& action) {
    table_requests_.push_back({at.name, action});
  }
  void Execute(node& at, const send_admission_message& action) {
    const auto chance = random_() % 100;
    if (chance < 10)
      return;
    const int copies = chance < 20 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const int64_t delay =
          static_cast<int64_t>(random_() % (chance > 90 ? 300 : 3));
      network_.emplace(now_ + Milliseconds(1 + delay),
                       mesh_message{at.name, action.to, action.message});
    }
  }

  // Ends one attempt at the endpoint and reports the end to its node.
  void EndAttempt(int which, int fault) {
    if (running_attempts_.empty())
      return;
    const std::size_t index =
        static_cast<std::size_t>(which) % running_attempts_.size();
    const attempt ended = running_attempts_[index];
    node* at = FindNode(ended.instance);
    if (at != nullptr && at->paused)
      at->paused = false;
    running_attempts_.erase(running_attempts_.begin() +
                            static_cast<std::ptrdiff_t>(index));
    const attempt_report report = MakeReport(ended, fault);
    ended_attempts_.push_back(ended);
    if (at == nullptr)
      return;
    std::vector<call_action> actions;
    at->calls->OnAttemptEnd(ended.id, ended.number, report, now_, actions);
    Handle(*at, actions);
  }

  // Reports the end of an attempt again, late, after it has already ended.
  void RepeatReport(int which) {
    if (ended_attempts_.empty())
      return;
    const attempt& late = ended_attempts_[static_cast<std::size_t>(which) %
                                          ended_attempts_.size()];
    node* at = FindNode(late.instance);
    if (at == nullptr || at->paused)
      return;
    std::vector<call_action> actions;
    at->calls->OnAttemptEnd(late.id, late.number, Answered(), now_, actions);
    RC_ASSERT(actions.empty());
  }

  attempt_report MakeReport(const attempt& ended, int fault) {
    if (ended.has_first_byte || fault < 40) {
      CountRun(ended.id);
      if (ended.cut)
        return Failed(attempt_end::cancelled, run_state::ran);
      return fault < 60 ? Answered() : CutAfterBytes(fault);
    }
    if (fault < 50)
      return Failed(attempt_end::connect_failed, run_state::not_run);
    if (fault < 60)
      return Failed(attempt_end::refused, run_state::not_run);
    if (fault < 70) {
      CountRun(ended.id);
      return Failed(attempt_end::server_error, run_state::ran);
    }
    // A cut or silent attempt may have run.
    if (fault % 2 == 0)
      CountRun(ended.id);
    attempt_report report =
        Failed(fault < 80 ? attempt_end::silent : attempt_end::cut,
               run_state::unknown);
    report.endpoint_died = fault >= 90;
    return report;
  }

  attempt_report CutAfterBytes(int fault) {
    attempt_report report = Failed(attempt_end::cut, run_state::ran);
    report.relayed = bytes(10);
    if (fault % 2 == 0)
      report.resume_position = 5;
    return report;
  }

  // Counts a run. A non-idempotent call may run only once per key and team, or
  // once if it has no key.
  void CountRun(const request_id& id) {
    known_call& call = calls_.at(id);
    ++call.ran;
    const int64_t ran = ++runs_[call.run].ran;
    RC_ASSERT(call.idempotent || ran == 1);
  }

  void DeliverFirstByte(int which) {
    if (running_attempts_.empty())
      return;
    attempt& out = running_attempts_[static_cast<std::size_t>(which) %
                                     running_attempts_.size()];
    node* at = FindNode(out.instance);
    if (at == nullptr || at->paused)
      return;
    out.has_first_byte = true;
    std::vector<call_action> actions;
    at->calls->OnFirstByte(out.id, out.number, now_, actions);
    Handle(*at, actions);
  }

  void DisconnectCaller(int which, int fault) {
    if (calls_.empty() || fault >= 40)
      return;
    auto chosen = calls_.begin();
    std::advance(chosen, which % static_cast<int>(calls_.size()));
    node* at = FindNode(chosen->second.instance);
    if (at == nullptr || at->paused)
      return;
    std::vector<call_action> actions;
    at->calls->OnCallerDisconnected(chosen->first, now_, actions);
    Handle(*at, actions);
  }

  void ChangeSlots(node& at, int slots) {
    at.router->set_slots(slots);
    if (at.paused)
      return;
    std::vector<call_action> actions;
    at.calls->OnRoutesChanged(now_, actions);
    Handle(at, actions);
  }

  node* FindNode(const instance_id& name) {
    for (node& each : nodes_) {
      if (each.name == name)
        return &each;
    }
    return nullptr;
  }

  void Restart(int index) {
    for (auto& [id, call] : calls_) {
      if (call.instance == nodes_[index].name && call.ends == 0)
        call.lost_with_node = true;
    }
    StartNode(index);
  }

  void AnswerTableRequest(int which, int fault) {
    if (table_requests_.empty())
      return;
    const std::size_t index =
        static_cast<std::size_t>(which) % table_requests_.size();
    const table_request request = table_requests_[index];
    table_requests_.erase(table_requests_.begin() +
                          static_cast<std::ptrdiff_t>(index));
    node* at = FindNode(request.instance);
    std::vector<call_action> actions;
    if (const auto* commit = std::get_if<commit_claim>(&request.action)) {
      const auto outcome = CommitClaim(*commit, fault);
      if (at != nullptr)
        at->calls->OnClaimOutcome(commit->id, outcome, now_, actions);
    } else if (const auto* read = std::get_if<read_claim>(&request.action)) {
      claim_read_outcome outcome{fault >= 15, std::nullopt};
      if (outcome.answered)
        outcome.stored = ReadClaim(read->key);
      if (at != nullptr)
        at->calls->OnClaimRead(read->id, outcome, now_, actions);
    } else if (const auto* record =
                   std::get_if<record_answer>(&request.action)) {
      if (fault >= 10)
        objects_[record->object_name] = record->id;
      const auto status =
          fault >= 20 ? record_status::stored : record_status::failed;
      if (at != nullptr)
        at->calls->OnAnswerRecorded(record->id, status, now_, actions);
    } else {
      const auto& publish = std::get<publish_quarantine>(request.action);
      const auto outcome = CommitQuarantine(publish, fault);
      if (at != nullptr)
        at->calls->OnQuarantineOutcome(publish.record.fingerprint, outcome,
                                       now_, actions);
    }
    if (at != nullptr)
      Handle(*at, actions);
  }

  std::string RowName(const claim_key& key) const {
    return key.team.value() + "/" + key.key_digest;
  }

  std::optional<stored_claim> ReadClaim(const claim_key& key) const {
    const auto found = claim_rows_.find(RowName(key));
    if (found == claim_rows_.end())
      return std::nullopt;
    return found->second;
  }

  claim_write_outcome CommitClaim(const commit_claim& commit, int fault) {
    if (fault < 8)
      return {write_status::unreachable, {}, std::nullopt};
    if (fault < 14)
      return {write_status::lost, {}, std::nullopt};
    if (fault < 20) {
      late_writes_.push_back(commit);
      return {write_status::lost, {}, std::nullopt};
    }
    const claim_write_outcome outcome = ApplyClaim(commit);
    if (fault < 30)
      return {write_status::lost, {}, std::nullopt};
    return outcome;
  }

  claim_write_outcome ApplyClaim(const commit_claim& commit) {
    const auto existing = ReadClaim(commit.key);
    if ((existing ? existing->version : revision(0)) != commit.expected)
      return {write_status::conflict, {}, existing};
    const revision version(++last_version_);
    if (commit.record)
      claim_rows_[RowName(commit.key)] = {version, *commit.record};
    else
      claim_rows_.erase(RowName(commit.key));
    return {write_status::committed, version, std::nullopt};
  }

  void ApplyLateWrite() {
    if (late_writes_.empty())
      return;
    ApplyClaim(late_writes_.front());
    late_writes_.pop_front();
  }

  quarantine_write_outcome CommitQuarantine(const publish_quarantine& publish,
                                            int fault) {
    using status = quarantine_write_outcome::status;
    if (fault < 10)
      return {status::unreachable, {}, std::nullopt};
    const auto found = quarantine_rows_.find(publish.record.fingerprint);
    const bool row_exists = found != quarantine_rows_.end();
    const revision version = row_exists ? found->second.version : revision(0);
    if (version != publish.expected) {
      if (!row_exists)
        return {status::conflict, {}, std::nullopt};
      return {status::conflict, version, found->second.record};
    }
    const revision written(++last_version_);
    if (publish.record.state == quarantine_state::cleared)
      quarantine_rows_.erase(publish.record.fingerprint);
    else
      quarantine_rows_[publish.record.fingerprint] = {written, publish.record};
    if (fault < 20)
      return {status::lost, {}, std::nullopt};
    return {status::committed, written, std::nullopt};
  }

  random_engine random_;
  time_point now_ = time_point(Seconds(100));
  node nodes_[kNodes];
  int64_t instances_ = 0;
  int64_t last_version_ = 0;
  std::map<request_id, known_call> calls_;
  std::map<std::string, logical_run> runs_;
  std::vector<attempt> running_attempts_;
  std::vector<attempt> ended_attempts_;
  std::vector<table_request> table_requests_;
  std::set<int> withdrawn_;
  std::multimap<time_point, mesh_message> network_;
  std::map<std::string, stored_claim> claim_rows_;
  std::map<request_fingerprint, row<quarantine_record>> quarantine_rows_;
  std::map<std::string, request_id> objects_;
  std::deque<commit_claim> late_writes_;
};

BOOST_AUTO_TEST_SUITE(call_history_test)

BOOST_AUTO_TEST_CASE(CallsEndOnceRunAtMostOnceAndForTheirOwnTeam) {
  BOOST_TEST(CheckHistories("calls of three nodes", 8000, [] {
    call_fleet fleet(*rc::gen::arbitrary<uint64_t>());
    for (const history_step& step : *GenHistory(17))
      fleet.Apply(step);
    fleet.Finish();
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
