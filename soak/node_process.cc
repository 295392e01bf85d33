#include "node_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "jasminepath/platform_adapter/boot_settings.h"

namespace jasminepath::soak {
namespace {

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

std::string node_plan::caller_address() const {
  return Loopback(first_port);
}

std::string node_plan::readiness_address() const {
  return Loopback(first_port + 1);
}

node_process::node_process(std::string program,
                           std::string folder,
                           node_plan plan)
    : program_(std::move(program)),
      folder_(std::move(folder)),
      plan_(std::move(plan)) {
  WriteSettings();
}

node_process::~node_process() {
  if (pid_ <= 0)
    return;
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void node_process::WriteSettings() const {
  std::ofstream out(folder_ + "/" + plan_.name + ".toml");
  out << "node = \"" << plan_.name << "\"\nzone = \"z\"\nip = \"127.0.0.1\"\n"
      << "portRange = [" << plan_.first_port + 2 << "," << plan_.first_port + 3
      << "]\n[listen]\nfront = \"" << plan_.caller_address() << "\"\nready = \""
      << plan_.readiness_address() << "\"\n[provider]\naddress = \""
      << plan_.store_address
      << "\"\n[bounds]\nleaseMs = 3000\nrequireFencing = true\ngraceS = 8\n"
      << "retryRatio = 0.2\nbudgetSlack = 56\n";
}

void node_process::Start() {
  const std::string settings = folder_ + "/" + plan_.name + ".toml";
  const std::string log = folder_ + "/" + plan_.name + ".log";
  pid_ = ::fork();
  if (pid_ < 0)
    throw std::runtime_error("cannot start " + program_);
  if (pid_ > 0)
    return;
  // The node is killed if the soak test is terminated.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The child must not inherit connections of the soak test, which would stay
  // open.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::setenv(platform_adapter::kSettingsVariable, settings.c_str(), 1);
  ::execl(program_.c_str(), program_.c_str(), "--platform", nullptr);
  ::_exit(127);
}

void node_process::Signal(int number) {
  if (pid_ > 0)
    ::kill(pid_, number);
}

std::optional<int> node_process::TakeExitCode() {
  int status = 0;
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
    return std::nullopt;
  pid_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string node_process::StatusValue(const std::string& name) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with(name + ":"))
      return line.substr(name.size() + 1);
  }
  return "";
}

bool node_process::HandlesSignals() const {
  uint64_t handled = 0;
  std::istringstream(StatusValue("SigCgt")) >> std::hex >> handled;
  constexpr uint64_t kNeeded =
      (uint64_t{1} << (SIGTERM - 1)) | (uint64_t{1} << (SIGHUP - 1));
  return IsRunning() && (handled & kNeeded) == kNeeded;
}

int64_t node_process::PeakMemoryKb() const {
  int64_t kilobytes = 0;
  std::istringstream(StatusValue("VmHWM")) >> kilobytes;
  return kilobytes;
}

}  // namespace jasminepath::soak
