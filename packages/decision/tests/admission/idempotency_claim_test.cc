#include "jasminepath/decision/admission/idempotency_claim.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "admission/history_check.h"

namespace jasminepath::decision {
namespace {

// The row of one claim in the table, with conditional writes.
class claim_row {
 public:
  claim_write_outcome Write(const claim_write& write) {
    const revision existing = row_ ? row_->version : revision(0);
    if (existing != write.expected)
      return {write_status::conflict, {}, row_};
    ++last_version_;
    row_.reset();
    if (write.record)
      row_ = stored_claim{revision(last_version_), *write.record};
    return {write_status::committed, revision(last_version_), std::nullopt};
  }
  const std::optional<stored_claim>& row() const { return row_; }

 private:
  int64_t last_version_ = 0;
  std::optional<stored_claim> row_;
};

// Concurrent calls with one idempotency key, some with another body, while the
// table loses outcomes, applies writes late and is unreachable.
class claim_race {
 public:
  void Apply(const history_step& step) {
    if (calls_.empty() || step.kind == 0) {
      Start(step.fault < 15);
      return;
    }
    call& chosen =
        *calls_[static_cast<std::size_t>(step.actor) % calls_.size()];
    if (step.kind == 1 || step.kind == 2 || step.kind == 3)
      Serve(chosen, step.fault);
    else if (step.kind == 4)
      EndCall(chosen, step.fault);
    else if (step.kind == 5)
      ApplyLateWrite();
    else if (step.kind == 6 && step.fault < 20)
      chosen.crashed = true;
  }

  void Check() const {
    RC_ASSERT(ran_.size() <= 1u);
    for (const auto& entry : calls_) {
      if (!entry->replayed.empty()) {
        RC_ASSERT(ran_.size() == 1u);
        RC_ASSERT(entry->replayed == "object of " + *ran_.begin());
        RC_ASSERT(entry->other_body == ran_other_body_);
      }
    }
  }

 private:
  struct call {
    std::string name;
    bool other_body = false;
    std::unique_ptr<idempotency_claim> claim;
    claim_step step;
    bool granted = false;
    bool ended = false;
    bool crashed = false;
    std::string replayed;
  };

  void Start(bool other_body) {
    auto started = std::make_unique<call>();
    started->name = "c" + std::to_string(calls_.size());
    started->other_body = other_body;
    started->claim = std::make_unique<idempotency_claim>(
        started->name, other_body ? "other" : "body", instance_id("n"),
        "object of " + started->name);
    ApplyStep(*started, started->claim->Begin());
    calls_.push_back(std::move(started));
  }

  void ApplyStep(call& target, claim_step step) {
    target.step = std::move(step);
    if (std::holds_alternative<claim_granted>(target.step)) {
      RC_ASSERT(!target.ended);
      target.granted = true;
    }
    if (const auto* repeat = std::get_if<claim_repeat>(&target.step)) {
      target.replayed = repeat->answer_object;
      target.ended = true;
    }
    if (std::holds_alternative<claim_rejected>(target.step))
      target.ended = true;
  }

  // Performs the operation that the call has requested from the table or the
  // clock.
  void Serve(call& chosen, int fault) {
    if (chosen.crashed)
      return;
    const claim_step step = std::exchange(chosen.step, claim_pending{});
    if (const auto* write = std::get_if<claim_write>(&step)) {
      ApplyStep(chosen, chosen.claim->OnWrite(Write(*write, fault)));
    } else if (std::holds_alternative<claim_lookup>(step)) {
      claim_read_outcome outcome;
      outcome.answered = fault >= 20;
      if (outcome.answered)
        outcome.stored = row_.row();
      ApplyStep(chosen, chosen.claim->OnRead(outcome, fault % 2 == 0));
    } else if (std::holds_alternative<claim_pause>(step)) {
      ApplyStep(chosen, chosen.claim->OnWake());
    } else if (std::holds_alternative<claim_store_answer>(step)) {
      const auto status =
          fault < 20 ? record_status::failed : record_status::stored;
      ApplyStep(chosen, chosen.claim->OnAnswerRecorded(status));
    }
  }

  claim_write_outcome Write(const claim_write& write, int fault) {
    const claim_write_outcome lost{write_status::lost, {}, std::nullopt};
    if (fault < 10)
      return {write_status::unreachable, {}, std::nullopt};
    if (fault < 20)
      return lost;
    if (fault < 30) {
      late_writes_.push_back(write);
      return lost;
    }
    const claim_write_outcome outcome = row_.Write(write);
    return fault < 45 ? lost : outcome;
  }

  // Applies a write whose outcome was reported as lost.
  void ApplyLateWrite() {
    if (late_writes_.empty())
      return;
    row_.Write(late_writes_.front());
    late_writes_.pop_front();
  }

