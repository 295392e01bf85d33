// Runs one simulated dependency for tests and the demo:
// standin platform|engine|plain.

#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/standin/engine_options.h"
#include "jasminepath/standin/engine_standin.h"
#include "jasminepath/standin/listen_options.h"
#include "jasminepath/standin/plain_standin.h"
#include "jasminepath/standin/platform_standin.h"

namespace jasminepath::standin {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kMaxPort = 65535;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("standin", "Simulates a dependency of jasminepath");
  auto add = options.add_options();
  add("kind", "platform, engine or plain", cxxopts::value<std::string>());
  add("listen", "IP number and port; port 0 takes a free one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("port-file", "file that receives the port",
      cxxopts::value<std::string>()->default_value(""));
  add("models", "engine: JSON file with the models' sizes and loading times",
      cxxopts::value<std::string>()->default_value(""));
  add("resident", "engine: models resident from the start",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  add("on-disk", "engine: checkpoints on disk from the start",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  add("memory-bytes", "engine: memory for weights and adapters",
      cxxopts::value<int64_t>()->default_value("80000000000"));
  add("first-token-ms", "engine: time to the first token",
      cxxopts::value<int64_t>()->default_value("20"));
  add("per-token-ms", "engine: time between tokens",
      cxxopts::value<int64_t>()->default_value("5"));
  add("max-running", "engine: maximum concurrent generations",
      cxxopts::value<int>()->default_value("512"));
  add("store", "engine: IP number and port of the weight store",
      cxxopts::value<std::string>()->default_value(""));
  add("ignore-fencing", "engine: accept orders with any epoch");
  add("exit-on-crash", "engine: a crash ends the process");
  add("help", "show this text");
  options.parse_positional({"kind"});
  options.positional_help("platform|engine|plain");
  return options;
}

std::optional<listen_options> ParseListen(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  listen_options listen;
  listen.host = text.substr(0, colon);
  try {
    const int port = std::stoi(text.substr(colon + 1));
    if (port < 0 || port > kMaxPort)
      return std::nullopt;
    listen.port = static_cast<uint16_t>(port);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return listen;
}

// Blocks SIGTERM and SIGINT in this thread and in threads that it starts.
// Returns the blocked signals.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

bool WritePort(const std::string& file, uint16_t port) {
  std::cout << "event=listening port=" << port << std::endl;
  if (file.empty())
    return true;
  std::ofstream out(file);
  out << port << '\n';
  return out.good();
}

// Writes the port and waits for a stop signal.
template <typename Standin>
int ServeUntilStopped(const Standin& standin,
                      const std::string& port_file,
                      const sigset_t& signals) {
  if (!WritePort(port_file, standin.port())) {
    std::cerr << "standin: cannot write " << port_file << '\n';
    return kExitFailed;
  }
  int received = 0;
  sigwait(&signals, &received);
  return kExitSuccess;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

// Returns an option's values without empty ones, since cxxopts parses an empty
// list as one empty value.
std::vector<std::string> NonEmptyValues(const cxxopts::ParseResult& parsed,
                                        const std::string& name) {
  auto words = parsed[name].as<std::vector<std::string>>();
  std::erase(words, std::string());
  return words;
}

result<engine_options, std::string> MakeEngineOptions(
    const cxxopts::ParseResult& parsed,
    const listen_options& listen) {
  engine_options options;
  options.listen = listen;
  options.resident = NonEmptyValues(parsed, "resident");
  options.cached_on_disk = NonEmptyValues(parsed, "on-disk");
  options.memory_bytes = parsed["memory-bytes"].as<int64_t>();
  options.first_token = Milliseconds(parsed["first-token-ms"].as<int64_t>());
  options.per_token = Milliseconds(parsed["per-token-ms"].as<int64_t>());
  options.max_running = parsed["max-running"].as<int>();
  options.honours_fencing = parsed.count("ignore-fencing") == 0;
  options.exit_on_crash = parsed.count("exit-on-crash") > 0;
  const std::string store = parsed["store"].as<std::string>();
  if (!store.empty()) {
    const auto address = ParseListen(store);
    if (!address)
      return std::string("--store needs an IP number and a port");
    options.store_host = address->host;
    options.store_port = address->port;
  }
  const std::string models = parsed["models"].as<std::string>();
  if (!models.empty()) {
    auto engine_models = ParseEngineModels(ReadFile(models));
    if (!engine_models)
      return models + ": " + engine_models.error();
    options.models = std::move(engine_models.value());
  }
  return options;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return kExitSuccess;
  }
  const auto listen = ParseListen(parsed["listen"].as<std::string>());
  if (!listen || parsed.count("kind") == 0) {
    std::cerr << options.help() << '\n';
    return kExitUsage;
  }
  const std::string kind = parsed["kind"].as<std::string>();
  const std::string port_file = parsed["port-file"].as<std::string>();
  const sigset_t signals = BlockStopSignals();
  if (kind == "platform")
    return ServeUntilStopped(platform_standin(*listen), port_file, signals);
  if (kind == "engine") {
    const auto engine = MakeEngineOptions(parsed, *listen);
    if (!engine) {
      std::cerr << "standin: " << engine.error() << '\n';
      return kExitUsage;
    }
    return ServeUntilStopped(engine_standin(engine.value()), port_file,
                             signals);
  }
  if (kind == "plain")
    return ServeUntilStopped(plain_standin(*listen), port_file, signals);
  std::cerr << "standin: unknown kind " << kind << '\n';
  return kExitUsage;
}

}  // namespace
}  // namespace jasminepath::standin

int main(int argc, char** argv) {
  try {
    return jasminepath::standin::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "standin: " << error.what() << '\n';
    return 2;
  }
}
