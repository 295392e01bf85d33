#ifndef JASMINEPATH_CONFIG_SRC_CONFIGURATION_WRITER_H_
#define JASMINEPATH_CONFIG_SRC_CONFIGURATION_WRITER_H_

#include "jasminepath/config/configuration.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::config {

// The configuration with the fields that site files and service files have.
json_value WriteConfiguration(const configuration& value);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_CONFIGURATION_WRITER_H_
