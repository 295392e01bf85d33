#include "jasminepath/config/site_loader.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/config/configuration_codec.h"
#include "sample_files.h"

namespace jasminepath::config {
namespace {

// A temporary site directory that the destructor removes.
class site_directory {
 public:
  site_directory()
      : path_(std::filesystem::temp_directory_path() /
              ("jasminepath-config-" + SecureRandomHex(8))) {
    std::filesystem::create_directory(path_);
    Write("site.json", kSampleSite);
    Write("assistant.service.json", kSampleModelService);
    std::filesystem::create_directory(path_ / "shop");
    Write("shop/orders.service.json", kSamplePlainService);
  }
  ~site_directory() { std::filesystem::remove_all(path_); }
  site_directory(const site_directory&) = delete;
  site_directory& operator=(const site_directory&) = delete;

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(path_ / name) << text;
  }
  void Remove(const std::string& name) const {
    std::filesystem::remove(path_ / name);
  }
  std::string path() const { return path_.string(); }

  // Returns the faults without the directory's path.
  std::vector<std::string> Faults() const {
    std::vector<std::string> lines;
    const auto loaded = LoadSite(path());
    if (loaded)
      return lines;
    for (const fault& item : loaded.error()) {
      std::string line = ToString(item);
      for (std::size_t at = line.find(path()); at != std::string::npos;
           at = line.find(path()))
        line.erase(at, path().size());
      lines.push_back(line);
    }
    return lines;
  }

