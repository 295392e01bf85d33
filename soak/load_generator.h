#ifndef JASMINEPATH_SOAK_LOAD_GENERATOR_H_
#define JASMINEPATH_SOAK_LOAD_GENERATOR_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "invariant_checker.h"
#include "jasminepath/base/random.h"
#include "jasminepath/http/client.h"
#include "soak_site.h"

namespace jasminepath::soak {

// One call in flight. Reports its end once through `done`, at the latest
// kAnswerSlack after the timeout of the call. `done` may destroy this object.
class running_call : private http::response_sink {
 public:
  using callback = std::function<void(const call_end&)>;

  running_call(http::event_loop& loop,
               http::client& client,
               const planned_call& call,
               duration max_idle_time,
               callback done);
  ~running_call() override;

  // Whether its connection has carried earlier calls.
  bool uses_reused_connection() const;

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

// Sends calls of all teams in two ways. Occasional callers send calls at a
// fixed rate to nodes that pass their readiness checks, on new connections and
// on pooled ones. Persistent callers send one call after another on a
// connection that they keep until the node closes it, whether the node is ready
// or not; then they connect to a node that passes its readiness checks.
class load_generator {
 public:
  load_generator(http::event_loop& loop,
                 soak_site& site,
                 invariant_checker& checker,
                 random_engine random);

  void Start();
  void Stop() { is_stopped_ = true; }
  // Number of calls of the team without an effective rate limit that ended at
  // or after `since`, and how many of them got a complete 200 response.
  int64_t CountEndedSince(time_point since) const;
  int64_t CountAnsweredSince(time_point since) const;

 private:
  struct open_call {
    planned_call plan;
    std::size_t node = 0;
    bool is_first_on_connection = false;
    time_point sent_at;
    // Runs after the end of the call, or after its caller has cancelled it.
    std::function<void()> done;
    std::unique_ptr<running_call> running;
    // Set if the caller cancels the call before it ends.
    std::unique_ptr<http::timer> cancel_timer;
  };
  struct node_clients {
    std::vector<std::unique_ptr<http::client>> clients;
    std::unique_ptr<http::client> readiness_client;
    std::unique_ptr<http::buffered_call> readiness_check;
    int failed_checks = 0;
  };
  struct persistent_caller {
    explicit persistent_caller(http::event_loop& loop) : timer(loop) {}

    std::size_t node = 0;
    std::unique_ptr<http::client> client;
    http::timer timer;
  };
  struct outcome {
    time_point at;
    bool is_answered = false;
  };

  void ScheduleCall();
  void SendOccasionalCall();
  void ScheduleNextCall(persistent_caller& caller);
  void SendNextCall(persistent_caller& caller);
  // Sends a call to a node through a client of its. `done` runs at the end.
  void SendCall(planned_call plan,
                std::size_t node,
                http::client& client,
                duration max_idle_time,
                std::function<void()> done);
  void OnCallEnd(std::list<open_call>::iterator entry, const call_end& end);
  planned_call DrawCall(int64_t stream_percentage);
  platform_adapter::stream_shape DrawStream();
  std::size_t PickNode();
  void CheckReadiness();
  int64_t RandomBelow(int64_t bound);

  http::event_loop& loop_;
  soak_site& site_;
  invariant_checker& checker_;
  random_engine random_;
  std::vector<node_clients> nodes_;
  std::list<persistent_caller> persistent_callers_;
  std::list<open_call> calls_;
  std::vector<outcome> outcomes_;
  http::timer call_timer_;
  http::timer check_timer_;
  int64_t last_call_ = 0;
  bool is_stopped_ = false;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_LOAD_GENERATOR_H_
