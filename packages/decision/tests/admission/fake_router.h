#ifndef JASMINEPATH_DECISION_ADMISSION_FAKE_ROUTER_H_
#define JASMINEPATH_DECISION_ADMISSION_FAKE_ROUTER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

#include "jasminepath/decision/routing/routing_choice.h"

namespace jasminepath::decision {

// Endpoints "e0", "e1", ... with a number of slots each, for every service.
// Picks the first endpoint with a free slot at which the call has not failed.
class fake_router {
 public:
  fake_router(int64_t endpoints, int64_t slots)
      : endpoints_(endpoints), slots_(slots) {}

  routing_choice Pick(const routing_query& query, time_point) {
    bool has_candidate = false;
    for (int64_t i = 0; i < endpoints_; ++i) {
      const endpoint_id id("e" + std::to_string(i));
      const auto& avoid = query.avoid;
      if (std::find(avoid.begin(), avoid.end(), id) != avoid.end())
        continue;
      has_candidate = true;
      if (running_[id] < slots_)
        return {routing_verdict::picked, id, "10.0.0.1:80"};
    }
    return {
        has_candidate ? routing_verdict::wait : routing_verdict::no_endpoint,
        {},
        {}};
  }
  void OnDispatched(const endpoint_id& id, const routing_query&, time_point) {
    ++running_[id];
  }
  void OnFinished(const endpoint_id& id,
                  const routing_query&,
                  attempt_end end,
                  time_point) {
    --running_[id];
    ends_.push_back(end);
  }

  void set_slots(int64_t slots) { slots_ = slots; }
  int64_t running() const {
    int64_t total = 0;
    for (const auto& [id, count] : running_)
      total += count;
    return total;
  }
  const std::vector<attempt_end>& ends() const { return ends_; }

 private:
  int64_t endpoints_;
  int64_t slots_;
  std::map<endpoint_id, int64_t> running_;
  std::vector<attempt_end> ends_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_FAKE_ROUTER_H_
