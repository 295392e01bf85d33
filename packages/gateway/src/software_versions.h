#ifndef JASMINEPATH_GATEWAY_SRC_SOFTWARE_VERSIONS_H_
#define JASMINEPATH_GATEWAY_SRC_SOFTWARE_VERSIONS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::gateway {

// Time by which nodes may differ in when they learn of an endpoint.
inline constexpr duration kMaxListDelay = Seconds(2);

// The software versions that the endpoints of each service run or have run
// lately. A version counts from the time when its first endpoint is listed
// until the span after its last one has left: so long may its streams be
// resumed. Does no I/O.
class software_versions {
 public:
  void Add(const service_id& service,
           const software_version& version,
           time_point now);
  void Remove(const service_id& service,
              const software_version& version,
              time_point now);
  // Call after each batch of changes. What is added before the first call may
  // have been listed at any time before.
  void Settle(time_point now);
  // Adds what is known from before this node's start: the last endpoint of the
  // version left at `left_at`. Has no effect while the version has endpoints.
  void Restore(const service_id& service,
               const software_version& version,
               time_point left_at);

  // Takes into account that streams may be resumed until this age.
  void ExtendSpan(duration max_stream_age) {
    span_ = std::max(span_, max_stream_age);
  }
  // The maximum age of a stream that may be resumed.
  duration span() const { return span_; }
  // Time for which a version without endpoints is remembered: until the streams
  // that began while it counted can no longer be resumed.
  duration memory() const { return 2 * span_; }

  // Whether the service has, or had within `age`, endpoints of several
  // versions.
  bool HasSeveral(const service_id& service,
                  duration age,
                  time_point now) const;
  // Whether the origins of the service's streams have to be recorded. That goes
  // on for longer than several versions count, since nodes differ in when they
  // learn of changes.
  bool RecordsOrigins(const service_id& service, time_point now) const {
    return HasSeveral(service, span_ + kMaxListDelay, now);
  }
  // The version on which a stream began whose origin was not recorded although
  // none was lost; nullopt if that is not certain.
  std::optional<software_version> VersionOfUnrecorded(const service_id& service,
                                                      time_point now) const;

  // A version that has endpoints, or had some until `left_at`.
  struct listing {
    software_version version;
    std::optional<time_point> left_at;

    friend bool operator==(const listing&, const listing&) = default;
  };
  std::vector<listing> Listings(const service_id& service) const;
  // Services with at least one version.
  std::vector<service_id> Services() const;

 private:
  struct version_use {
    int64_t endpoints = 0;
    time_point first_listed_at{};
    time_point last_listed_at{};
  };
  using versions_of_service = std::map<software_version, version_use>;

  duration span_{};
  bool is_settled_ = false;
  std::map<service_id, versions_of_service> services_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_SOFTWARE_VERSIONS_H_
