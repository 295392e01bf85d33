#ifndef JASMINEPATH_TOOL_PUBLISHED_CONFIGURATION_H_
#define JASMINEPATH_TOOL_PUBLISHED_CONFIGURATION_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/platform/ports.h"
#include "jasminepath/platform/table_keys.h"

namespace jasminepath::tool {

// The contents of the configuration's row; version 0 and an empty value if no
// configuration is published.
struct published_configuration {
  std::string value;
  revision version;

  friend bool operator==(const published_configuration&,
                         const published_configuration&) = default;
};

// Reads the row of one key. Returns an empty row of version 0 if there is none.
template <platform::table_port Table>
result<platform::table_row, platform::platform_error> ReadRow(
    Table& table,
    const std::string& key) {
  const auto page = table.ReadSince(key, revision(0));
  if (!page)
    return failure(page.error());
  for (const platform::table_row& row : page.value().rows) {
    if (row.key == key && !row.deleted)
      return row;
  }
  return platform::table_row{key, "", revision(0), false};
}

// Reads the published configuration.
template <platform::table_port Table>
result<published_configuration, platform::platform_error>
ReadPublishedConfiguration(Table& table) {
  const auto row = ReadRow(table, platform::kConfigurationKey);
  if (!row)
    return failure(row.error());
  return published_configuration{row.value().value, row.value().version};
}

// Returns the differences between the JSON of two configurations. An empty text
// stands for no configuration.
std::vector<std::string> ConfigurationDifference(const std::string& before,
                                                 const std::string& after);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_PUBLISHED_CONFIGURATION_H_
