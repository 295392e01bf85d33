#ifndef JASMINEPATH_CONFIG_TEAM_KEY_H_
#define JASMINEPATH_CONFIG_TEAM_KEY_H_

#include <string>

#include "jasminepath/base/ids.h"

namespace jasminepath::config {

// The record of a team key in the platform's table. Callers present the key as
// "<id>.<secret>". The secret is shown to the operator once and never stored.
struct team_key {
  key_id id;
  team_id team;
  // SHA-256 digest of the secret in lower-case hexadecimal.
  std::string secret_digest;
  bool withdrawn = false;

  friend bool operator==(const team_key&, const team_key&) = default;
};

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_TEAM_KEY_H_
