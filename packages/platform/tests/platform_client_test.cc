#include "jasminepath/platform/platform_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "http_exchange.h"
#include "jasminepath/standin/platform_standin.h"

namespace jasminepath::platform {
namespace {

constexpr client_timeouts kTimeouts{.connect = Seconds(2),
                                    .exchange = Seconds(20)};
// For calls that are expected to time out.
constexpr client_timeouts kShortTimeouts{.connect = Seconds(2),
                                         .exchange = Milliseconds(300)};

// A client that is connected to a stand-in of the platform.
struct client_fixture {
  client_fixture()
      : address("127.0.0.1:" + std::to_string(standin.port())),
        client(address, kTimeouts) {}

  void SetFault(const std::string& json) {
    const http_call call{.method = "POST",
                         .target = "/standin/faults",
                         .body = json,
                         .only_if_absent = false};
    const auto answer = Exchange(address, kTimeouts, call);
    BOOST_REQUIRE(answer.has_value());
    BOOST_REQUIRE(answer.value().status < 300);
  }

  transaction_outcome Write(const std::string& key, const std::string& value) {
    return client
        .Commit({.conditions = {}, .writes = {{.key = key, .value = value}}})
        .value();
  }

  standin::platform_standin standin{standin::listen_options{}};
  std::string address;
  platform_client client;
};

BOOST_FIXTURE_TEST_CASE(ReadReturnsCommittedRows, client_fixture) {
  const std::string value = "{\"a\": \"\\u00e9 \\n & ? # % \\\" é\"}";
  const auto written = Write("fact/ä b?&=#%/c", value);
  BOOST_TEST(written.committed);
  Write("other/x", "y");
  const auto page = client.ReadSince("fact/ä b?&=#%/", revision());
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page.value().rows.size() == 1u);
  const table_row& row = page.value().rows[0];
  BOOST_TEST(row.value == value);
  BOOST_TEST((row.version == written.version));
  BOOST_TEST((page.value().version > written.version));
}

BOOST_FIXTURE_TEST_CASE(ConflictReturnsTheCurrentRow, client_fixture) {
  const auto first = Write("a", "1");
  const auto refused =
      client.Commit({.conditions = {{.key = "a", .version = revision()}},
                     .writes = {{.key = "a", .value = "2"}}});
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(!refused.value().committed);
  BOOST_REQUIRE(refused.value().conflicts.size() == 1u);
  BOOST_TEST(refused.value().conflicts[0].value == "1");
  BOOST_TEST((refused.value().conflicts[0].version == first.version));
}

BOOST_FIXTURE_TEST_CASE(DeletedRowIsReportedSinceAVersion, client_fixture) {
  const auto written = Write("a", "1");
  const auto deleted =
      client.Commit({.conditions = {{.key = "a", .version = written.version}},
                     .writes = {{.key = "a", .value = std::nullopt}}});
  BOOST_REQUIRE(deleted.has_value());
  BOOST_TEST(deleted.value().committed);
  const auto page = client.ReadSince("a", written.version);
  BOOST_REQUIRE(page.has_value());
  BOOST_REQUIRE(page.value().rows.size() == 1u);
  BOOST_TEST(page.value().rows[0].deleted);
  BOOST_TEST(client.ReadSince("a", revision()).value().rows.empty());
}

BOOST_FIXTURE_TEST_CASE(ObjectsAreCreatedOnceReadAndListed, client_fixture) {
  BOOST_TEST(client.Create("burn/node 1/a?b", "one").has_value());
  const auto again = client.Create("burn/node 1/a?b", "two");
  BOOST_REQUIRE(!again.has_value());
  BOOST_TEST((again.error() == platform_error::already_exists));
  BOOST_TEST(client.Put("burn/node 2", "three").has_value());
  BOOST_TEST(client.Get("burn/node 1/a?b").value() == "one");
  BOOST_TEST(client.List("burn/").value().size() == 2u);
  const auto missing = client.Get("burn/none");
  BOOST_REQUIRE(!missing.has_value());
  BOOST_TEST((missing.error() == platform_error::not_found));
}

BOOST_FIXTURE_TEST_CASE(VmListReturnsStates, client_fixture) {
  const http_call call{.method = "POST",
                       .target = "/standin/vms",
                       .body = R"({"vms":[{"vm":"a","state":"live"},
                         {"vm":"b","state":"leaving"}],"lag_ms":0})",
                       .only_if_absent = false};
  BOOST_REQUIRE(Exchange(address, kTimeouts, call).has_value());
  const auto vms = client.ListVms();
  BOOST_REQUIRE(vms.has_value());
  BOOST_REQUIRE(vms.value().size() == 2u);
  BOOST_TEST((vms.value()[0].state == vm_state::live));
  BOOST_TEST((vms.value()[1].state == vm_state::leaving));
}

BOOST_FIXTURE_TEST_CASE(DownAnswerIsReportedAsUnreachable, client_fixture) {
  SetFault(R"({"down":true,"down_mode":"answer"})");
  const auto answer =
      client.Commit({.conditions = {}, .writes = {{.key = "a", .value = "1"}}});
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == platform_error::unreachable));
}

BOOST_FIXTURE_TEST_CASE(LostAnswerIsReportedAsOutcomeLostAndNotRetried,
                        client_fixture) {
  SetFault(R"({"lose_answer":1})");
  const auto answer =
      client.Commit({.conditions = {}, .writes = {{.key = "a", .value = "1"}}});
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == platform_error::outcome_lost));
  const auto page = client.ReadSince("a", revision());
  BOOST_REQUIRE(page.value().rows.size() == 1u);
  // A retried write would have increased the version to 2.
  BOOST_TEST((page.value().version == revision(1)));
}

BOOST_FIXTURE_TEST_CASE(TimeoutIsReportedAsOutcomeLost, client_fixture) {
  SetFault(R"({"down":true,"down_mode":"hang"})");
  platform_client short_timeout_client(address, kShortTimeouts);
  const auto answer = short_timeout_client.Commit(
      {.conditions = {}, .writes = {{.key = "a", .value = "1"}}});
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == platform_error::outcome_lost));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsReportedAsUnreachable) {
  // Closing the socket leaves a port on which nothing listens.
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = socket.address().toString();
  socket.close();
  platform_client client(address, kTimeouts);
  const auto answer = client.ListVms();
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == platform_error::unreachable));
}

BOOST_AUTO_TEST_CASE(BadAddressIsUnreachable) {
  platform_client client("not an address", kTimeouts);
  const auto answer = client.ListVms();
  BOOST_REQUIRE(!answer.has_value());
  BOOST_TEST((answer.error() == platform_error::unreachable));
}

}  // namespace
}  // namespace jasminepath::platform
