#ifndef JASMINEPATH_GATEWAY_SRC_ENDPOINT_DEPARTURES_H_
#define JASMINEPATH_GATEWAY_SRC_ENDPOINT_DEPARTURES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/store_version.h"

namespace jasminepath::gateway {

// Remembers which endpoints have left, so that they get no new requests if the
// store comes back from an older copy in which they are still listed as ready.
// Does no I/O.
class endpoint_departures {
 public:
  // Records an endpoint that drains or is no longer listed.
  void Record(const endpoint_id& id,
              int64_t started_at_ms,
              store_era era,
              time_point now);

  // Returns the changes of a list of the given era without the entries of
  // endpoints that have left in an earlier one. What was known of these before
  // stays as it is.
  endpoint_changes Filter(endpoint_changes changes,
                          store_era era,
                          time_point now);

  // Returns the entries that were held back and may be used now: by this time,
  // endpoints that leave have said so again.
  std::vector<endpoint_entry> TakeReleased(time_point now);
  // Number of entries that are held back.
  std::size_t held_count() const { return held_.size(); }

 private:
  struct departure {
    int64_t started_at_ms = 0;
    store_era era;
    time_point at{};
  };

  bool HasLeft(const endpoint_entry& entry, store_era era) const;

  std::map<endpoint_id, departure> departures_;
  // Entries held back, as last listed.
  std::map<endpoint_id, endpoint_entry> held_;
  std::optional<store_era> era_;
  // End of the time for which entries of this era are held back.
  time_point hold_until_{};
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ENDPOINT_DEPARTURES_H_
