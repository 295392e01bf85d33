// The node process. `jasminepathd --settings FILE` uses the project's own
// interfaces; `jasminepathd --platform` runs on the users' platform.

#include <signal.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <thread>

#include "jasminepath/config/fault.h"
#include "jasminepath/config/node_settings.h"
#include "jasminepath/gateway/gateway_app.h"
#include "jasminepath/node/node_app.h"
#include "jasminepath/platform_adapter/boot_settings.h"
#include "jasminepath/platform_adapter/platform_codec.h"

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

using jasminepath::gateway::gateway_app;
using jasminepath::node::node_app;
using jasminepath::node::run_end;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // RunNode() sends it to the signal thread after the node has stopped.
  sigaddset(&signals, SIGUSR1);
  return signals;
}

// Requests a stop of the node on each SIGTERM or SIGINT. Returns on SIGUSR1.
void ForwardSignals(node_app& node, const sigset_t& signals) {
  while (true) {
    int received = 0;
    if (sigwait(&signals, &received) != 0 || received == SIGUSR1)
      return;
    node.RequestStop();
  }
}

int RunNode(const jasminepath::config::node_settings& settings) {
  // All threads inherit the mask, so that only `watcher` receives the signals.
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  auto node = node_app::MakeNodeApp(settings);
  if (!node) {
    std::cerr << "jasminepathd: " << node.error().message << "\n";
    return kExitFailed;
  }
  std::thread watcher([&] { ForwardSignals(*node.value(), signals); });
  const run_end end = node.value()->Run();
  pthread_kill(watcher.native_handle(), SIGUSR1);
  watcher.join();
  return end == run_end::drained ? kExitSuccess : kExitFailed;
}

int LoadAndRun(const std::string& file, bool check_only) {
  const auto settings = jasminepath::config::LoadNodeSettings(file);
  if (!settings) {
    for (const auto& fault : settings.error())
      std::cerr << fault << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << file << ": good\n";
    return kExitSuccess;
  }
  return RunNode(settings.value());
}

// Serves on the users' platform. An environment variable holds the path of the
// settings file.
int RunOnPlatform(bool check_only) {
  namespace adapter = jasminepath::platform_adapter;
  const char* path = std::getenv(adapter::kSettingsVariable);
  if (path == nullptr) {
    std::cerr << "jasminepathd: set " << adapter::kSettingsVariable
              << " to the path of the settings file\n";
    return kExitUsage;
  }
  const auto read = [path] { return adapter::LoadBootSettings(path); };
  const auto settings = read();
  if (!settings) {
    std::cerr << "jasminepathd: " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (check_only) {
    std::cout << path << ": good\n";
    return kExitSuccess;
  }
  const adapter::platform_codec dialect;
  const auto app = gateway_app::MakeGatewayApp(settings.value(), dialect, read);
  if (!app) {
    std::cerr << "jasminepathd: " << app.error() << "\n";
    return kExitFailed;
  }
  app.value()->Run();
  return kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("jasminepathd", "Serves callers as one node.");
  options.add_options()("settings", "JSON file with the node's settings",
                        cxxopts::value<std::string>())(
      "platform", "run on the users' platform")("check-settings",
                                                "only check the settings")(
      "version", "show the version")("help", "show this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return kExitSuccess;
    }
    if (parsed.count("version") > 0) {
      std::cout << "jasminepathd " << JASMINEPATH_VERSION << "\n";
      return kExitSuccess;
    }
    if (parsed.count("platform") > 0)
      return RunOnPlatform(parsed.count("check-settings") > 0);
    if (parsed.count("settings") == 0) {
      std::cerr << "jasminepathd: --settings FILE or --platform is missing\n";
      return kExitUsage;
    }
    return LoadAndRun(parsed["settings"].as<std::string>(),
                      parsed.count("check-settings") > 0);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "jasminepathd: " << error.what() << "\n";
    return kExitUsage;
  }
}
