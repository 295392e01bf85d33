#ifndef JASMINEPATH_CONFIG_SRC_CONFIGURATION_WRITER_H_
#define JASMINEPATH_CONFIG_SRC_CONFIGURATION_WRITER_H_

#include "jasminepath/config/configuration.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::config {

// Returns the configuration as JSON with the field names of site files and
// service files.
json_value WriteConfiguration(const configuration& value);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_CONFIGURATION_WRITER_H_
