#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "jasminepath/decision/placement/authority.h"
#include "jasminepath/decision/placement/keep_warm.h"
#include "placement/memory_ledger.h"
#include "placement/store_gate.h"

namespace jasminepath::decision {
namespace {

constexpr time_point kStart = time_point(Seconds(1000));
constexpr duration kRetry = Seconds(1);

const authority_key kKey = {authority_kind::model, "m"};
const instance_id kSelf = instance_id("self");
const instance_id kOther = instance_id("other");

authority_claim MakeClaim() {
  return authority_claim(kKey, kSelf, kRetry);
}

authority_row Row(const instance_id& holder, int64_t number, int64_t version) {
  return {kKey, authority_record{holder, epoch(number)}, revision(version)};
}

authority_outcome Lost() {
  return {commit_end::unknown, {kKey, {}, {}}};
}

BOOST_AUTO_TEST_CASE(FirstTakeCreatesTheRowWithoutReadingIt) {
  authority_claim claim = MakeClaim();
  claim.Take();
  BOOST_TEST((claim.NextStep(kStart) == authority_claim::step::write));
  BOOST_TEST(claim.write().expected == revision(0));
  BOOST_TEST(!claim.held());
  claim.OnOutcome({commit_end::committed, Row(kSelf, 1, 5)}, kStart);
  BOOST_TEST(claim.held());
  BOOST_TEST(claim.held_epoch() == epoch(1));
}

BOOST_AUTO_TEST_CASE(LostCommitAnswerIsSettledByTheNextAttempt) {
  authority_claim claim = MakeClaim();
  claim.Take();
  claim.NextStep(kStart);
  claim.OnOutcome(Lost(), kStart);
  BOOST_TEST(!claim.held());
  BOOST_TEST((claim.NextStep(kStart) == authority_claim::step::none));
  BOOST_TEST((claim.NextStep(kStart + kRetry) == authority_claim::step::write));
  claim.OnOutcome({commit_end::conflict, Row(kSelf, 1, 5)}, kStart + kRetry);
  BOOST_TEST(claim.held());
}

BOOST_AUTO_TEST_CASE(ConflictWithAnotherHolderEndsTheAttempt) {
  authority_claim claim = MakeClaim();
  claim.Take();
  claim.NextStep(kStart);
  claim.OnOutcome({commit_end::conflict, Row(kOther, 1, 5)}, kStart);
  BOOST_TEST(!claim.held());
  BOOST_TEST(claim.holder() == kOther);
  BOOST_TEST((claim.NextStep(kStart) == authority_claim::step::none));
}

BOOST_AUTO_TEST_CASE(NewHolderHeardOfDuringARetryIsNotSuperseded) {
  authority_claim claim = MakeClaim();
  claim.Take();
  claim.NextStep(kStart);
  claim.OnOutcome(Lost(), kStart);
  claim.OnNotice({kKey.kind, kKey.id, kOther, epoch(2), revision(9)});
  BOOST_TEST((claim.NextStep(kStart + kRetry) == authority_claim::step::none));
}

BOOST_AUTO_TEST_CASE(TakeOverRaisesTheEpoch) {
  authority_claim claim = MakeClaim();
  claim.OnNotice({kKey.kind, kKey.id, kOther, epoch(4), revision(9)});
  claim.Take();
  claim.NextStep(kStart);
  BOOST_TEST(claim.write().expected == revision(9));
  BOOST_TEST(claim.write().record.number == epoch(5));
}

BOOST_AUTO_TEST_CASE(GivingBackKeepsTheEpochAndLastsThroughALostAnswer) {
  authority_claim claim = MakeClaim();
  claim.Take();
  claim.NextStep(kStart);
  claim.OnOutcome({commit_end::committed, Row(kSelf, 3, 5)}, kStart);
  claim.GiveBack();
  BOOST_TEST(!claim.held());
  claim.NextStep(kStart);
  BOOST_TEST(claim.write().record.holder.empty());
  BOOST_TEST(claim.write().record.number == epoch(3));
  claim.OnOutcome(Lost(), kStart);
  // The row still names this node: it must not begin to use it again.
  claim.OnRow(Row(kSelf, 3, 5), kStart);
  BOOST_TEST(!claim.held());
  claim.NextStep(kStart + kRetry);
  claim.OnOutcome({commit_end::committed, Row({}, 3, 6)}, kStart + kRetry);
  BOOST_TEST(claim.idle());
}

BOOST_AUTO_TEST_CASE(LateNoticeOfAnEarlierHolderIsIgnored) {
  authority_claim claim = MakeClaim();
  claim.OnNotice({kKey.kind, kKey.id, kOther, epoch(4), revision(9)});
  claim.OnNotice({kKey.kind, kKey.id, kSelf, epoch(3), revision(7)});
  BOOST_TEST(claim.holder() == kOther);
  BOOST_TEST(!claim.held());
}

BOOST_AUTO_TEST_CASE(LedgerRefusesWhatDoesNotFitAndCreditsAdaptersWithModels) {
  memory_ledger ledger(bytes(100));
  BOOST_TEST(ledger.Charge(model_id("a"), bytes(60)));
  BOOST_TEST(!ledger.Charge(model_id("b"), bytes(50)));
  BOOST_TEST(ledger.ChargeAdapter(model_id("a"), adapter_id("x"), bytes(30)));
  BOOST_TEST(!ledger.ChargeAdapter(model_id("a"), adapter_id("y"), bytes(20)));
  BOOST_TEST(!ledger.ChargeAdapter(model_id("b"), adapter_id("x"), bytes(1)));
  ledger.Credit(model_id("a"));
  BOOST_TEST(ledger.room() == bytes(100));
}

BOOST_AUTO_TEST_CASE(LedgerAdoptsWhatIsLoadedAlreadyEvenIfItDoesNotFit) {
  memory_ledger ledger(bytes(100));
  ledger.Adopt(model_id("a"), bytes(150));
  ledger.Adopt(model_id("a"), bytes(150));
  BOOST_TEST(ledger.charged() == bytes(150));
  BOOST_TEST(!ledger.Charge(model_id("b"), bytes(1)));
}

config::weight_store Store(int64_t loads) {
  config::weight_store limits;
  limits.full_speed_loads = loads;
  return limits;
}

BOOST_AUTO_TEST_CASE(StoreStartsTheMostUrgentLoadFirst) {
  store_gate gate(Seconds(60));
  gate.SetLimits(Store(1));
  gate.OnRequest(kOther, {store_load::model, "calm", 1}, kStart);
  gate.OnRequest(kOther, {store_load::model, "urgent", 5}, kStart);
  auto grants = gate.TakeGrants(kStart);
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].load == "urgent");
  BOOST_TEST(gate.TakeGrants(kStart).empty());
  gate.OnRelease({"urgent"});
  grants = gate.TakeGrants(kStart);
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].load == "calm");
}

