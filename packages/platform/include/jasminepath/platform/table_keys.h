#ifndef JASMINEPATH_PLATFORM_TABLE_KEYS_H_
#define JASMINEPATH_PLATFORM_TABLE_KEYS_H_

#include <string>

#include "jasminepath/base/ids.h"

// Keys of the rows that nodes and operators share in the platform's table.
// Facts, which are replicated to every node, have the prefix "fact/".
// Authorities and claims do not, because only the nodes concerned read them.
namespace jasminepath::platform {

// Prefix of every versioned fact.
inline constexpr char kFactPrefix[] = "fact/";
// Key of the row that holds the compiled configuration of the whole site.
inline constexpr char kConfigurationKey[] = "fact/config";
// Prefix of the key facts.
inline constexpr char kTeamKeyPrefix[] = "fact/key/";
// Prefix of the quarantine facts.
inline constexpr char kQuarantinePrefix[] = "fact/quarantine/";
// Prefix of the registered node instances.
inline constexpr char kInstancePrefix[] = "instance/";
// Prefixes of the authorities.
inline constexpr char kSharePrefix[] = "share/";
inline constexpr char kVmAuthorityPrefix[] = "vm/";
inline constexpr char kModelAuthorityPrefix[] = "model/";
// Prefix of the idempotency claims.
inline constexpr char kClaimPrefix[] = "claim/";

// Key of the row of a team key, which holds its id, team, digest and whether it
// was withdrawn.
std::string TeamKeyRow(const key_id& id);
// Key of the row of one node instance.
std::string InstanceRow(const instance_id& id);
// Key of the row that records the fractions of a team's rate.
std::string ShareRow(const team_id& team);
// Key of the row that records the owner of an endpoint VM.
std::string VmAuthorityRow(const vm_id& vm);
// Key of the row that records the decider of a model.
std::string ModelAuthorityRow(const model_id& model);
// Key of the row of one idempotency claim. `key_digest` is the SHA-256 of the
// caller's idempotency key, so that the key may contain any text.
std::string ClaimRow(const team_id& team, const std::string& key_digest);

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_TABLE_KEYS_H_
