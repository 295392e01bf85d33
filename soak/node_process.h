#ifndef JASMINEPATH_SOAK_NODE_PROCESS_H_
#define JASMINEPATH_SOAK_NODE_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace jasminepath::soak {

// Where a node listens on loopback, and the store that it is told of.
struct node_plan {
  std::string name;
  // The caller's, the balancer's, and two for the nodes' own messages.
  uint16_t first_port = 0;
  std::string store_address;

  std::string caller_address() const;
  std::string readiness_address() const;
};

// One jasminepathd --platform. Writes its settings file, starts it, and sends
// signals to it alone.
class node_process {
 public:
  // `folder` takes the settings file and the log.
  node_process(std::string program, std::string folder, node_plan plan);
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  // Kills the process if it still runs.
  ~node_process();

  const node_plan& plan() const { return plan_; }

  // Throws if the process cannot be started.
  void Start();
  // No effect on a process that has ended.
  void Signal(int number);
  // Set once after the process has ended: its exit code, or -1 if a signal
  // ended it.
  std::optional<int> TakeEnd();
  bool running() const { return pid_ > 0; }
  // Peak of its resident memory in kilobytes; 0 if it has ended.
  int64_t PeakMemoryKb() const;

 private:
  void WriteSettings() const;

  std::string program_;
  std::string folder_;
  node_plan plan_;
  pid_t pid_ = 0;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_NODE_PROCESS_H_
