#ifndef JASMINEPATH_SOAK_SOAK_BOUNDS_H_
#define JASMINEPATH_SOAK_SOAK_BOUNDS_H_

#include <cstddef>
#include <cstdint>

#include "jasminepath/base/boot_time.h"

// Bounds of the checked invariants, as the users' site sheets state them.
namespace jasminepath::soak {

// Time after the end of a fault during which time bounds are not checked.
inline constexpr duration kSettlingTime = Seconds(3);
// From a change of the configuration until every node applies it.
inline constexpr duration kConfigurationBound = Seconds(2);
// From the time an endpoint is marked as draining until it receives no new
// requests.
inline constexpr duration kDrainBound = Seconds(2);
// From SIGTERM until the process has exited.
inline constexpr duration kStopBound = Seconds(8);
// A node may cut a request if the request was sent within this time after the
// SIGTERM and an endpoint still worked on it in the last sixth of kStopBound.
inline constexpr duration kStopNoticeTime = Seconds(3);
inline constexpr duration kLateInStop = kStopBound - kStopBound / 6;
// A request that ends this little before its timeout has used its time up.
inline constexpr duration kTimeoutMargin = Milliseconds(50);
// If a connection breaks within this time after a request was sent, the node
// may not have read the request.
inline constexpr duration kLossSlack = Milliseconds(200);
// How long after its timeout a request may remain unanswered.
inline constexpr duration kAnswerSlack = Milliseconds(500);
// From the end of the faults until callers are served again, and the minimum
// fraction of their calls that must then succeed.
inline constexpr duration kRecoveryTime = Seconds(12);
inline constexpr double kMinRecoveredShare = 0.25;
// Window over which a team's tokens are counted, and the factor by which they
// may exceed its allowance: 10%, and the site's fixed slack of 5%.
inline constexpr duration kQuotaWindow = Seconds(8);
inline constexpr double kQuotaFactor = 1.1 * 1.05;
// Maximum number of endpoints to which one call may be sent.
inline constexpr int kMaxAttempts = 2;
// Limit of the peak resident memory of a node.
inline constexpr int64_t kMaxNodeMemoryKb = int64_t{260} * 1024;
// Capacity of an engine of the soak test.
inline constexpr std::size_t kMaxModelsPerEngine = 2;
inline constexpr std::size_t kMaxAdaptersPerEngine = 4;

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_SOAK_BOUNDS_H_
