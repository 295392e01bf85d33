#ifndef JASMINEPATH_DECISION_ADMISSION_KEY_REGISTRY_H_
#define JASMINEPATH_DECISION_ADMISSION_KEY_REGISTRY_H_

#include <string_view>
#include <unordered_map>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/team_key.h"

namespace jasminepath::decision {

// Reason for which a presented key was rejected.
enum class key_error {
  malformed,      // Not "<id>.<secret>".
  unknown,        // This node does not know the key.
  wrong_secret,   // The secret does not match.
  key_withdrawn,  // The key has been withdrawn.
};

// Key and team of an authenticated request.
struct authenticated_caller {
  key_id key;
  team_id team;

  friend bool operator==(const authenticated_caller&,
                         const authenticated_caller&) = default;
};

// The team keys known to this node.
class key_registry {
 public:
  // Applies a fact. A fact with an older revision than the known one of the
  // same key has no effect, and a withdrawn key never becomes valid again.
  void Apply(const config::team_key& key, revision version);

  // Checks "<id>.<secret>". The duration does not depend on how much of the
  // secret is correct.
  result<authenticated_caller, key_error> Check(
      std::string_view presented) const;

  // Whether the key is known and has not been withdrawn.
  bool IsValid(const key_id& key) const;

 private:
  struct known_key {
    config::team_key key;
    revision version;
  };

  std::unordered_map<key_id, known_key> keys_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_KEY_REGISTRY_H_
