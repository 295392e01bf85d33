#include <boost/test/unit_test.hpp>
#include <thread>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/bounded_ring.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/random.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"

namespace jasminepath {
namespace {

BOOST_AUTO_TEST_CASE(Sha256HexMatchesThePublishedVector) {
  BOOST_TEST(Sha256Hex("abc") ==
             "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015a"
             "d");
}

BOOST_AUTO_TEST_CASE(ConstantTimeComparisonDetectsDifferences) {
  BOOST_TEST(EqualInConstantTime("same", "same"));
  BOOST_TEST(!EqualInConstantTime("same", "sane"));
  BOOST_TEST(!EqualInConstantTime("same", "samee"));
}

BOOST_AUTO_TEST_CASE(SecureRandomHexHasTwoCharactersPerByteAndDiffers) {
  const std::string first = SecureRandomHex(32);
  BOOST_TEST(first.size() == 64u);
  BOOST_TEST(first != SecureRandomHex(32));
}

BOOST_AUTO_TEST_CASE(QuantitiesAddAndCompare) {
  BOOST_TEST((tokens(3) + tokens(4)) == tokens(7));
  BOOST_TEST((tokens(3) < tokens(4)));
}

BOOST_AUTO_TEST_CASE(ResultCarriesValueOrError) {
  const result<int, refusal_code> good = 3;
  const result<int, refusal_code> bad = refusal_code::not_found;
  BOOST_TEST(good.value() == 3);
  BOOST_TEST((bad.error() == refusal_code::not_found));
}

BOOST_AUTO_TEST_CASE(EveryRefusalCodeHasAnErrorStatus) {
  for (int i = 0; i <= static_cast<int>(refusal_code::internal_error); ++i) {
    const auto code = static_cast<refusal_code>(i);
    BOOST_TEST(HttpStatus(code) >= 400);
    BOOST_TEST(!ToString(code).empty());
  }
}

BOOST_AUTO_TEST_CASE(PushToFullRingLeavesItemUnchanged) {
  bounded_ring<std::string> ring(2);
  BOOST_TEST(ring.TryPush("a"));
  BOOST_TEST(ring.TryPush("b"));
  std::string third = "c";
  BOOST_TEST(!ring.TryPush(third));
  BOOST_TEST(third == "c");
  BOOST_TEST(*ring.TryPop() == "a");
}

BOOST_AUTO_TEST_CASE(ClosedRingRejectsPushesButCanBeDrained) {
  bounded_ring<int> ring(4);
  BOOST_TEST(ring.TryPush(1));
  ring.Close();
  BOOST_TEST(!ring.TryPush(2));
  BOOST_TEST(*ring.PopWithin(Seconds(1)) == 1);
  BOOST_TEST(!ring.PopWithin(Seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(RingDeliversEveryItemOfTwoProducers) {
  constexpr int kItemsPerProducer = 20000;
  bounded_ring<int> ring(64);
  auto produce = [&ring] {
    for (int i = 0; i < kItemsPerProducer; ++i) {
      while (!ring.TryPush(1))
        std::this_thread::yield();
    }
  };
  std::thread first(produce);
  std::thread second(produce);
  int received = 0;
  while (received < 2 * kItemsPerProducer) {
    if (ring.PopWithin(Seconds(5)))
      ++received;
  }
  first.join();
  second.join();
  BOOST_TEST(received == 2 * kItemsPerProducer);
}

}  // namespace
}  // namespace jasminepath
