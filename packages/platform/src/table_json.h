#ifndef JASMINEPATH_PLATFORM_TABLE_JSON_H_
#define JASMINEPATH_PLATFORM_TABLE_JSON_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminepath/platform/ports.h"

namespace jasminepath::platform {

// Encodes and parses the JSON bodies of the platform's HTTP calls. The parsers
// return std::nullopt for a malformed body.
std::string EncodeTransaction(const transaction& change);
std::optional<transaction_outcome> ParseCommitted(const std::string& body);
std::optional<transaction_outcome> ParseConflicts(const std::string& body);
std::optional<row_page> ParseRowPage(const std::string& body);
std::optional<std::vector<std::string>> ParseNames(const std::string& body);
std::optional<std::vector<listed_vm>> ParseVmList(const std::string& body);

}  // namespace jasminepath::platform

#endif  // JASMINEPATH_PLATFORM_TABLE_JSON_H_
