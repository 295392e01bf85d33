#include "jasminepath/decision/fleet/versioned_store.h"

namespace jasminepath::decision {
namespace {

// The size of the numbers and length prefixes that accompany the strings of an
// instance record.
constexpr int64_t kRecordOverheadBytes = 24;

}  // namespace

int64_t ValueBytes(const instance_record& value) {
  const std::size_t texts =
      value.id.value().size() + value.vm.value().size() +
      value.zone.value().size() + value.mesh_address.size() +
      value.caller_address.size() + value.admin_address.size();
  return static_cast<int64_t>(texts) + kRecordOverheadBytes;
}

}  // namespace jasminepath::decision
