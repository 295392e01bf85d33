#ifndef JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_
#define JASMINEPATH_GATEWAY_SRC_ENDPOINT_LIST_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

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

  // Takes the rows as they stand now, of which only `touched` may differ from
  // what they were. Tells of each row that cannot be read, once for each of its
  // versions.
  endpoint_changes Update(const std::map<std::string, table_row>& rows,
                          const std::set<std::string>& touched,
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
