#ifndef JASMINEPATH_CONFIG_TEAM_KEY_CODEC_H_
#define JASMINEPATH_CONFIG_TEAM_KEY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "jasminepath/base/result.h"
#include "jasminepath/config/fault.h"
#include "jasminepath/config/team_key.h"

namespace jasminepath::config {

// A new key. `presented` holds the only copy of the secret.
struct issued_key {
  team_key record;
  // "<id>.<secret>", as callers present it.
  std::string presented;

  friend bool operator==(const issued_key&, const issued_key&) = default;
};

// The parts of a key that a caller presented. The views are valid as long as
// the parsed text.
struct presented_key {
  std::string_view id;
  std::string_view secret;

  friend bool operator==(const presented_key&, const presented_key&) = default;
};

// Returns the value of the key's row in the platform's table.
std::string ToJson(const team_key& key);

// Parses the value of a key's row.
result<team_key, fault_list> TeamKeyFromJson(const std::string& json);

// Creates a key with a 256-bit secret from the system's cryptographic random
// source. Does not store the key.
issued_key IssueTeamKey(const team_id& team);

// Parses a presented key. Returns nullopt unless it is "<id>.<secret>" with an
// id of 16 and a secret of 64 lower-case hexadecimal characters.
std::optional<presented_key> ParsePresentedKey(std::string_view text);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_TEAM_KEY_CODEC_H_
