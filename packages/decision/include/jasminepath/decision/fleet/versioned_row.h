#ifndef JASMINEPATH_DECISION_FLEET_VERSIONED_ROW_H_
#define JASMINEPATH_DECISION_FLEET_VERSIONED_ROW_H_

#include <string>

#include "jasminepath/base/units.h"

namespace jasminepath::decision {

// A row of the platform's table that the nodes replicate among themselves.
// `version` is the version of the commit that wrote the row. Of two rows with
// the same key, the one with the higher version supersedes the other.
template <typename Value>
struct versioned_row {
  std::string key;
  // Unspecified for a deleted row.
  Value value;
  revision version;
  bool deleted = false;

  friend bool operator==(const versioned_row&, const versioned_row&) = default;
};

// A versioned fact that is replicated to every node: the configuration, a team
// key or a quarantine record. The key is the key of the table row, for example
// "fact/config". The value is the text of the row, which only the node's codecs
// parse.
using fact = versioned_row<std::string>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_VERSIONED_ROW_H_
