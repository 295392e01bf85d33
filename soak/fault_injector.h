#ifndef JASMINEPATH_SOAK_FAULT_INJECTOR_H_
#define JASMINEPATH_SOAK_FAULT_INJECTOR_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"
#include "soak_site.h"

namespace jasminepath::soak {

// Draws faults from a seed and does them to a site: storms, in which anything
// may happen at once, and calm times with planned work only, in which bounds
// in time hold.
class fault_injector {
 public:
  fault_injector(http::event_loop& loop, soak_site& site, random_engine random);

  // Injects faults for this long, and leaves the site healed.
  void Start(duration length);

  // How often each kind was injected.
  const std::map<std::string, int64_t>& counts() const { return counts_; }

 private:
  // How long a fault lasts; nothing if it did not fit and was not injected.
  using lasting = std::optional<duration>;
  struct fault {
    std::string name;
    bool planned = false;
    std::function<lasting()> begin;
  };

  void AddNodeFaults();
  void AddStoreFaults();
  void AddEndpointFaults();
  void AddPlannedWork();

  void BeginPhase();
  void Step();
  void Inject(const fault& chosen);
  void HealAll();
  // Runs `step` later.
  void Later(duration delay, std::function<void()> step);

  int64_t Below(int64_t bound);
  duration Between(int64_t low_ms, int64_t high_ms);
  site_node& AnyNode();
  site_endpoint& AnyEndpoint();
  // One of the proxies of the site.
  fault_proxy& AnyProxy();

  http::event_loop& loop_;
  soak_site& site_;
  random_engine random_;
  std::vector<fault> faults_;
  std::map<std::string, int64_t> counts_;
  std::list<http::timer> later_;
  http::timer step_timer_;
  time_point ends_at_{};
  time_point phase_ends_at_{};
  bool is_storm_ = false;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_FAULT_INJECTOR_H_
