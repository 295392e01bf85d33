#ifndef JASMINEPATH_CONFIG_SRC_CONFIGURATION_READER_H_
#define JASMINEPATH_CONFIG_SRC_CONFIGURATION_READER_H_

#include "jasminepath/config/configuration.h"
#include "object_reader.h"

namespace jasminepath::config {

// Reads the fields of site.json that become part of the configuration. Does not
// call reader.Finish(), so that the caller can read further fields.
void ReadSiteFields(object_reader& reader, configuration& output);

// Reads all fields of one service. Does not call reader.Finish().
service ReadService(object_reader& reader);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_CONFIGURATION_READER_H_
