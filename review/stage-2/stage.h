#ifndef JASMINEPATH_REVIEW_STAGE_2_STAGE_H_
#define JASMINEPATH_REVIEW_STAGE_2_STAGE_H_

// What the cases of this review share: nodes as separate processes, and
// stand-ins of the platform's store, its balancer, streaming servers and
// clients in the process of the case. Everything is on loopback addresses.

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jasminepath/http/client.h"
#include "jasminepath/http/event_loop.h"
#include "jasminepath/http/event_stream_splitter.h"
#include "jasminepath/http/server.h"
#include "platform_standin.h"

namespace jasminepath::review {

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline constexpr char kService[] = "loom";
// The models of the service. All servers hold the first one.
inline constexpr char kModel[] = "m1";
inline constexpr char kRareModel[] = "m2";

// Writes what was sent, answered and run, with the time in ms.
class record {
 public:
  record();
  void Line(const std::string& text);
  int64_t ElapsedMs() const;
  // Later lines are left out, such as the ends of the processes at the end.
  void Close() { is_closed_ = true; }

 private:
  time_point began_;
  bool is_closed_ = false;
};

// One process of the system, started as the deploy file says.
class node_process {
 public:
  node_process(record& out,
               int number,
               std::string zone,
               const std::string& store_address,
               const std::string& folder);
  ~node_process();

  void Start();
  // Sends SIGKILL and waits for the end of the process.
  void Kill();
  // Sends SIGTERM.
  void Terminate();
  // Whether the process has ended after SIGTERM.
  bool HasEnded();
  bool is_running() const { return pid_ > 0; }

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  std::string front() const { return ip_ + ":" + std::to_string(front_port_); }
  std::string ready() const { return ip_ + ":" + std::to_string(ready_port_); }

  // State at the balancer.
  bool in_rotation = false;
  int misses = 0;
  std::unique_ptr<http::client> probe_client;
  std::unique_ptr<http::buffered_call> probe;

 private:
  record& record_;
  std::string name_;
  std::string zone_;
  std::string ip_;
  int front_port_ = 0;
  int ready_port_ = 0;
  int first_free_port_ = 0;
  std::string settings_file_;
  std::string log_file_;
  std::string store_address_;
  pid_t pid_ = 0;
};

// A model server with one software version, which streams events, takes orders
// and honours Expect-Instance and Last-Event-Id. It drops a run whose channel
// closes.
class stream_server {
 public:
  stream_server(record& out,
                http::event_loop& loop,
                platform_adapter::store_standin& store,
                std::string id,
                std::string zone,
                std::string version,
                int64_t events,
                duration interval);

  // Writes its entry, and again at each check-in interval.
  void Register();
  // Its entry is removed; it goes on serving.
  void Unregister();
  // Holds one more model from the start.
  void AddModel(const std::string& model) { models_.insert(model); }
  // Ends without a word: its channels break, and its entry stays.
  void Crash();
  // Starts again after a crash, with nothing loaded.
  void Restart();

  const std::string& version() const { return version_; }
  // The ids of the requests that it has begun to run.
  const std::vector<std::string>& begun() const { return begun_; }

 private:
  struct run {
    std::string request;
    int64_t next = 1;
    std::shared_ptr<http::exchange> reply;
    std::unique_ptr<http::timer> timer;
  };

  void Listen(const std::string& address);
  void Handle(const http::request& message,
              const std::shared_ptr<http::exchange>& reply);
  void HandleOrder(const http::request& message,
                   const std::shared_ptr<http::exchange>& reply);
  // What its entry and its reports say of the models that it holds.
  std::string ModelsJson() const;
  void SendEvent(uint64_t key);

  record& record_;
  http::event_loop& loop_;
  platform_adapter::store_standin& store_;
  std::string id_;
  std::string zone_;
  std::string version_;
  int64_t events_;
  duration interval_;
  std::unique_ptr<http::server> server_;
  std::string address_;
  http::timer check_in_;
  http::timer load_end_;
  std::set<std::string> models_{kModel};
  int64_t born_ms_ = 1'790'000'000'000;
  int64_t seq_ = 0;
  // Orders accepted since the start, and whether one is being carried out.
  int64_t orders_ = 0;
  int64_t fence_ = 0;
  bool is_busy_ = false;
  bool is_registered_ = false;
  uint64_t last_run_ = 0;
  std::vector<std::string> begun_;
  std::map<uint64_t, run> runs_;
};

class stage;

// A client with one stream. After a broken channel or a refusal it takes the
// stream up again on a new channel, at another node, a few times.
class stream_client : private http::response_sink {
 public:
  stream_client(stage& owner, int number, int64_t events, std::string model);
  ~stream_client() override;

