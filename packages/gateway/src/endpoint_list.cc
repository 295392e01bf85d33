#include "endpoint_list.h"

#include <utility>

namespace jasminepath::gateway {

endpoint_changes endpoint_list::Update(
    const std::map<std::string, table_row>& rows,
    const decoder& decode,
    const unreadable_callback& on_unreadable) {
  endpoint_changes changes;
  for (auto known = known_.begin(); known != known_.end();) {
    if (rows.contains(known->first)) {
      ++known;
      continue;
    }
    if (!known->second.endpoint.empty())
      changes.removed.push_back(known->second.endpoint);
    known = known_.erase(known);
  }
  for (const auto& [key, row] : rows) {
    const auto [place, is_new] = known_.try_emplace(key);
    known_row& known = place->second;
    if (!is_new && known.version == row.version)
      continue;
    known.version = row.version;
    auto decoded = decode(key, row.value);
    const endpoint_id before = std::exchange(
        known.endpoint, decoded ? decoded.value().id : endpoint_id());
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
