#ifndef JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_
#define JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// How the list of endpoints differs from what it was before.
struct endpoint_changes {
  // Entries that are new or have changed.
  std::vector<endpoint_entry> listed;
  // Those that are gone, or whose entry cannot be read any more.
  std::vector<endpoint_id> removed;

  friend bool operator==(const endpoint_changes&,
                         const endpoint_changes&) = default;
};

// Reads each row of the list of endpoints once for each of its versions: with
// thousands of endpoints, reading all of them at each change takes more
// processor than a small VM has.
class endpoint_list {
 public:
  using decoder =
      std::function<decoded<endpoint_entry>(const std::string& key,
                                            const std::string& value)>;
  using unreadable_callback =
      std::function<void(const table_row& row, const decode_error& error)>;

  // Takes all rows as they stand now. Tells of each row that cannot be read,
  // once for each of its versions.
  endpoint_changes Update(const std::map<std::string, table_row>& rows,
                          const decoder& decode,
                          const unreadable_callback& on_unreadable);

 private:
  struct known_row {
    revision version;
    // Empty if the row cannot be read.
    endpoint_id endpoint;
  };

  std::map<std::string, known_row> known_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_
