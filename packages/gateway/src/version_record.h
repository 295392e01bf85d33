#ifndef JASMINEPATH_GATEWAY_SRC_VERSION_RECORD_H_
#define JASMINEPATH_GATEWAY_SRC_VERSION_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jasminepath/base/ids.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// The software versions that a service has or had, as a row of the store. The
// value is the time at which the last endpoint of a version left, in
// milliseconds of the store's clock; nullopt while there are endpoints.
using version_record = std::map<software_version, std::optional<int64_t>>;

std::string EncodeVersionRecord(const version_record& record);
decoded<version_record> DecodeVersionRecord(const std::string& value);

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_VERSION_RECORD_H_
