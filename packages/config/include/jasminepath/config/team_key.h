#ifndef JASMINEPATH_CONFIG_TEAM_KEY_H_
#define JASMINEPATH_CONFIG_TEAM_KEY_H_

#include <string>

#include "jasminepath/base/ids.h"

namespace jasminepath::config {

// What the platform's table holds of a team key, which callers show as
// "<id>.<secret>". The secret itself is shown once to the operator and kept
// nowhere.
struct team_key {
  key_id id;
  team_id team;
  // SHA-256 of the secret in lower-case hexadecimal.
  std::string secret_digest;
  bool withdrawn = false;

  friend bool operator==(const team_key&, const team_key&) = default;
};

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_TEAM_KEY_H_
