#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "jasminepath/decision/placement/authority.h"
#include "jasminepath/decision/placement/keep_warm.h"
#include "placement/memory_accounting.h"
#include "placement/weight_store_limiter.h"

namespace jasminepath::decision {
namespace {

constexpr time_point kStart = time_point(Seconds(1000));
constexpr duration kRetryDelay = Seconds(1);

const authority_key kKey = {authority_kind::model, "m"};
const instance_id kSelf = instance_id("self");
const instance_id kOther = instance_id("other");

authority_claim MakeClaim() {
  return authority_claim(kKey, kSelf, kRetryDelay);
}

authority_row Row(const instance_id& holder, int64_t number, int64_t version) {
  return {kKey, authority_record{holder, epoch(number)}, revision(version)};
}

authority_outcome LostAnswer() {
  return {commit_end::unknown, {kKey, {}, {}}};
}

BOOST_AUTO_TEST_CASE(FirstAcquireWritesTheRowWithoutReading) {
  authority_claim claim = MakeClaim();
  claim.Acquire();
  BOOST_TEST((claim.NextStep(kStart) == authority_claim::step::write));
  BOOST_TEST(claim.write().expected == revision(0));
  BOOST_TEST(!claim.is_held());
  claim.OnOutcome({commit_end::committed, Row(kSelf, 1, 5)}, kStart);
  BOOST_TEST(claim.is_held());
  BOOST_TEST(claim.held_epoch() == epoch(1));
}

BOOST_AUTO_TEST_CASE(LostCommitAnswerIsResolvedByTheNextAttempt) {
  authority_claim claim = MakeClaim();
  claim.Acquire();
  claim.NextStep(kStart);
  claim.OnOutcome(LostAnswer(), kStart);
  BOOST_TEST(!claim.is_held());
  BOOST_TEST((claim.NextStep(kStart) == authority_claim::step::none));
  BOOST_TEST(
      (claim.NextStep(kStart + kRetryDelay) == authority_claim::step::write));
  claim.OnOutcome({commit_end::conflict, Row(kSelf, 1, 5)},
                  kStart + kRetryDelay);
  BOOST_TEST(claim.is_held());
}

BOOST_AUTO_TEST_CASE(ConflictWithAnotherHolderEndsTheAttempt) {
  authority_claim claim = MakeClaim();
  claim.Acquire();
  claim.NextStep(kStart);
  claim.OnOutcome({commit_end::conflict, Row(kOther, 1, 5)}, kStart);
  BOOST_TEST(!claim.is_held());
  BOOST_TEST(claim.holder() == kOther);
  BOOST_TEST((claim.NextStep(kStart) == authority_claim::step::none));
}

BOOST_AUTO_TEST_CASE(NewHolderNoticedDuringRetryIsNotSuperseded) {
  authority_claim claim = MakeClaim();
  claim.Acquire();
  claim.NextStep(kStart);
  claim.OnOutcome(LostAnswer(), kStart);
  claim.OnNotice({kKey.kind, kKey.id, kOther, epoch(2), revision(9)});
  BOOST_TEST(
      (claim.NextStep(kStart + kRetryDelay) == authority_claim::step::none));
}

BOOST_AUTO_TEST_CASE(AcquireFromAnotherHolderRaisesTheEpoch) {
  authority_claim claim = MakeClaim();
  claim.OnNotice({kKey.kind, kKey.id, kOther, epoch(4), revision(9)});
  claim.Acquire();
  claim.NextStep(kStart);
  BOOST_TEST(claim.write().expected == revision(9));
  BOOST_TEST(claim.write().record.number == epoch(5));
}

BOOST_AUTO_TEST_CASE(ReleaseKeepsTheEpochAndSurvivesALostAnswer) {
  authority_claim claim = MakeClaim();
  claim.Acquire();
  claim.NextStep(kStart);
  claim.OnOutcome({commit_end::committed, Row(kSelf, 3, 5)}, kStart);
  claim.Release();
  BOOST_TEST(!claim.is_held());
  claim.NextStep(kStart);
  BOOST_TEST(claim.write().record.holder.empty());
  BOOST_TEST(claim.write().record.number == epoch(3));
  claim.OnOutcome(LostAnswer(), kStart);
  // The row still names this node, but the node must not use the authority
  // again.
  claim.OnRow(Row(kSelf, 3, 5), kStart);
  BOOST_TEST(!claim.is_held());
  claim.NextStep(kStart + kRetryDelay);
  claim.OnOutcome({commit_end::committed, Row({}, 3, 6)}, kStart + kRetryDelay);
  BOOST_TEST(claim.is_idle());
}

BOOST_AUTO_TEST_CASE(LateNoticeOfEarlierHolderIsIgnored) {
  authority_claim claim = MakeClaim();
  claim.OnNotice({kKey.kind, kKey.id, kOther, epoch(4), revision(9)});
  claim.OnNotice({kKey.kind, kKey.id, kSelf, epoch(3), revision(7)});
  BOOST_TEST(claim.holder() == kOther);
  BOOST_TEST(!claim.is_held());
}

BOOST_AUTO_TEST_CASE(ChargeFailsWithoutMemoryAndUnchargeIncludesAdapters) {
  memory_accounting accounting(bytes(100));
  BOOST_TEST(accounting.Charge(model_id("a"), bytes(60)));
  BOOST_TEST(!accounting.Charge(model_id("b"), bytes(50)));
  BOOST_TEST(
      accounting.ChargeAdapter(model_id("a"), adapter_id("x"), bytes(30)));
  BOOST_TEST(
      !accounting.ChargeAdapter(model_id("a"), adapter_id("y"), bytes(20)));
  BOOST_TEST(
      !accounting.ChargeAdapter(model_id("b"), adapter_id("x"), bytes(1)));
  accounting.Uncharge(model_id("a"));
  BOOST_TEST(accounting.available() == bytes(100));
}

BOOST_AUTO_TEST_CASE(LoadedReplicaIsChargedEvenIfItDoesNotFit) {
  memory_accounting accounting(bytes(100));
  accounting.ChargeLoaded(model_id("a"), bytes(150));
  accounting.ChargeLoaded(model_id("a"), bytes(150));
  BOOST_TEST(accounting.charged() == bytes(150));
  BOOST_TEST(!accounting.Charge(model_id("b"), bytes(1)));
}

config::weight_store Store(int64_t loads) {
  config::weight_store limits;
  limits.full_speed_loads = loads;
  return limits;
}

BOOST_AUTO_TEST_CASE(LimiterStartsTheMostUrgentLoadFirst) {
  weight_store_limiter limiter(Seconds(60));
  limiter.SetLimits(Store(1));
  limiter.OnRequest(kOther, {store_load::model, "calm", 1}, kStart);
  limiter.OnRequest(kOther, {store_load::model, "urgent", 5}, kStart);
  auto grants = limiter.TakeGrants(kStart);
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].load == "urgent");
  BOOST_TEST(limiter.TakeGrants(kStart).empty());
  limiter.OnRelease({"urgent"});
  grants = limiter.TakeGrants(kStart);
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants[0].load == "calm");
}