BOOST_AUTO_TEST_CASE(StorePlaceOfAnEndedNodeIsFreed) {
  store_gate gate(Seconds(60));
  gate.SetLimits(Store(1));
  gate.OnRequest(kOther, {store_load::model, "first", 1}, kStart);
  gate.TakeGrants(kStart);
  gate.OnRequest(kSelf, {store_load::model, "second", 1}, kStart);
  gate.OnInstanceEnded(kOther);
  BOOST_TEST(gate.TakeGrants(kStart).size() == 1u);
}

BOOST_AUTO_TEST_CASE(LostGrantIsRepeatedOnTheNextRequest) {
  store_gate gate(Seconds(60));
  gate.SetLimits(Store(1));
  gate.OnRequest(kOther, {store_load::model, "load", 1}, kStart);
  gate.TakeGrants(kStart);
  gate.OnRequest(kOther, {store_load::model, "load", 1}, kStart);
  BOOST_TEST(gate.TakeGrants(kStart).size() == 1u);
}

BOOST_AUTO_TEST_CASE(AdapterLoadsHaveTheirOwnLimit) {
  store_gate gate(Seconds(60));
  gate.SetLimits(Store(1));
  gate.OnRequest(kOther, {store_load::model, "model", 1}, kStart);
  for (int i = 0; i < 40; ++i)
    gate.OnRequest(kOther, {store_load::adapter, std::to_string(i), 1}, kStart);
  BOOST_TEST(gate.TakeGrants(kStart).size() == 33u);
}

keep_warm_price Price() {
  keep_warm_price price;
  price.cold_start = Seconds(60);
  price.cold_start_second = 1;
  price.idle_accelerator_hour = 360;
  return price;
}

BOOST_AUTO_TEST_CASE(BreakEvenTimeIsWhereIdlingHasCostAColdStart) {
  BOOST_TEST((BreakEvenTime(Price()) == Seconds(600)));
}

BOOST_AUTO_TEST_CASE(AdaptiveTimeoutFollowsTheGapsOfTheModel) {
  const model_id regular("regular");
  const model_id rare("rare");
  adaptive_timeout policy;
  BOOST_TEST((policy.KeepFor(regular, Price(), kStart) == Seconds(600)));
  time_point now = kStart;
  for (int i = 0; i < 40; ++i) {
    policy.OnArrivals(regular, 1, now);
    now += Seconds(60);
  }
  now = kStart;
  for (int i = 0; i < 40; ++i) {
    policy.OnArrivals(rare, 1, now);
    now += Seconds(7200);
  }
  const duration of_regular = policy.KeepFor(regular, Price(), now);
  BOOST_TEST((of_regular >= Seconds(60)));
  BOOST_TEST((of_regular < Seconds(300)));
  BOOST_TEST((policy.KeepFor(rare, Price(), now) < Seconds(60)));
}

}  // namespace
}  // namespace jasminepath::decision
