#ifndef JASMINEPATH_SOAK_SOAK_SITE_H_
#define JASMINEPATH_SOAK_SOAK_SITE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "invariant_checker.h"
#include "jasminepath/base/random.h"
#include "jasminepath/http/event_loop.h"
#include "node_process.h"
#include "platform_standin.h"

namespace jasminepath::soak {

// An endpoint stand-in with the proxy through which nodes reach it.
struct site_endpoint {
  std::string service;
  std::unique_ptr<platform_adapter::endpoint_standin> standin;
  std::unique_ptr<fault_proxy> proxy;
  // The endpoint list of the store has an entry for it.
  bool is_listed = true;
  // Set while the endpoint is draining: when it was marked so in the store.
  std::optional<time_point> draining_at;
};

// A node's process with the proxies through which callers reach the node and
// the node reaches the store.
struct site_node {
  std::unique_ptr<node_process> process;
  std::unique_ptr<fault_proxy> caller_proxy;
  std::unique_ptr<fault_proxy> store_proxy;
  // Incremented at each restart of the process.
  int64_t incarnation = 0;
  // Set from SIGTERM until the process has ended.
  std::optional<time_point> stopping_since;
  // The last SIGTERM and SIGHUP of any process of this node.
  std::optional<time_point> stopped_at;
  std::optional<time_point> reloaded_at;
  // The process was killed or stopped on purpose, so its end is no violation.
  bool is_end_expected = false;
};

// The deployment under test: real nodes on loopback, with stand-ins for the
// platform's store and for the endpoints.
class soak_site {
 public:
  // The nodes' settings and logs are written to `folder`. Throws if a node
  // cannot be started.
  soak_site(http::event_loop& loop,
            invariant_checker& checker,
            const std::string& program,
            const std::string& folder,
            int nodes,
            int64_t node_memory_kb);

  // Allowances of the teams whose token use is checked.
  static std::map<std::string, team_allowance> TeamAllowances();

  std::vector<site_node>& nodes() { return nodes_; }
  std::vector<site_endpoint>& endpoints() { return endpoints_; }
  platform_adapter::store_standin& store() { return store_; }

  // Marks the time until `end` as disturbed by an unplanned fault.
  void NoteDisturbance(time_point end);
  // Returns whether no fault has disturbed the time since `since` and the
  // kSettlingTime before it.
  bool WasUndisturbed(time_point since) const;

  // Sends SIGTERM or SIGHUP as planned work, unless the process has not
  // installed its handlers yet. Stop() returns false if it sent nothing because
  // of that, or because the process is stopping or has ended.
  static bool Stop(site_node& node);
  static void Reload(site_node& node);

  // What happened around a call to a node that was sent at `sent_at` and ends
  // now.
  call_conditions ConditionsOf(const site_node& node,
                               time_point sent_at,
                               bool is_first_on_connection) const;

  // Publishes the next configuration, which replaces the key of the team
  // "passing" and the route "/vVERSION/".
  void ChangeConfiguration();
  int64_t version() const { return version_; }
  time_point changed_at() const { return changed_at_; }
  std::string RotatingKey(int64_t version) const;

  // Drain() marks the endpoint as draining, Unlist() removes it from the
  // endpoint list, and Relist() restarts it and lists it as a new instance.
  // Crash() breaks off its requests and refuses connections.
  void Drain(site_endpoint& endpoint);
  void Unlist(site_endpoint& endpoint);
  void Relist(site_endpoint& endpoint);
  static void Crash(site_endpoint& endpoint);
  void Publish(const site_endpoint& endpoint);
  // Write again what a store that has come back from an older copy has lost:
  // the configuration, and an endpoint's entry or its absence.
  void RewriteConfiguration();
  void RewriteEntry(const site_endpoint& endpoint);

  // Restarts processes that have ended. Reports ends that were not requested,
  // late or failed stops, and excess memory.
  void Supervise();

 private:
  void AddEndpoint(const std::string& id, const std::string& service);
  std::string Configuration() const;

  http::event_loop& loop_;
  invariant_checker& checker_;
  int64_t node_memory_kb_;
  int64_t engine_slots_;
  platform_adapter::store_standin store_;
  std::vector<site_endpoint> endpoints_;
  std::vector<site_node> nodes_;
  time_point disturbed_until_{};
  int64_t version_ = 0;
  time_point changed_at_{};
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_SOAK_SITE_H_
