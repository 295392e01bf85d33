#ifndef JASMINEPATH_SOAK_SOAK_SITE_H_
#define JASMINEPATH_SOAK_SOAK_SITE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "jasminepath/base/random.h"
#include "jasminepath/http/event_loop.h"
#include "node_process.h"
#include "platform_standin.h"
#include "promise_ledger.h"

namespace jasminepath::soak {

// An endpoint with the proxy before it.
struct site_endpoint {
  std::string service;
  std::unique_ptr<platform_adapter::endpoint_standin> standin;
  std::unique_ptr<fault_proxy> proxy;
  // Its entry is in the list.
  bool listed = true;
  // Set while it leaves: when the store took its word.
  std::optional<time_point> draining_at;
};

// A node's process with the proxies before its callers' address and before the
// store as it sees it.
struct site_node {
  std::unique_ptr<node_process> process;
  std::unique_ptr<fault_proxy> callers;
  std::unique_ptr<fault_proxy> store;
  // Rises with each start of the process.
  int64_t incarnation = 0;
  // Set while the process is told to end.
  std::optional<time_point> stopping_since;
  // Its next end is no surprise.
  bool may_end = false;
};

// The deployment under test: real nodes between stand-ins for the platform's
// store and for endpoints, on loopback.
class soak_site {
 public:
  // `folder` takes the nodes' settings and logs. Throws if a node cannot be
  // started.
  soak_site(http::event_loop& loop,
            promise_ledger& ledger,
            const std::string& program,
            const std::string& folder,
            int nodes,
            uint64_t seed,
            int64_t node_memory_kb);

  // Allowances of its teams.
  static std::map<std::string, team_allowance> Allowances();

  std::vector<site_node>& nodes() { return nodes_; }
  std::vector<site_endpoint>& endpoints() { return endpoints_; }
  platform_adapter::store_standin& store() { return store_; }

  // Marks the time until `end` as disturbed by something that nobody planned.
  void NoteDisturbance(time_point end);
  // Nothing has disturbed the time since `since`, nor kContact before it.
  bool WasCalm(time_point since) const;

  // Puts the next configuration in force: another key of the team "passing",
  // and another route "/vNUMBER/" in place of the last one.
  void ChangeConfiguration();
  int64_t version() const { return version_; }
  time_point changed_at() const { return changed_at_; }
  std::string PassingKey(int64_t version) const;

  // The endpoint announces that it leaves; Leave() takes it off the list, and
  // Return() brings it back as a new one.
  void Drain(site_endpoint& endpoint);
  void Leave(site_endpoint& endpoint);
  void Return(site_endpoint& endpoint);
  void Publish(const site_endpoint& endpoint);

  // Starts processes that have ended, and reports ends that nobody caused.
  void Supervise();

 private:
  void AddEndpoint(const std::string& id, const std::string& service);
  std::string Configuration() const;

  http::event_loop& loop_;
  promise_ledger& ledger_;
  int64_t node_memory_kb_;
  platform_adapter::store_standin store_;
  std::vector<site_endpoint> endpoints_;
  std::vector<site_node> nodes_;
  time_point disturbed_until_{};
  int64_t version_ = 0;
  time_point changed_at_{};
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_SOAK_SITE_H_
