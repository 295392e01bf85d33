#ifndef JASMINEPATH_NODE_PLATFORM_EXECUTOR_H_
#define JASMINEPATH_NODE_PLATFORM_EXECUTOR_H_

#include <algorithm>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "jasminepath/base/bounded_ring.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/platform/ports.h"
#include "platform_throttle.h"

namespace jasminepath::node {

// The purpose of a platform call, by which its reply is dispatched.
enum class platform_purpose {
  fact_poll,
  instance_poll,
  vm_poll,
  instance_write,
  share_commit,
  share_read,
  claim_commit,
  claim_read,
  quarantine_commit,
  vm_authority_commit,
  vm_authority_read,
  model_authority_commit,
  model_authority_read,
  answer_record,
  answer_read,
  window_save,
};

// Identifies the call: its purpose and the team, VM, model or row concerned.
struct platform_call_context {
  platform_purpose purpose = platform_purpose::fact_poll;
  std::string subject;
  // The caller's request that waits for the reply, if any.
  request_id call;
  // The revision where a poll starts, or the version that a write expects.
  revision since;

  friend bool operator==(const platform_call_context&,
                         const platform_call_context&) = default;
};

template <typename Value>
using platform_result = result<Value, platform::platform_error>;

struct commit_rows {
  using outcome = platform_result<platform::transaction_outcome>;
  platform::transaction change;
};
struct read_rows {
  using outcome = platform_result<platform::row_page>;
  std::string prefix;
  revision since;
};
struct list_vms {
  using outcome = platform_result<std::vector<platform::listed_vm>>;
};
struct put_object {
  using outcome = platform_result<void>;
  std::string name;
  std::string body;
};
struct get_object {
  using outcome = platform_result<std::string>;
  std::string name;
};

// One platform call to execute.
struct platform_request {
  platform_call_context context;
  std::variant<commit_rows, read_rows, list_vms, put_object, get_object> call;
};

// The outcome of a platform call. The alternative matches that of the request.
struct platform_reply {
  platform_call_context context;
  std::variant<commit_rows::outcome,
               read_rows::outcome,
               list_vms::outcome,
               put_object::outcome,
               get_object::outcome>
      outcome;
};

// Executes queued platform calls on its own thread, one after the other, with
// its own client and at the rate that the throttle allows. Calls fail at once
// while the circuit breaker is open. `deliver` is called with each reply on
// that thread. `Client` satisfies table_port, object_port and vm_list_port.
template <typename Client>
class platform_executor {
 public:
  // Queues up to `capacity` calls. `throttle` must outlive this object.
  platform_executor(Client client,
                    platform_throttle& throttle,
                    std::size_t capacity,
                    std::function<void(platform_reply)> deliver)
      : client_(std::move(client)),
        throttle_(throttle),
        deliver_(std::move(deliver)),
        requests_(capacity),
        thread_([this] { Run(); }) {}
  platform_executor(const platform_executor&) = delete;
  platform_executor& operator=(const platform_executor&) = delete;
  // Finishes the queued calls, then joins the thread.
  ~platform_executor() {
    requests_.Close();
    thread_.join();
  }

  // Returns false if the queue is full; `request` is unchanged in that case.
  bool TrySubmit(platform_request& request) {
    return requests_.TryPush(request);
  }

 private:
  void Run() {
    while (true) {
      auto request = requests_.PopWithin(kQueuePollInterval);
      if (request) {
        deliver_(Execute(*request));
        continue;
      }
      if (requests_.closed())
        return;
    }
  }

  platform_reply Execute(const platform_request& request) {
    return std::visit(
        [&](const auto& call) {
          using outcome = typename std::decay_t<decltype(call)>::outcome;
          if (!WaitForPermission(AccessOf(call))) {
            return platform_reply{
                request.context,
                outcome(platform::platform_error::unreachable)};
          }
          outcome call_result = MakeCall(call);
          throttle_.OnCallEnded(HasPlatformAnswered(call_result),
                                boot_clock::now());
          return platform_reply{request.context, std::move(call_result)};
        },
        request.call);
  }

  // Waits until the rate allows a call. Returns false if the circuit breaker is
  // open, or if the queue is closed during the wait.
  bool WaitForPermission(table_access access) {
    using verdict = call_permission::verdict;
    while (true) {
      const time_point now = boot_clock::now();
      const call_permission permission = throttle_.RequestCall(access, now);
      if (permission.outcome != verdict::wait)
        return permission.outcome == verdict::allow;
      if (requests_.closed())
        return false;
      std::this_thread::sleep_for(
          std::min(permission.retry_at - now, kQueuePollInterval));
    }
  }

  template <typename Outcome>
  static bool HasPlatformAnswered(const Outcome& outcome) {
    if (outcome)
      return true;
    return outcome.error() != platform::platform_error::unreachable &&
           outcome.error() != platform::platform_error::outcome_lost;
  }

  static table_access AccessOf(const commit_rows&) {
    return table_access::write;
  }
  static table_access AccessOf(const put_object&) {
    return table_access::write;
  }
  template <typename Read>
  static table_access AccessOf(const Read&) {
    return table_access::read;
  }

  auto MakeCall(const commit_rows& call) { return client_.Commit(call.change); }
  auto MakeCall(const read_rows& call) {
    return client_.ReadSince(call.prefix, call.since);
  }
  auto MakeCall(const list_vms&) { return client_.ListVms(); }
  auto MakeCall(const put_object& call) {
    return client_.Put(call.name, call.body);
  }
  auto MakeCall(const get_object& call) { return client_.Get(call.name); }

  static constexpr duration kQueuePollInterval = Milliseconds(500);

  Client client_;
  platform_throttle& throttle_;
  std::function<void(platform_reply)> deliver_;
  bounded_ring<platform_request> requests_;
  std::thread thread_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_PLATFORM_EXECUTOR_H_
