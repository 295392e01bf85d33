#ifndef JASMINEPATH_DECISION_FLEET_VERSIONED_ROW_H_
#define JASMINEPATH_DECISION_FLEET_VERSIONED_ROW_H_

#include <string>

#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// A row of the platform's table that nodes replicate among themselves. The
// version is that of the commit that wrote the row; of two rows with the same
// key the higher version supersedes the lower.
template <typename Value>
struct versioned_row {
  std::string key;
  // Meaningless for a deleted row.
  Value value;
  revision version;
  bool deleted = false;

  friend bool operator==(const versioned_row&, const versioned_row&) = default;
};

// A versioned fact that every node holds: the configuration, a team key, a
// quarantine. The key is the table's, for example "fact/config"; the value is
// the text of the row, which only the node's codecs read.
using fact = versioned_row<std::string>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_VERSIONED_ROW_H_
