#ifndef JASMINEPATH_CONFIG_CONFIGURATION_CODEC_H_
#define JASMINEPATH_CONFIG_CONFIGURATION_CODEC_H_

#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/config/fault.h"

namespace jasminepath::config {

// Returns the value of the configuration's row in the platform's table. The
// value has no version, since the row's version serves as the configuration's.
// Durations are rounded to milliseconds.
std::string ToJson(const configuration& value);

// Parses and checks a configuration. `version` is the version of its row.
result<configuration, fault_list> ConfigurationFromJson(const std::string& json,
                                                        revision version);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_CONFIGURATION_CODEC_H_