BOOST_AUTO_TEST_CASE(LimiterFreesTheSlotOfAnEndedNode) {
  weight_store_limiter limiter(Seconds(60));
  limiter.SetLimits(Store(1));
  limiter.OnRequest(kOther, {store_load::model, "first", 1}, kStart);
  limiter.TakeGrants(kStart);
  limiter.OnRequest(kSelf, {store_load::model, "second", 1}, kStart);
  limiter.OnInstanceEnded(kOther);
  BOOST_TEST(limiter.TakeGrants(kStart).size() == 1u);
}

BOOST_AUTO_TEST_CASE(LostGrantIsRepeatedOnTheNextRequest) {
  weight_store_limiter limiter(Seconds(60));
  limiter.SetLimits(Store(1));
  limiter.OnRequest(kOther, {store_load::model, "load", 1}, kStart);
  limiter.TakeGrants(kStart);
  limiter.OnRequest(kOther, {store_load::model, "load", 1}, kStart);
  BOOST_TEST(limiter.TakeGrants(kStart).size() == 1u);
}

BOOST_AUTO_TEST_CASE(AdapterLoadsHaveTheirOwnLimit) {
  weight_store_limiter limiter(Seconds(60));
  limiter.SetLimits(Store(1));
  limiter.OnRequest(kOther, {store_load::model, "model", 1}, kStart);
  for (int i = 0; i < 40; ++i)
    limiter.OnRequest(kOther, {store_load::adapter, std::to_string(i), 1},
                      kStart);
  BOOST_TEST(limiter.TakeGrants(kStart).size() == 33u);
}

keep_warm_price Price() {
  keep_warm_price price;
  price.cold_start = Seconds(60);
  price.cold_start_second = 1;
  price.idle_accelerator_hour = 360;
  return price;
}

BOOST_AUTO_TEST_CASE(BreakEvenTimeIsWhereIdleCostEqualsColdStartCost) {
  BOOST_TEST((BreakEvenTime(Price()) == Seconds(600)));
}

BOOST_AUTO_TEST_CASE(AdaptiveTimeoutFollowsArrivalGaps) {
  const model_id regular("regular");
  const model_id rare("rare");
  adaptive_timeout policy;
  BOOST_TEST((policy.RetentionTime(regular, Price(), kStart) == Seconds(600)));
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
  const duration regular_retention =
      policy.RetentionTime(regular, Price(), now);
  BOOST_TEST((regular_retention >= Seconds(60)));
  BOOST_TEST((regular_retention < Seconds(300)));
  BOOST_TEST((policy.RetentionTime(rare, Price(), now) < Seconds(60)));
}

}  // namespace
}  // namespace jasminepath::decision
