#ifndef JASMINEPATH_GATEWAY_SRC_VERSION_HISTORY_H_
#define JASMINEPATH_GATEWAY_SRC_VERSION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "jasminepath/report/event_log.h"
#include "software_versions.h"
#include "store_client.h"
#include "version_record.h"

namespace jasminepath::gateway {

// Keeps the software versions of services that have several in the store, so
// that nodes which have just started know those that have left. Nodes read them
// at their start; one node of each zone writes them when they change. Runs on
// the event loop.
class version_history {
 public:
  // Table of the store with a version_record for each service.
  static constexpr char kTable[] = "jasminepath-versions";

  // `write_delay` differs between nodes, so that mostly only one of them
  // writes.
  version_history(store_client& store,
                  software_versions& versions,
                  duration write_delay,
                  report::event_log& log);

  // Reads the table until that has succeeded; afterwards, if `should_write`,
  // writes what the table lacks. `should_write` requires an initialized
  // endpoint list. Called often.
  void Tick(bool should_write, time_point now);

  // The store has come back from an older copy, which may lack rows.
  void OnStoreEra() { rows_.clear(); }

  // Whether the versions from before the start of this node are known.
  bool is_known() const { return is_known_; }

 private:
  struct known_row {
    store_version version;
    version_record record;
  };

  void Read();
  void OnRead(const store_answer& answer);
  // Passes the versions of a row to `versions_`.
  void Restore(const service_id& service,
               const version_record& record,
               time_point now);
  // A service whose row lacks a version or its leaving.
  std::optional<service_id> FindOutdated(time_point now) const;
  // The row of the service with what this node knows.
  version_record Merge(const service_id& service, time_point now) const;
  void Write(const service_id& service, time_point now);
  void OnWritten(const service_id& service,
                 const version_record& record,
                 const store_answer& answer);
  void OnFailure(time_point now);

  store_client& store_;
  software_versions& versions_;
  duration write_delay_;
  report::event_log& log_;
  store_client::handle call_;
  bool is_calling_ = false;
  bool is_known_ = false;
  bool should_write_ = false;
  time_point read_at_{};
  // Clock of the store minus that of this node.
  duration store_clock_offset_{};
  // Era of the last read.
  store_era read_era_;
  std::map<service_id, known_row> rows_;
  // Since when a row has been outdated.
  std::optional<time_point> outdated_since_;
  time_point next_call_at_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_VERSION_HISTORY_H_
