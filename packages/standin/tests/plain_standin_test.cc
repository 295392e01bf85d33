#include "jasminepath/standin/plain_standin.h"

#include <boost/test/unit_test.hpp>

#include "test_client.h"

namespace jasminepath::standin {
namespace {

BOOST_AUTO_TEST_CASE(a_repeated_order_is_executed_and_counted_again) {
  const plain_standin plain{listen_options{}};
  const std::vector<test_header> key{{"Idempotency-Key", "k1"}};
  BOOST_TEST(Call(plain.port(), "POST", "/orders", "pegs", key).status == 201);
  BOOST_TEST(Call(plain.port(), "POST", "/orders", "pegs", key).body ==
             R"({"order":2})");
  const auto counts = Call(plain.port(), "GET", "/standin/executions").Json();
  BOOST_TEST(counts->getValue<int>("orders") == 2);
  const auto by_key = counts->getArray("by_key")->getObject(0);
  BOOST_TEST(by_key->getValue<std::string>("text") == "k1");
  BOOST_TEST(by_key->getValue<int>("count") == 2);
}

BOOST_AUTO_TEST_CASE(stock_is_the_same_on_every_read) {
  const plain_standin plain{listen_options{}};
  const auto first = Call(plain.port(), "GET", "/stock/bead-7");
  BOOST_TEST(first.status == 200);
  BOOST_TEST(Call(plain.port(), "GET", "/stock/bead-7").body == first.body);
}

}  // namespace
}  // namespace jasminepath::standin