  void Start();

  // The stream has ended, complete or not.
  bool is_done() const { return is_done_; }
  bool is_complete() const { return is_complete_; }
  // It has tried to take its stream up after at least one event.
  bool has_resumed() const { return has_resumed_; }
  // The nodes that have answered its attempts to take the stream up.
  const std::set<const node_process*>& resumed_at() const {
    return resumed_at_;
  }
  // An event came after it had taken its stream up.
  bool has_gone_on() const { return has_gone_on_; }
  bool has_begun() const { return last_event_ > 0; }
  // An event was missing, or came twice.
  bool is_out_of_order() const { return is_out_of_order_; }
  // The software versions of its events, in the order of arrival.
  const std::vector<std::string>& versions() const { return versions_; }
  int number() const { return number_; }
  time_point began_at() const { return began_at_; }
  // The first node it was connected to.
  const node_process* first_node() const { return first_node_; }

 private:
  void Attempt();
  void RetryAfter(duration delay);
  // Abandons the attempt after a gap that is too long.
  void WatchGap();
  void End(bool is_complete);
  bool OnHead(const http::response_head& head) override;
  void OnBody(std::string_view piece) override;
  void OnEnd() override;
  void OnFailure(http::call_failure failure) override;

  stage& stage_;
  int number_;
  int64_t events_;
  std::string model_;
  std::unique_ptr<http::client> client_;
  std::unique_ptr<http::call> call_;
  std::unique_ptr<http::timer> timer_;
  std::unique_ptr<http::timer> gap_timer_;
  http::event_stream_splitter splitter_;
  time_point began_at_{};
  const node_process* first_node_ = nullptr;
  const node_process* node_ = nullptr;
  std::string attempt_id_;
  std::string first_attempt_;
  int64_t last_event_ = 0;
  int attempts_ = 0;
  int status_ = 0;
  duration retry_after_{};
  bool is_done_ = false;
  bool is_complete_ = false;
  bool has_resumed_ = false;
  bool has_gone_on_ = false;
  bool is_out_of_order_ = false;
  std::set<const node_process*> resumed_at_;
  std::vector<std::string> versions_;
};

// All of them together: eight nodes in three zones, as the small deployment
// has them.
class stage {
 public:
  // The bounds of the streams' route.
  static constexpr int64_t kTimeBudgetMs = 13'000;
  // Attempts of a client beyond the first one.
  static constexpr int kRetries = 3;
  // The longest of two seconds, four times the objective and eight times the
  // pause that the route allows.
  static constexpr duration kLongestGap = Seconds(8);

  stage();
  ~stage();

  // Starts all nodes and waits until they are ready. Returns false if they
  // don't get ready in time.
  bool StartNodes();
  void RunFor(duration time);
  // Runs until the condition holds; returns false after `limit`.
  bool RunUntil(const std::function<bool()>& condition, duration limit);

  // A name that is empty is made from the version.
  stream_server& AddServer(const std::string& zone,
                           const std::string& version,
                           int64_t events,
                           duration interval,
                           const std::string& id = "");
  stream_client& AddClient(int64_t events, const std::string& model = kModel);

  // The node that the balancer chooses for a client's attempt.
  node_process* Choose(int client, int attempt, const node_process* except);

  http::event_loop loop;
  record out;
  platform_adapter::store_standin store;
  std::vector<std::unique_ptr<node_process>> nodes;
  std::vector<std::unique_ptr<stream_server>> servers;
  std::vector<std::unique_ptr<stream_client>> clients;
  // The zone of all clients; if empty, they are spread over the zones.
  std::string client_zone;

 private:
  void Probe();
  // The nodes to which the balancer sends clients of a zone.
  std::vector<node_process*> UsableIn(const std::string& zone) const;
  void OnProbed(node_process& node, bool is_ready);

  std::string folder_;
  http::timer probe_timer_;
};

// The words of TROUBLE: "0" for none, else all; or the name of one.
bool HasTrouble(const std::string& name);

}  // namespace jasminepath::review

#endif  // JASMINEPATH_REVIEW_STAGE_2_STAGE_H_
