#ifndef JASMINEPATH_SOAK_SOAK_BOUNDS_H_
#define JASMINEPATH_SOAK_SOAK_BOUNDS_H_

#include <cstddef>
#include <cstdint>

#include "jasminepath/base/boot_time.h"

// Bounds of the promises, as the users' site sheets state them.
namespace jasminepath::soak {

// Time after a fault in which bounds in time do not hold yet.
inline constexpr duration kContact = Seconds(3);
// From a change of the configuration until it is in force.
inline constexpr duration kConfigurationBound = Seconds(2);
// From an endpoint's word that it leaves until it gets nothing new.
inline constexpr duration kDrainBound = Seconds(2);
// From the order to stop until the process has ended.
inline constexpr duration kGrace = Seconds(8);
// A request that was cut within this time after it was sent may not have been
// read.
inline constexpr duration kLossSlack = Milliseconds(200);
// Beyond its time limit, a request may go unanswered for this long.
inline constexpr duration kAnswerSlack = Milliseconds(500);
// From the end of the faults until callers are served again, and the share of
// their calls that has to be.
inline constexpr duration kRecovery = Seconds(12);
inline constexpr double kRecoveredShare = 0.25;
// Window in which a team's tokens are counted, and by how much they may exceed
// its allowance: a tenth, and the site's fixed slack, which is a twentieth.
inline constexpr duration kQuotaWindow = Seconds(8);
inline constexpr double kQuotaFactor = 1.1 * 1.05;
// Endpoints to which one call may be sent.
inline constexpr int kMostAttempts = 2;
// Memory of a node.
inline constexpr int64_t kNodeMemoryKb = int64_t{260} * 1024;
// What an engine of the soak's site holds.
inline constexpr std::size_t kModelsPerEngine = 2;
inline constexpr std::size_t kAdaptersPerEngine = 4;

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_SOAK_BOUNDS_H_