 private:
  std::filesystem::path path_;
};

// A change to one file and the first fault that it must cause.
struct invalid_file {
  const char* file;
  const char* sample;
  const char* from;
  const char* to;
  const char* expected;
};

constexpr char kSite[] = "site.json";
constexpr char kModel[] = "assistant.service.json";
constexpr char kPlain[] = "shop/orders.service.json";

const std::vector<invalid_file>& InvalidFiles() {
  static const std::vector<invalid_file> kCases = {
      {kSite, kSampleSite, "\"site\": \"threadwell\"", "\"site\": 4",
       "/site.json: $.site: is an integer; write a string"},
      {kSite, kSampleSite, "\"site\": \"threadwell\",", "",
       "/site.json: $.site: is missing; add the field \"site\""},
      {kSite, kSampleSite, "threadwell", "",
       "/site.json: $.site: has 0 bytes; write a string of 1 to 512 bytes"},
      {kSite, kSampleSite, "127.0.0.1:7000", "platform:7000",
       "/site.json: $.platform_address: is not a valid address: "
       "\"platform:7000\"; "
       "write \"ip:port\" with a numeric IP address"},
      {kSite, kSampleSite, "127.0.0.1:7000", "127.0.0.1:0",
       "/site.json: $.platform_address: has port 0; write a port from 1 to "
       "65535"},
      {kSite, kSampleSite, "\"burst\": 400", "\"burts\": 400, \"burst\": 1",
       "/site.json: $.teams[0].burts: is an unknown field; did you mean "
       "\"burst\""},
      {kSite, kSampleSite, "\"burst\": 400", "\"burst\": -1",
       "/site.json: $.teams[0].burst: is -1; write an integer from 1 to "
       "1000000000000"},
      {kSite, kSampleSite, "\"burst\": 400", "\"burst\": \"400\"",
       "/site.json: $.teams[0].burst: is \"400\"; write an integer from 1 to "
       "1000000000000"},
      {kSite, kSampleSite, "\"weight\": 2", "\"weight\": 0",
       "/site.json: $.teams[0].weight: is 0; write an integer from 1 to 1000"},
      {kSite, kSampleSite, "\"id\": \"shop\"", "\"id\": \"care\"",
       "/site.json: $.teams[1].id: team \"care\" is used twice; choose "
       "another; the first is at /site.json $.teams[0].id"},
      {kSite, kSampleSite, "\"team\": \"care\"", "\"team\": \"cares\"",
       "/site.json: $.objectives[0].team: refers to an unknown team \"cares\"; "
       "did you mean \"care\""},
      {kSite, kSampleSite, "\"service\": \"assistant\"", "\"service\": \"zzz\"",
       "/site.json: $.objectives[0].service: refers to an unknown service "
       "\"zzz\"; use one that the site defines"},
      {kSite, kSampleSite, "\"target\": 0.98", "\"target\": 1",
       "/site.json: $.objectives[0].target: leaves no error budget or no "
       "objective; write a number above 0 and below 1"},
      {kSite, kSampleSite, "\"target\": 0.98", "\"target\": 98",
       "/site.json: $.objectives[0].target: is 98; write a number from 0 to "
       "1.0"},
      {kSite, kSampleSite, "\"first_byte_ms\": 4000", "\"first_byte_ms\": 0",
       "/site.json: $.objectives[0].first_byte_ms: is 0; write an integer "
       "from 1 to 2592000000"},
      {kSite, kSampleSite, "\"loads_per_second\": 1.5",
       "\"loads_per_second\": 0",
       "/site.json: $.weight_store.loads_per_second: allows no load; write a "
       "number above 0"},
      {kSite, kSampleSite, "{\"cold_start_second\"", "[{\"cold_start_second\"",
       "/site.json: $: is not JSON: "},
      {kSite, kSampleSite, "\"teams\": [", "\"teams\": 4, \"xteams\": [",
       "/site.json: $.teams: is an integer; write an array"},
      {kModel, kSampleModelService, "\"kind\": \"model\"",
       "\"kind\": \"engine\"",
       "/assistant.service.json: $.kind: is \"engine\"; write one of "
       "\"model\", \"plain\""},
      {kModel, kSampleModelService, "\"id\": \"assistant\"",
       "\"id\": \"the assistant\"",
       "/assistant.service.json: $.id: is not a valid name: \"the assistant\"; "
       "use at most 128 letters, digits, '.', '_' and '-'"},
      {kModel, kSampleModelService, "\"id\": \"assistant\"",
       "\"id\": \"assistant\", \"id\": \"assistant\"",
       "/assistant.service.json: $: is not JSON: member \"id\" is given twice; "
       "write one JSON document"},
      {kModel, kSampleModelService, "[\"care\"]", "[\"care\", 7]",
       "/assistant.service.json: $.teams[1]: is not a valid name: 7; use at "
       "most 128 "
       "letters, digits, '.', '_' and '-'"},
      {kModel, kSampleModelService, "[\"care\"]", "[\"shop\", \"pegs\"]",
       "/assistant.service.json: $.teams[1]: refers to an unknown team "
       "\"pegs\"; "
       "use one that the site defines"},
      {kModel, kSampleModelService, "\"weights_bytes\": 500",
       "\"weights_bytes\": 950",
       "/assistant.service.json: $.models[0]: needs 1050 bytes, more than any "
       "endpoint of the service has; lower weights_bytes or "
       "cache_reserve_bytes, or add a larger endpoint"},
      {kModel, kSampleModelService, "\"weights_bytes\": 500",
       "\"weights_bytes\": 5.5",
       "/assistant.service.json: $.models[0].weights_bytes: is 5.5; write an "
       "integer from 1 to 1125899906842624"},
      {kModel, kSampleModelService, "\"id\": \"braid\"", "\"id\": \"pattern\"",
       "/assistant.service.json: $.models[0].adapters[0].id: model or adapter "
       "\"pattern\" is used twice; choose another; the first is at "
       "/assistant.service.json $.models[0].id"},
      {kModel, kSampleModelService, "\"memory_bytes\": 1000,", "",
       "/assistant.service.json: $.endpoints[0].memory_bytes: is missing or "
       "0; write the memory that is available to models"},
      {kModel, kSampleModelService, "\"honours_fencing\": true",
       "\"honours_fencing\": \"yes\"",
       "/assistant.service.json: $.endpoints[0].honours_fencing: is a string; "
       "write true or false"},
      {kModel, kSampleModelService, "\"max_replicas\": 2", "\"max_replica\": 2",
       "/assistant.service.json: $.models[0].max_replica: is an unknown "
       "field; did you mean \"max_replicas\""},
      {kModel, kSampleModelService, "10.0.0.1:8000", "10.0.0.1:80000",
       "/assistant.service.json: $.endpoints[0].address: is not a valid "
       "address: "
       "\"10.0.0.1:80000\"; write \"ip:port\" with a numeric IP address"},
      {kModel, kSampleModelService, "[{\"id\": \"engine-1\"",
       "[8, {\"id\": \"engine-1\"",
       "/assistant.service.json: $.endpoints[0]: is an integer; write an "
       "object"},
      {kPlain, kSamplePlainService, "\"id\": \"orders\"",
       "\"id\": \"assistant\"",
       "/shop/orders.service.json: $.id: service \"assistant\" is used twice; "
       "choose another; the first is at /assistant.service.json $.id"},
      {kPlain, kSamplePlainService, "\"id\": \"order-1\"",
       "\"id\": \"engine-1\"",
       "/shop/orders.service.json: $.endpoints[0].id: endpoint \"engine-1\" "
       "is used twice; choose another; the first is at "
       "/assistant.service.json $.endpoints[0].id"},
      {kPlain, kSamplePlainService, "\"POST\"", "\"post\"",
       "/shop/orders.service.json: $.routes[0].method: is \"post\"; write one "
       "of \"GET\", \"HEAD\", \"POST\", \"PUT\", \"PATCH\", \"DELETE\", "
       "\"OPTIONS\""},
      {kPlain, kSamplePlainService, "\"/orders\"", "\"orders\"",
       "/shop/orders.service.json: $.routes[0].path_prefix: is not a valid "
       "path: \"orders\"; start it with '/' and leave out spaces, '?' and '#'"},
      {kPlain, kSamplePlainService, "\"/orders\"", "\"/v1/chat\"",
       "/shop/orders.service.json: $.routes[0].path_prefix: is reserved for "
       "the node: \"/v1/chat\"; choose a path outside /v1/"},
      {kPlain, kSamplePlainService, "{\"method\": \"POST\"",
       "{\"method\": \"GET\", \"path_prefix\": \"/stock\"}, {\"method\": "
       "\"POST\"",
       "/shop/orders.service.json: $.routes[2]: route \"GET /stock\" is used "
       "twice; choose another; the first is at /shop/orders.service.json "
       "$.routes[0]"},
      {kPlain, kSamplePlainService, "\"routes\": [",
       "\"models\": [{\"id\": \"x\", \"version\": \"1\", \"weights_bytes\": "
       "1}], \"routes\": [",
       "/shop/orders.service.json: $.models: is not allowed for kind "
       "\"plain\"; "
       "remove it, or set kind to \"model\""},
      {kPlain, kSamplePlainService, "\"deadline_ms\": 2000",
       "\"deadline_s\": 2",
       "/shop/orders.service.json: $.routes[1].deadline_s: is an unknown "
       "field; did you mean \"deadline_ms\""},
      {kPlain, kSamplePlainService, "10.0.0.9:8000", "10.0.0.1:8000",
       "/shop/orders.service.json: $.endpoints[0].address: address "
       "\"10.0.0.1:8000\" is used twice; choose another; the first is at "
       "/assistant.service.json $.endpoints[0].address"},
  };
  return kCases;
}

BOOST_AUTO_TEST_CASE(LoadsEveryFieldOfASite) {
  const site_directory directory;
  const auto loaded = LoadSite(directory.path());
  BOOST_REQUIRE(loaded.has_value());
  const site& value = loaded.value();
  BOOST_TEST(value.platform_address == "127.0.0.1:7000");
  BOOST_TEST(value.compiled.site == "threadwell");
  BOOST_REQUIRE(value.compiled.teams.size() == 2);
  BOOST_TEST(value.compiled.teams[0].rate_per_second == tokens(100));
  BOOST_TEST(value.compiled.teams[0].burst == tokens(400));
  BOOST_TEST(value.compiled.teams[1].weight == 1);
  BOOST_TEST(value.compiled.weights.idle_accelerator_hour == 1.5);
  BOOST_TEST(ToMilliseconds(value.compiled.objectives[0].first_byte) == 4000);
  BOOST_REQUIRE(value.compiled.services.size() == 2);
  const service& assistant = value.compiled.services[0];
  BOOST_TEST((assistant.kind == service_kind::model));
  BOOST_TEST(assistant.endpoints[0].memory == bytes(1000));
  BOOST_TEST(assistant.endpoints[0].honours_fencing);
  BOOST_TEST(ToMilliseconds(assistant.models[0].remote_load) == 9000);
  BOOST_TEST(assistant.models[0].adapters[0].size == bytes(7));
  const service& orders = value.compiled.services[1];
  BOOST_TEST(!orders.routes[0].idempotent);
  BOOST_TEST(orders.routes[1].open);
  BOOST_TEST(orders.routes[1].cost == tokens(0));
}

BOOST_AUTO_TEST_CASE(ReportsPathAndRemedyOfEachFault) {
  for (const invalid_file& item : InvalidFiles()) {
    BOOST_TEST_CONTEXT(item.to) {
      const site_directory directory;
      directory.Write(item.file, ReplaceFirst(item.sample, item.from, item.to));
      const std::vector<std::string> faults = directory.Faults();
      BOOST_REQUIRE(!faults.empty());
      const std::string expected = item.expected;
      // An expected text that ends in a space is a prefix: the JSON library's
      // own message follows.
      const bool is_start = expected.back() == ' ';
      BOOST_TEST((is_start ? faults[0].substr(0, expected.size())
                           : faults[0]) == expected);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsAllFaultsOfAllFilesAtOnce) {
  const site_directory directory;
  directory.Write(kSite, ReplaceFirst(kSampleSite, "\"weight\": 2",
                                      "\"weight\": 0, \"colour\": 1"));
  directory.Write(kPlain, ReplaceFirst(kSamplePlainService, "\"POST\"", "7"));
  const std::vector<std::string> faults = directory.Faults();
  BOOST_REQUIRE(faults.size() == 3);
  BOOST_TEST(faults[0].find("$.teams[0].weight") != std::string::npos);
  BOOST_TEST(faults[1].find("$.teams[0].colour") != std::string::npos);
  BOOST_TEST(faults[2].find("$.routes[0].method") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReportsMissingDirectoryAndMissingFiles) {
  const auto missing = LoadSite("/nonexistent/site");
  BOOST_REQUIRE(!missing.has_value());
  BOOST_TEST(ToString(missing.error()[0]) ==
             "/nonexistent/site: $: cannot be listed: No such file or "
             "directory; give the path of a directory that this user may read");

  const site_directory directory;
  directory.Remove(kModel);
  directory.Remove(kPlain);
  BOOST_TEST(directory.Faults()[0] ==
             ": $: contains no service file; add at least one file whose name "
             "ends in .service.json");
}

BOOST_AUTO_TEST_CASE(UnreadableServiceFileCausesNoUnknownReference) {
  const site_directory directory;
  directory.Write(kModel, "{");
  const std::vector<std::string> faults = directory.Faults();
  BOOST_REQUIRE(faults.size() == 1);
  BOOST_TEST(faults[0].find("/assistant.service.json: $: is not JSON") == 0);
}

BOOST_AUTO_TEST_CASE(ConfigurationRoundTripsThroughJson) {
  const site_directory directory;
  const configuration original = LoadSite(directory.path()).value().compiled;
  const auto read = ConfigurationFromJson(ToJson(original), revision(17));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read.value().version == revision(17));
  configuration expected = original;
  expected.version = revision(17);
  BOOST_TEST((read.value() == expected));
}

BOOST_AUTO_TEST_CASE(ConfigurationJsonIsCheckedLikeFiles) {
  const site_directory directory;
  const configuration original = LoadSite(directory.path()).value().compiled;
  const std::string broken = ReplaceFirst(ToJson(original), "\"team\":\"care\"",
                                          "\"team\":\"nobody\"");
  const auto read = ConfigurationFromJson(broken, revision(1));
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST(ToString(read.error()[0]) ==
             "$.objectives[0].team: refers to an unknown team \"nobody\"; use "
             "one that the site defines");
}

}  // namespace
}  // namespace jasminepath::config
