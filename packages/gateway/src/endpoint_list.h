#ifndef JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_
#define JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Decodes each version of a row of the endpoint list only once. With thousands
// of endpoints, decoding all rows at each change takes more CPU than a small VM
// has.
class endpoint_list {
 public:
  using decoder =
      std::function<decoded<endpoint_entry>(const std::string& key,
                                            const std::string& value)>;
  using unreadable_callback =
      std::function<void(const table_row& row, const decode_error& error)>;

  // Compares the current rows with the previous ones, of which only those in
  // `changed_keys` may differ. Calls `on_unreadable` once for each version of a
  // row that cannot be decoded.
  endpoint_changes Update(const std::map<std::string, table_row>& rows,
                          const std::set<std::string>& changed_keys,
                          const decoder& decode,
                          const unreadable_callback& on_unreadable);

 private:
  struct known_row {
    store_version version;
    // Empty if the row cannot be decoded.
    endpoint_id endpoint;
  };

  std::map<std::string, known_row> known_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_
