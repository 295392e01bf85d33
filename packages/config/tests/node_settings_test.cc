#include "jasminepath/config/node_settings.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sample_files.h"

namespace jasminepath::config {
namespace {

struct invalid_settings {
  const char* from;
  const char* to;
  const char* expected;
};

const std::vector<invalid_settings>& InvalidSettings() {
  static const std::vector<invalid_settings> kCases = {
      {"\"vm\": \"entry-1\",", "",
       "node.json: $.vm: is missing; add the field \"vm\""},
      {"\"zone\": \"mids-a\"", "\"zone\": \"\"",
       "node.json: $.zone: has 0 bytes; write a string of 1 to 512 bytes"},
      {"\"region\": \"mids\"", "\"region\": null",
       "node.json: $.region: is null; write a string"},
      {"\"caller_listen\": \"127.0.0.1:0\"",
       "\"caller_listen\": \"localhost:0\"",
       "node.json: $.caller_listen: is not a valid address: \"localhost:0\"; "
       "write \"ip:port\" with a numeric IP address"},
      {"\"caller_listen\": \"127.0.0.1:0\"", "\"caller_listen\": 8080",
       "node.json: $.caller_listen: is not a valid address: 8080; write "
       "\"ip:port\" "
       "with a numeric IP address"},
      {"\"mesh_listen\": \"127.0.0.1:0\"", "\"mesh_listen\": \"127.0.0.1\"",
       "node.json: $.mesh_listen: is not a valid address: \"127.0.0.1\"; write "
       "\"ip:port\" with a numeric IP address"},
      {"127.0.0.1:7000", "127.0.0.1:0",
       "node.json: $.platform_address: has port 0; write a port from 1 to "
       "65535"},
      {"127.0.0.1:7101", "127.0.0.1:-1",
       "node.json: $.seed_peers[0]: is not a valid address: \"127.0.0.1:-1\"; "
       "write \"ip:port\" with a numeric IP address"},
      {"9f86d0", "9F86D0",
       "node.json: $.operator_token_sha256: is not a SHA-256 digest; write the "
       "64 lower-case hexadecimal characters that sha256sum prints for the "
       "token"},
      {"\"debug\"", "\"verbose\"",
       "node.json: $.log_level: is \"verbose\"; write one of \"debug\", "
       "\"info\", \"warning\", \"error\""},
      {"\"log_file\": \"node.log\"", "\"log_file\": false",
       "node.json: $.log_file: is a boolean; write a string"},
      {", \"key_file\": \"key.pem\"", "",
       "node.json: $.tls.key_file: is missing; add the field \"key_file\""},
      {"\"tls\": {", "\"tls\": \"on\", \"tsl\": {",
       "node.json: $.tls: is a string; write an object"},
      {"\"max_connections\": 100", "\"max_connections\": 0",
       "node.json: $.limits.max_connections: is 0; write an integer from 1 to "
       "1000000"},
      {"\"max_connections\": 100", "\"max_connections\": 10",
       "node.json: $.limits.worker_threads: is above max_connections; lower "
       "it to at most max_connections"},
      {"\"lame_duck_ms\": 0", "\"lame_duck\": 5",
       "node.json: $.limits.lame_duck: is an unknown field; did you mean "
       "\"lame_duck_ms\""},
      {"\"lame_duck_ms\": 0", "\"max_body_bytes\": 1e30",
       "node.json: $.limits.max_body_bytes: is 1e+30; write an integer from 1 "
       "to 1073741824"},
      {"\"lame_duck_ms\": 0", "\"header_timeout_ms\": [1]",
       "node.json: $.limits.header_timeout_ms: is an array; write an integer "
       "from 1 to 2592000000"},
      {"\"vm\": \"entry-1\"", "\"VM\": 1, \"vm\": \"entry-1\"",
       "node.json: $.VM: is an unknown field; remove it"},
  };
  return kCases;
}

BOOST_AUTO_TEST_CASE(ReadsAllSettings) {
  const auto parsed = ParseNodeSettings("node.json", kSampleSettings);
  BOOST_REQUIRE(parsed.has_value());
  const node_settings& settings = parsed.value();
  BOOST_TEST(settings.vm == vm_id("entry-1"));
  BOOST_TEST(settings.caller_listen == "127.0.0.1:0");
  BOOST_TEST(settings.seed_peers.at(0) == "127.0.0.1:7101");
  BOOST_TEST((settings.level == log_level::debug));
  BOOST_TEST(settings.log_file.value() == "node.log");
  BOOST_TEST(settings.tls.value().key_file == "key.pem");
  BOOST_TEST(settings.limits.worker_threads == 50);
  BOOST_TEST(ToMilliseconds(settings.limits.lame_duck) == 0);
  BOOST_TEST(ToMilliseconds(settings.limits.header_timeout) == 10000);
}

BOOST_AUTO_TEST_CASE(ReportsPathAndRemedyOfEachInvalidSetting) {
  for (const invalid_settings& item : InvalidSettings()) {
    BOOST_TEST_CONTEXT(item.to) {
      const auto parsed = ParseNodeSettings(
          "node.json", ReplaceFirst(kSampleSettings, item.from, item.to));
      BOOST_REQUIRE(!parsed.has_value());
      BOOST_TEST(ToString(parsed.error()[0]) == item.expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsAMissingSettingsFile) {
  const auto loaded = LoadNodeSettings("/nonexistent/node.json");
  BOOST_REQUIRE(!loaded.has_value());
  BOOST_TEST(
      ToString(loaded.error()[0]) ==
      "/nonexistent/node.json: $: cannot be read: No such file or "
      "directory; give the path of a regular file that this user may read");
}

BOOST_AUTO_TEST_CASE(RejectsTextWithoutASettingsObject) {
  for (const char* text : {"", "{", "[]", "3", "{} {}", "{\"vm\": }"}) {
    BOOST_TEST_CONTEXT(text)
    BOOST_TEST(!ParseNodeSettings("node.json", text).has_value());
  }
}

}  // namespace
}  // namespace jasminepath::config
