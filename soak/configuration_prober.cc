#include "configuration_prober.h"

#include <algorithm>
#include <utility>

#include "jasminepath/http/server.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

constexpr duration kProbeInterval = Milliseconds(300);

bool IsServed(const call_end& end) {
  return end.is_complete && end.status == 200;
}

}  // namespace

configuration_prober::configuration_prober(http::event_loop& loop,
                                           soak_site& site,
                                           invariant_checker& checker)
    : loop_(loop), site_(site), checker_(checker), timer_(loop) {
  for (const site_node& node : site.nodes()) {
    node_state added;
    added.client = std::make_unique<http::client>(
        loop,
        http::ParseEndpoint(node.process->plan().caller_address()).value());
    nodes_.push_back(std::move(added));
  }
}

void configuration_prober::Start() {
  timer_.Start(kProbeInterval, [this] {
    if (is_stopped_)
      return;
    SendProbes();
    Start();
  });
}

void configuration_prober::SendProbes() {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (!site_.nodes()[node].process->IsRunning())
      continue;
    SendProbe(node, probe_kind::added_route);
    if (site_.version() > 1) {
      SendProbe(node, probe_kind::removed_route);
      SendProbe(node, probe_kind::withdrawn_key);
    }
  }
}

void configuration_prober::SendProbe(std::size_t node, probe_kind kind) {
  probes_.emplace_back();
  const auto entry = std::prev(probes_.end());
  entry->node = node;
  entry->incarnation = site_.nodes()[node].incarnation;
  entry->version = site_.version();
  entry->kind = kind;
  entry->sent_at = boot_clock::now();
  planned_call& call = entry->call;
  call.id = "p" + std::to_string(++last_probe_);
  call.kind = call_kind::idempotent;
  call.tokens = 10;
  call.timeout = Seconds(4);
  call.team = "passing";
  call.key = site_.RotatingKey(site_.version());
  switch (kind) {
    case probe_kind::added_route:
      call.target = "/v" + std::to_string(site_.version()) + "/" + call.id;
      // Uses a key that never changes: a node may apply the route before the
      // new key.
      call.team = "beads";
      call.key = "key1";
      break;
    case probe_kind::removed_route:
      call.target = "/v" + std::to_string(site_.version() - 1) + "/" + call.id;
      call.team = "beads";
      call.key = "key1";
      break;
    case probe_kind::withdrawn_key:
      call.target = "/look/" + call.id;
      call.key = site_.RotatingKey(site_.version() - 1);
      break;
  }
  checker_.OnSent(call, entry->sent_at);
  entry->running = std::make_unique<running_call>(
      loop_, *nodes_[node].client, call, duration::zero(),
      [this, entry](const call_end& end) {
        const probe finished = std::move(*entry);
        probes_.erase(entry);
        checker_.OnProbeEnd(
            finished.call, end,
            site_.ConditionsOf(site_.nodes()[finished.node], finished.sent_at,
                               /*is_first_on_connection=*/true),
            boot_clock::now());
        OnProbeEnd(finished, end);
      });
}

void configuration_prober::OnProbeEnd(const probe& finished,
                                      const call_end& end) {
  node_state& node = nodes_[finished.node];
  const bool is_same_process =
      site_.nodes()[finished.node].incarnation == finished.incarnation;
  if (!is_same_process || finished.version != site_.version())
    return;
  if (node.incarnation != finished.incarnation) {
    node.incarnation = finished.incarnation;
    node.newest_version_served = 0;
  }
  const std::string where = site_.nodes()[finished.node].process->plan().name +
                            ", version " + std::to_string(finished.version);
  const bool is_due =
      finished.sent_at - site_.changed_at() > kConfigurationBound &&
      site_.WasUndisturbed(site_.changed_at());
  const bool is_stale = finished.kind == probe_kind::added_route
                            ? end.status == 404
                            : IsServed(end);
  if (finished.kind == probe_kind::added_route && IsServed(end)) {
    node.newest_version_served =
        std::max(node.newest_version_served, finished.version);
    return;
  }
  if (!is_stale)
    return;
  if (is_due)
    checker_.AddViolation("configurations are in force in time", where);
  if (node.newest_version_served >= finished.version &&
      finished.kind == probe_kind::added_route)
    checker_.AddViolation("configurations do not come back", where);
}

}  // namespace jasminepath::soak
