#ifndef JASMINEPATH_SOAK_NODE_PROCESS_H_
#define JASMINEPATH_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace jasminepath::soak {

// Loopback ports of a node, and the address of the store in its settings.
struct node_plan {
  std::string name;
  // First of four consecutive ports: callers, readiness checks, and two for
  // messages between nodes.
  uint16_t first_port = 0;
  std::string store_address;

  std::string caller_address() const;
  std::string readiness_address() const;
};

// One process of `jasminepathd --platform`. Writes its settings file, starts
// the process and signals it by its process id.
class node_process {
 public:
  // The settings file and the log are written to `folder`.
  node_process(std::string program, std::string folder, node_plan plan);
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  // Kills the process if it is still running, and waits for its end.
  ~node_process();

  const node_plan& plan() const { return plan_; }

  // Throws if fork() fails; a program that cannot be executed exits with 127.
  void Start();
  // Has no effect on a process that has ended.
  void Signal(int number);
  // Returns the exit code once after the process has ended, or -1 if a signal
  // ended it; otherwise nullopt.
  std::optional<int> TakeExitCode();
  bool IsRunning() const { return pid_ > 0; }
  // Whether the process has installed handlers for SIGTERM and SIGHUP, which
  // end it otherwise.
  bool HandlesSignals() const;
  // Peak resident memory in kilobytes; 0 if the process has ended.
  int64_t PeakMemoryKb() const;

 private:
  void WriteSettings() const;
  // Value of a line of the process's status in /proc; empty if there is none.
  std::string StatusValue(const std::string& name) const;

  std::string program_;
  std::string folder_;
  node_plan plan_;
  pid_t pid_ = 0;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_NODE_PROCESS_H_
