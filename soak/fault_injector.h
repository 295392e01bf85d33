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

// Injects randomly chosen faults into a site. Alternates between fault phases,
// in which all kinds of faults may overlap, and undisturbed phases with planned
// work only, in which time bounds are checked.
class fault_injector {
 public:
  fault_injector(http::event_loop& loop, soak_site& site, random_engine random);

  // Injects faults for `length`, then clears all of them.
  void Start(duration length);

  // Number of injected faults by kind.
  const std::map<std::string, int64_t>& counts() const { return counts_; }

 private:
  // Duration of a fault; nullopt if the fault did not apply to the present
  // state and was not injected.
  using fault_duration = std::optional<duration>;
  struct fault {
    std::string name;
    bool is_planned = false;
    std::function<fault_duration()> begin;
  };

  void AddNodeFaults();
  void AddStoreFaults();
  // Lets the store go away for `away` and come back from a copy that was made
  // `age` before. What the operator and the endpoints have written since is
  // written again within a second, in any order.
  void ReturnStore(duration age, duration away);
  void AddEndpointFaults();
  void AddPlannedWork();

  void BeginPhase();
  void Step();
  void ScheduleStep();
  // Stops up to half of the nodes in turn, some of them right after a reload.
  void StopInTurn();
  // Lists a leaving endpoint again after its last request has ended.
  void RelistOnceIdle(site_endpoint& endpoint);
  void Inject(const fault& chosen);
  void ClearAllFaults();
  // Runs `step` after `delay`.
  void RunLater(duration delay, std::function<void()> step);

  int64_t RandomBelow(int64_t bound);
  duration RandomDuration(int64_t low_ms, int64_t high_ms);
  site_node& RandomNode();
  site_endpoint& RandomEndpoint();
  fault_proxy& RandomProxy();

  http::event_loop& loop_;
  soak_site& site_;
  random_engine random_;
  std::vector<fault> faults_;
  std::map<std::string, int64_t> counts_;
  std::list<http::timer> delayed_steps_;
  http::timer step_timer_;
  time_point ends_at_{};
  time_point phase_ends_at_{};
  bool is_fault_phase_ = false;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_FAULT_INJECTOR_H_
