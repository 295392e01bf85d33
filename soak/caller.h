#ifndef JASMINEPATH_SOAK_CALLER_H_
#define JASMINEPATH_SOAK_CALLER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "jasminepath/base/random.h"
#include "jasminepath/http/client.h"
#include "promise_ledger.h"
#include "soak_site.h"

namespace jasminepath::soak {

// One call by one caller, which ends by itself.
class running_call : private http::response_sink {
 public:
  using callback = std::function<void(const call_end&)>;

  running_call(http::event_loop& loop,
               http::client& client,
               const planned_call& call,
               duration max_idle_time,
               callback done);
  ~running_call() override;

 private:
  bool OnHead(const http::response_head& head) override;
  void OnBody(std::string_view piece) override;
  void OnEnd() override;
  void OnFailure(http::call_failure failure) override;
  void Finish();

  call_end end_;
  callback done_;
  http::timer timer_;
  std::unique_ptr<http::call> call_;
};

// Callers of all teams, who come at a steady rate, keep their connections open
// as long as they may, and go to the nodes that a balancer finds ready.
class caller_crowd {
 public:
  caller_crowd(http::event_loop& loop,
               soak_site& site,
               promise_ledger& ledger,
               random_engine random);

  void Start();
  void Stop() { stopped_ = true; }
  // Calls of teams with an ample rate that ended since `since`, and those of
  // them that were answered.
  int64_t ended_since(time_point since) const;
  int64_t answered_since(time_point since) const;

 private:
  struct open_call {
    planned_call plan;
    time_point sent_at;
    std::unique_ptr<running_call> running;
    // Set if the caller is going to leave before the end.
    std::unique_ptr<http::timer> leaving;
  };
  struct route {
    std::vector<std::unique_ptr<http::client>> clients;
    std::unique_ptr<http::client> balancer;
    std::unique_ptr<http::buffered_call> check;
    int misses = 0;
  };
  struct outcome {
    time_point at;
    bool answered = false;
  };

  void ScheduleCall();
  void SendCall();
  planned_call Draw();
  std::size_t PickNode();
  void CheckReadiness();
  int64_t Below(int64_t bound);

  http::event_loop& loop_;
  soak_site& site_;
  promise_ledger& ledger_;
  random_engine random_;
  std::vector<route> routes_;
  std::list<open_call> calls_;
  std::vector<outcome> outcomes_;
  http::timer call_timer_;
  http::timer check_timer_;
  int64_t last_call_ = 0;
  bool stopped_ = false;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_CALLER_H_
