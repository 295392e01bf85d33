#ifndef JASMINEPATH_SOAK_CONFIGURATION_PROBER_H_
#define JASMINEPATH_SOAK_CONFIGURATION_PROBER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "invariant_checker.h"
#include "load_generator.h"
#include "soak_site.h"

namespace jasminepath::soak {

// Probes each node for the routes and keys that the last two configurations
// added and removed. Checks that each configuration is in force within its time
// bound and that no node returns to an older one.
class configuration_prober {
 public:
  configuration_prober(http::event_loop& loop,
                       soak_site& site,
                       invariant_checker& checker);

  void Start();
  void Stop() { is_stopped_ = true; }

 private:
  // The part of the configuration that a probe tests.
  enum class probe_kind { added_route, removed_route, withdrawn_key };
  struct probe {
    std::size_t node = 0;
    int64_t incarnation = 0;
    int64_t version = 0;
    probe_kind kind = probe_kind::added_route;
    planned_call call;
    time_point sent_at;
    std::unique_ptr<running_call> running;
  };
  struct node_state {
    std::unique_ptr<http::client> client;
    int64_t incarnation = -1;
    // Newest configuration version whose route this process has served.
    int64_t newest_version_served = 0;
  };

  void SendProbes();
  void SendProbe(std::size_t node, probe_kind kind);
  void OnProbeEnd(const probe& finished, const call_end& end);

  http::event_loop& loop_;
  soak_site& site_;
  invariant_checker& checker_;
  http::timer timer_;
  std::vector<node_state> nodes_;
  std::list<probe> probes_;
  int64_t last_probe_ = 0;
  bool is_stopped_ = false;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_CONFIGURATION_PROBER_H_
