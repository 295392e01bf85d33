#include "jasminepath/platform/table_keys.h"

namespace jasminepath::platform {

std::string TeamKeyRow(const key_id& id) {
  return kTeamKeyPrefix + id.value();
}

std::string InstanceRow(const instance_id& id) {
  return kInstancePrefix + id.value();
}

std::string ShareRow(const team_id& team) {
  return kSharePrefix + team.value();
}

std::string VmAuthorityRow(const vm_id& vm) {
  return kVmAuthorityPrefix + vm.value();
}

std::string ModelAuthorityRow(const model_id& model) {
  return kModelAuthorityPrefix + model.value();
}

std::string ClaimRow(const team_id& team, const std::string& key_digest) {
  return kClaimPrefix + team.value() + "/" + key_digest;
}

}  // namespace jasminepath::platform
