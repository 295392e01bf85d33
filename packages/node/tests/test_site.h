#ifndef JASMINEPATH_NODE_TESTS_TEST_SITE_H_
#define JASMINEPATH_NODE_TESTS_TEST_SITE_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http_caller.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/config/node_settings.h"
#include "jasminepath/config/team_key_codec.h"
#include "jasminepath/node/node_app.h"
#include "jasminepath/platform/platform_client.h"
#include "jasminepath/platform/table_keys.h"
#include "jasminepath/standin/engine_options.h"
#include "jasminepath/standin/engine_standin.h"
#include "jasminepath/standin/plain_standin.h"
#include "jasminepath/standin/platform_standin.h"

namespace jasminepath::node {

inline constexpr char kOperatorToken[] = "operator-token";

// A node that runs on a thread of the test.
class running_node {
 public:
  explicit running_node(const config::node_settings& settings)
      : app_(std::move(node_app::MakeNodeApp(settings).value())),
        thread_([this] { end_ = app_->Run(); }) {}
  ~running_node() { Stop(); }

  std::string caller_address() const { return app_->caller_address(); }
  std::string admin_address() const { return app_->admin_address(); }

  void RequestStop() { app_->RequestStop(); }

  // Requests a planned stop and returns how the run ended.
  run_end Stop() {
    if (thread_.joinable()) {
      app_->RequestStop();
      thread_.join();
    }
    return end_;
  }

 private:
  std::unique_ptr<node_app> app_;
  run_end end_ = run_end::aborted;
  std::thread thread_;
};

// The stand-ins of a small site: a team "beads", a model "knots" on one engine,
// and a plain service with an idempotent, a non-idempotent and an open route.
class test_site {
 public:
  test_site()
      : platform_(standin::listen_options{}),
        plain_(standin::listen_options{}),
        engine_(MakeEngineOptions()) {
    for (const char* vm : {"node-0", "node-1", "node-2"})
      vms_ += std::string(vms_.empty() ? "" : ",") + "{\"vm\":\"" + vm +
              "\",\"state\":\"live\"}";
    vms_ +=
        ",{\"vm\":\"engine-vm\",\"state\":\"live\"}"
        ",{\"vm\":\"plain-vm\",\"state\":\"live\"}";
    SendRequest(platform_address(),
                {"POST", "/standin/vms", {}, "{\"vms\":[" + vms_ + "]}"});
    Publish(MakeConfiguration());
  }

  std::string platform_address() const { return Local(platform_.port()); }
  std::string plain_address() const { return Local(plain_.port()); }
  std::string engine_address() const { return Local(engine_.port()); }

  config::node_settings Settings(const std::string& vm) const {
    config::node_settings settings;
    settings.vm = vm_id(vm);
    settings.zone = zone_id("z1");
    settings.caller_listen = "127.0.0.1:0";
    settings.admin_listen = "127.0.0.1:0";
    settings.mesh_listen = "127.0.0.1:0";
    settings.platform_address = platform_address();
    settings.operator_token_sha256 = Sha256Hex(kOperatorToken);
    settings.level = config::log_level::error;
    settings.limits.lame_duck = Milliseconds(50);
    settings.limits.max_connections = 256;
    settings.limits.worker_threads = 128;
    return settings;
  }

  config::configuration MakeConfiguration() const {
    config::configuration value;
    value.site = "test";
    value.teams = {{team_id("beads"), tokens(100'000), tokens(200'000), 1}};
    value.services = {PlainService(), ModelService()};
    return value;
  }

  // Commits the configuration's row.
  void Publish(const config::configuration& value) {
    Write(platform::kConfigurationKey, config::ToJson(value));
  }

  // Issues a key for the team and returns it in the form that callers present.
  std::string IssueKey(const std::string& team) {
    const auto key = config::IssueTeamKey(team_id(team));
    last_key_ = key.record;
    Write(platform::TeamKeyRow(key.record.id), config::ToJson(key.record));
    return key.presented;
  }

  // Withdraws the key that was issued last.
  void WithdrawLastKey() {
    config::team_key key = last_key_;
    key.withdrawn = true;
    Write(platform::TeamKeyRow(key.id), config::ToJson(key));
  }

 private:
  static std::string Local(uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  }

  static standin::engine_options MakeEngineOptions() {
    standin::engine_options options;
    options.memory_bytes = 1'000'000;
    options.default_model.weights_bytes = 1000;
    options.default_model.load_from_remote = Milliseconds(200);
    return options;
  }

  config::service PlainService() const {
    config::service service;
    service.id = service_id("orders");
    service.kind = config::service_kind::plain;
    service.endpoints = {{endpoint_id("plain-0"), vm_id("plain-vm"),
                          zone_id("z1"), plain_address(), bytes(0), 0, false}};
    service.routes = {{"POST", "/orders", false, false, tokens(1), Seconds(10)},
                      {"GET", "/stock", true, false, tokens(1), Seconds(10)},
                      {"GET", "/hours", true, true, tokens(1), Seconds(10)}};
    return service;
  }

  config::service ModelService() const {
    config::service service;
    service.id = service_id("assistant");
    service.kind = config::service_kind::model;
    service.endpoints = {{endpoint_id("engine-0"), vm_id("engine-vm"),
                          zone_id("z1"), engine_address(), bytes(1'000'000), 1,
                          true}};
    config::model model;
    model.id = model_id("knots");
    model.version = "1";
    model.weights = bytes(1000);
    model.cache_reserve = bytes(100);
    model.remote_load = Milliseconds(200);
    model.disk_load = Milliseconds(100);
    model.memory_load = Milliseconds(50);
    service.models = {model};
    return service;
  }

  void Write(const std::string& key, const std::string& value) {
    platform::platform_client client(platform_address(), {});
    revision version;
    const auto rows = client.ReadSince(key, revision());
    for (const platform::table_row& row : rows.value().rows) {
      if (row.key == key)
        version = row.version;
    }
    client.Commit({{{key, version}}, {{key, value}}}).value();
  }

  standin::platform_standin platform_;
  standin::plain_standin plain_;
  standin::engine_standin engine_;
  std::string vms_;
  config::team_key last_key_;
};

// Repeats the call until the answer satisfies `is_expected`, for at most about
// 20 s plus the duration of the calls.
inline http_answer PollUntil(
    const std::string& address,
    const http_call& call,
    const std::function<bool(const http_answer&)>& is_expected) {
  constexpr int kMaxAttempts = 200;
  constexpr auto kRetryInterval = std::chrono::milliseconds(100);
  http_answer answer;
  for (int i = 0; i < kMaxAttempts; ++i) {
    answer = SendRequest(address, call);
    if (is_expected(answer))
      return answer;
    std::this_thread::sleep_for(kRetryInterval);
  }
  return answer;
}

// Waits until the node is ready and has received the key.
inline bool WaitUntilReady(const std::string& address, const std::string& key) {
  const auto answer =
      PollUntil(address, {"GET", "/stock/red", {{"X-Api-Key", key}}, ""},
                [](const http_answer& got) { return got.status == 200; });
  return answer.status == 200;
}

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_TESTS_TEST_SITE_H_
