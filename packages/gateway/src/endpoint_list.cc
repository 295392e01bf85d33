#include "endpoint_list.h"

#include <utility>

namespace jasminepath::gateway {

endpoint_changes endpoint_list::Update(
    const std::map<std::string, table_row>& rows,
    const std::set<std::string>& changed_keys,
    const decoder& decode,
    const unreadable_callback& on_unreadable) {
  endpoint_changes changes;
  for (const std::string& key : changed_keys) {
    const auto found = rows.find(key);
    known_row& known = known_[key];
    const endpoint_id before = known.endpoint;
    if (found == rows.end()) {
      known_.erase(key);
      if (!before.empty())
        changes.removed.push_back(before);
      continue;
    }
    const table_row& row = found->second;
    if (known.version == row.version)
      continue;
    known.version = row.version;
    auto decoded = decode(key, row.value);
    known.endpoint = decoded ? decoded.value().id : endpoint_id();
    if (!before.empty() && before != known.endpoint)
      changes.removed.push_back(before);
    if (decoded)
      changes.listed.push_back(std::move(decoded).value());
    else
      on_unreadable(row, decoded.error());
  }
  return changes;
}

}  // namespace jasminepath::gateway
