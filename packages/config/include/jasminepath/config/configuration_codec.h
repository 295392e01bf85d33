#ifndef JASMINEPATH_CONFIG_CONFIGURATION_CODEC_H_
#define JASMINEPATH_CONFIG_CONFIGURATION_CODEC_H_

#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/config/fault.h"

namespace jasminepath::config {

// The value of the configuration's row in the platform's table. The version is
// left out: it is the version of the row. Durations are kept to the
// millisecond.
std::string ToJson(const configuration& value);

// Reads and checks a configuration; `version` is that of its row.
result<configuration, fault_list> ConfigurationFromJson(const std::string& json,
                                                        revision version);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_CONFIGURATION_CODEC_H_
