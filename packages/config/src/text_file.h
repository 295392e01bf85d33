#ifndef JASMINEPATH_CONFIG_SRC_TEXT_FILE_H_
#define JASMINEPATH_CONFIG_SRC_TEXT_FILE_H_

#include <optional>
#include <string>

#include "fault_collector.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::config {

// Reads a file of at most 16 MiB. Reports a fault and returns nullopt if the
// file is larger or cannot be read.
std::optional<std::string> ReadTextFile(const std::string& path,
                                        fault_collector& faults);

// Parses a text as JSON. Reports a fault and returns nullopt if the text is not
// a JSON document.
std::optional<json_value> ParseDocument(const std::string& text,
                                        fault_collector& faults);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_TEXT_FILE_H_
