// Runs one stand-in for the demo: standin platform|engine|plain.

#include <csignal>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>

#include "jasminepath/standin/listen_options.h"
#include "jasminepath/standin/plain_standin.h"
#include "jasminepath/standin/platform_standin.h"

namespace jasminepath::standin {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kMaxPort = 65535;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("standin", "Stands in for what jasminepath meets");
  auto add = options.add_options();
  add("kind", "platform or plain", cxxopts::value<std::string>());
  add("listen", "IP number and port; port 0 takes a free one",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
  add("port-file", "file that receives the port",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "show this text");
  options.parse_positional({"kind"});
  options.positional_help("platform|plain");
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

// Blocks SIGTERM and SIGINT in this thread and those that it starts.
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
  return kExitDone;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << '\n';
    return kExitDone;
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
