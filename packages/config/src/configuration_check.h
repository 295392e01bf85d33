#ifndef JASMINEPATH_CONFIG_SRC_CONFIGURATION_CHECK_H_
#define JASMINEPATH_CONFIG_SRC_CONFIGURATION_CHECK_H_

#include <string>
#include <vector>

#include "fault_collector.h"
#include "jasminepath/config/configuration.h"

namespace jasminepath::config {

// Where a part of a configuration was read, so that a fault in it can be named.
struct source_place {
  fault_collector* faults = nullptr;
  // Path of the object within the file.
  std::string path;
};

// The places of a configuration's parts.
struct source_places {
  source_place site;
  // One for each service, in their order.
  std::vector<source_place> services;
  // Whether every file could be parsed; if not, references are not checked,
  // since they may be to things in the missing files.
  bool complete = true;
};

// Checks what no single field shows: names that are used twice, references to
// things that do not exist, models that fit no endpoint, fields that the kind
// of the service has no use for. Empty names are skipped, since the reader has
// reported them.
void CheckConfiguration(const configuration& value,
                        const source_places& places);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_CONFIGURATION_CHECK_H_