  void EndCall(call& chosen, int fault) {
    if (chosen.ended || chosen.crashed)
      return;
    chosen.ended = true;
    if (!chosen.granted) {
      ApplyUnlessPending(chosen, chosen.claim->Release());
    } else if (fault < 30) {
      ApplyUnlessPending(chosen, chosen.claim->Release());
    } else {
      ran_.insert(chosen.name);
      ran_other_body_ = chosen.other_body;
      ApplyUnlessPending(chosen, fault < 70 ? chosen.claim->Record()
                                            : chosen.claim->MarkUnknown());
    }
  }

  // Keeps the outstanding operation if the claim still waits for its result.
  void ApplyUnlessPending(call& chosen, claim_step step) {
    if (!std::holds_alternative<claim_pending>(step))
      ApplyStep(chosen, std::move(step));
  }

  claim_row row_;
  std::deque<claim_write> late_writes_;
  std::vector<std::unique_ptr<call>> calls_;
  std::set<std::string> ran_;
  bool ran_other_body_ = false;
};

BOOST_AUTO_TEST_SUITE(idempotency_claim_test)

BOOST_AUTO_TEST_CASE(OneKeyRunsAtMostOnce) {
  BOOST_TEST(CheckHistories("no second run of a claim", 6000, [] {
    claim_race race;
    for (const history_step& step : *GenHistory(7)) {
      race.Apply(step);
      race.Check();
    }
  }));
}

idempotency_claim MakeClaim(const std::string& nonce,
                            const std::string& body = "body") {
  return {nonce, body, instance_id("n1"), "object of " + nonce};
}

stored_claim Stored(claim_state state) {
  claim_record record;
  record.nonce = "first";
  record.body_digest = "body";
  record.state = state;
  record.answer_object = "object of first";
  record.owner = instance_id("n0");
  return {revision(5), record};
}

claim_write_outcome Conflict(claim_state state) {
  return {write_status::conflict, {}, Stored(state)};
}

BOOST_AUTO_TEST_CASE(LostWriteOutcomeIsResolvedByTheNonce) {
  idempotency_claim claim = MakeClaim("first");
  claim.Begin();
  const auto lookup = claim.OnWrite({write_status::lost, {}, std::nullopt});
  BOOST_TEST(std::holds_alternative<claim_lookup>(lookup));
  const auto step = claim.OnRead({true, Stored(claim_state::claimed)}, true);
  BOOST_TEST(std::holds_alternative<claim_granted>(step));
}

BOOST_AUTO_TEST_CASE(RepeatGetsTheRecordedAnswer) {
  idempotency_claim claim = MakeClaim("second");
  claim.Begin();
  const auto step = claim.OnWrite(Conflict(claim_state::recorded));
  BOOST_TEST((step == claim_step(claim_repeat{"object of first"})));
}

BOOST_AUTO_TEST_CASE(DifferingBodyIsRefused) {
  idempotency_claim claim = MakeClaim("second", "other body");
  claim.Begin();
  const auto step = claim.OnWrite(Conflict(claim_state::recorded));
  BOOST_TEST((step == claim_step(claim_rejected{refusal_code::idempotency_clash,
                                                run_state::not_run})));
}

BOOST_AUTO_TEST_CASE(RepeatOfAnUnknownOutcomeIsNotRun) {
  idempotency_claim claim = MakeClaim("second");
  claim.Begin();
  const auto step = claim.OnWrite(Conflict(claim_state::unknown));
  BOOST_TEST((step == claim_step(claim_rejected{refusal_code::outcome_unknown,
                                                run_state::unknown})));
}

BOOST_AUTO_TEST_CASE(RepeatWaitsForALiveOwnerOnly) {
  idempotency_claim claim = MakeClaim("second");
  claim.Begin();
  BOOST_TEST(std::holds_alternative<claim_pause>(
      claim.OnWrite(Conflict(claim_state::claimed))));
  BOOST_TEST(std::holds_alternative<claim_lookup>(claim.OnWake()));
  BOOST_TEST(std::holds_alternative<claim_pause>(
      claim.OnRead({true, Stored(claim_state::claimed)}, true)));
  claim.OnWake();
  BOOST_TEST(std::holds_alternative<claim_rejected>(
      claim.OnRead({true, Stored(claim_state::claimed)}, false)));
}

BOOST_AUTO_TEST_CASE(AbandonedClaimIsReleasedOnceCreated) {
  idempotency_claim claim = MakeClaim("first");
  claim.Begin();
  BOOST_TEST(std::holds_alternative<claim_pending>(claim.Release()));
  const auto step =
      claim.OnWrite({write_status::committed, revision(5), std::nullopt});
  BOOST_TEST((step == claim_step(claim_write{revision(5), std::nullopt})));
}

BOOST_AUTO_TEST_CASE(ClaimExpiresAfterTheRetentionPeriod) {
  claim_record record;
  record.created_unix_s = 1000;
  BOOST_TEST(!IsClaimExpired(record, 1000 + kClaimRetentionSeconds));
  BOOST_TEST(IsClaimExpired(record, 1001 + kClaimRetentionSeconds));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
