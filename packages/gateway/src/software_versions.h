#ifndef JASMINEPATH_GATEWAY_SRC_SOFTWARE_VERSIONS_H_
#define JASMINEPATH_GATEWAY_SRC_SOFTWARE_VERSIONS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// The software versions that the endpoints of each service run or have run
// lately. Does no I/O.
class software_versions {
 public:
  void Add(const service_id& service, const software_version& version);
  void Remove(const service_id& service,
              const software_version& version,
              time_point now);
  // Call after each batch of changes.
  void Settle(time_point now);

  // Whether the service has, or had within `age`, endpoints of several
  // versions.
  bool HasSeveral(const service_id& service,
                  duration age,
                  time_point now) const;
  // The version that streams ran on while the service had only one, if that
  // ended within `age`: that of a stream about which nothing else is known.
  std::optional<software_version> FormerOnlyVersion(const service_id& service,
                                                    duration age,
                                                    time_point now) const;

 private:
  struct version_use {
    int64_t endpoints = 0;
    time_point last_listed_at{};
  };
  struct service_state {
    std::map<software_version, version_use> versions;
    // The only version, as of the last call of Settle(), or before several
    // versions appeared at `several_since`.
    std::optional<software_version> only_version;
    std::optional<time_point> several_since;
  };

  std::map<service_id, service_state> services_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_SOFTWARE_VERSIONS_H_
