#ifndef JASMINEPATH_CONFIG_SRC_TEXT_FILE_H_
#define JASMINEPATH_CONFIG_SRC_TEXT_FILE_H_

#include <optional>
#include <string>

#include "fault_collector.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::config {

// Reads a file of at most 16 MiB; reports a fault if it cannot be read.
std::optional<std::string> ReadTextFile(const std::string& path,
                                        fault_collector& faults);

// Parses a text as JSON; reports a fault if it is none.
std::optional<json_value> ParseDocument(const std::string& text,
                                        fault_collector& faults);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_TEXT_FILE_H_
