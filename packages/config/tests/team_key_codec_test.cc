#include "jasminepath/config/team_key_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "jasminepath/base/digest.h"

namespace jasminepath::config {
namespace {

constexpr char kPresented[] =
    "0123456789abcdef."
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

BOOST_AUTO_TEST_CASE(IssuedKeyMatchesItsDigest) {
  const issued_key issued = IssueTeamKey(team_id("care"));
  const auto parsed = ParsePresentedKey(issued.presented);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->id == issued.record.id.value());
  BOOST_TEST(Sha256Hex(parsed->secret) == issued.record.secret_digest);
  BOOST_TEST(!issued.record.withdrawn);
}

BOOST_AUTO_TEST_CASE(IssuedKeysDiffer) {
  BOOST_TEST(IssueTeamKey(team_id("care")).presented !=
             IssueTeamKey(team_id("care")).presented);
}

BOOST_AUTO_TEST_CASE(RowContainsNoSecret) {
  const issued_key issued = IssueTeamKey(team_id("care"));
  const std::string secret = issued.presented.substr(17);
  BOOST_TEST(ToJson(issued.record).find(secret) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(KeyRoundTripsThroughJson) {
  team_key key = IssueTeamKey(team_id("care")).record;
  key.withdrawn = true;
  const auto read = TeamKeyFromJson(ToJson(key));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == key));
}

BOOST_AUTO_TEST_CASE(ParsesOnlyWellFormedKeys) {
  BOOST_TEST(ParsePresentedKey(kPresented).has_value());
  const std::string text = kPresented;
  const std::string bad_keys[] = {
      "",
      ".",
      text.substr(0, 16),
      text.substr(1),
      text + "0",
      text + "\n",
      " " + text,
      "G" + text.substr(1),
      text.substr(0, 17) + text.substr(18),
      text.substr(0, 17) + "A" + text.substr(18),
      text + "." + text,
      std::string(100000, 'a'),
      std::string(1, '\0') + text.substr(1),
  };
  for (const std::string& bad : bad_keys) {
    BOOST_TEST_CONTEXT(bad.substr(0, 90))
    BOOST_TEST(!ParsePresentedKey(bad).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ReportsFaultsOfAKeyRow) {
  struct invalid_row {
    const char* json;
    const char* expected;
  };
  const invalid_row rows[] = {
      {"[]", "$: is an array; write an object"},
      {R"({"team": "care", "secret_digest": "00"})",
       "$.id: is missing; add the field \"id\""},
      {R"({"id": "a b", "team": "care", "secret_digest": "00"})",
       "$.id: is not a valid name: \"a b\"; use at most 128 letters, digits, "
       "'.', '_' "
       "and '-'"},
      {R"({"id": "a", "team": "care", "secret_digest": "00"})",
       "$.secret_digest: is not a SHA-256 digest; write 64 lower-case "
       "hexadecimal characters"},
      {R"({"id": "a", "team": "care", "secret": "00"})",
       "$.secret_digest: is missing; add the field \"secret_digest\""},
  };
  for (const invalid_row& row : rows) {
    BOOST_TEST_CONTEXT(row.json) {
      const auto read = TeamKeyFromJson(row.json);
      BOOST_REQUIRE(!read.has_value());
      BOOST_TEST(ToString(read.error()[0]) == row.expected);
    }
  }
}

}  // namespace
}  // namespace jasminepath::config
