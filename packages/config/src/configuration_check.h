#ifndef JASMINEPATH_CONFIG_SRC_CONFIGURATION_CHECK_H_
#define JASMINEPATH_CONFIG_SRC_CONFIGURATION_CHECK_H_

#include <string>
#include <vector>

#include "fault_collector.h"
#include "jasminepath/config/configuration.h"

namespace jasminepath::config {

// Where a part of a configuration was read, so that its faults can be located.
struct source_location {
  fault_collector* faults = nullptr;
  // Path of the object within the file.
  std::string path;
};

// The locations of a configuration's parts.
struct source_locations {
  source_location site;
  // One for each service, in the order of configuration::services.
  std::vector<source_location> services;
  // Whether every file could be parsed. If not, references are not checked,
  // since their targets may be in the files that could not be parsed.
  bool is_complete = true;
};

// Checks the constraints between fields. Reports duplicate names, references to
// unknown names, models that do not fit on any endpoint, and fields that are
// not allowed for the kind of the service. Empty names are skipped, since the
// reader has already reported them.
void CheckConfiguration(const configuration& value,
                        const source_locations& locations);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_CONFIGURATION_CHECK_H_
