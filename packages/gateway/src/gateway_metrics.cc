#include "gateway_metrics.h"

#include "jasminepath/report/metrics_text.h"

namespace jasminepath::gateway {

void gateway_metrics::RecordEnd(std::string_view outcome, duration time) {
  const auto found = outcomes_.find(outcome);
  if (found == outcomes_.end())
    outcomes_.emplace(outcome, 1);
  else
    ++found->second;
  total_.Record(time);
}

void gateway_metrics::RecordFirstByte(const service_id& service,
                                      duration time) {
  first_byte_[service].Record(time);
}

std::string gateway_metrics::Text(const gateway_gauges& gauges) const {
  report::metrics_text text;
  for (const auto& [outcome, count] : outcomes_)
    text.Counter("jasminepath_calls_total", "Calls by how they ended.",
                 {{"outcome", outcome}}, count);
  text.Counter("jasminepath_attempts_total", "Requests sent to endpoints.", {},
               attempts_);
  text.Histogram("jasminepath_call_seconds", "From arrival to the end.", {},
                 total_);
  for (const auto& [service, histogram] : first_byte_)
    text.Histogram("jasminepath_first_byte_seconds",
                   "From arrival to the first byte of the answer.",
                   {{"service", service.value()}}, histogram);
  const auto gauge = [&text](const char* name, const char* help,
                             int64_t value) {
    text.Gauge(name, help, {}, static_cast<double>(value));
  };
  gauge("jasminepath_connections", "Open connections of callers.",
        gauges.connections);
  gauge("jasminepath_waiting", "Calls that wait for an endpoint.",
        gauges.waiting);
  gauge("jasminepath_endpoint_connections_opened",
        "Connections opened to endpoints.", gauges.endpoint_connections_opened);
  gauge("jasminepath_store_calls", "Calls to the store.", gauges.store_calls);
  gauge("jasminepath_store_failures", "Calls that the store did not serve.",
        gauges.store_failures);
  gauge("jasminepath_peers", "Other nodes known.", gauges.peers);
  gauge("jasminepath_site_version", "Configuration in force.",
        gauges.site_version);
  gauge("jasminepath_orders", "Orders given to engines.", gauges.orders);
  gauge("jasminepath_blocked_suspects",
        "Requests and prompt parts refused because they crash endpoints.",
        gauges.blocked_suspects);
  gauge("jasminepath_holds_placement", "Whether this node places models.",
        gauges.holds_placement ? 1 : 0);
  gauge("jasminepath_reads_endpoints",
        "Whether this node reads the endpoint list for its zone.",
        gauges.reads_endpoints ? 1 : 0);
  text.Gauge("jasminepath_endpoint_list_age_seconds",
             "Time since the endpoint list was known to be up to date.", {},
             ToSeconds(gauges.endpoint_list_age));
  gauge("jasminepath_endpoint_list_version",
        "Version of the store as of which the endpoint list is complete.",
        gauges.endpoint_list_version);
  gauge("jasminepath_store_era",
        "How often the store has come back from an older copy, as it states.",
        gauges.store_era);
  text.Gauge("jasminepath_store_era_age_seconds",
             "Time since the store's era has risen, or since the start.", {},
             ToSeconds(gauges.store_era_age));
  gauge("jasminepath_ready", "Whether this node takes connections.",
        gauges.ready ? 1 : 0);
  return text.text();
}

}  // namespace jasminepath::gateway
