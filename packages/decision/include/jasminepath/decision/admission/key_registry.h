#ifndef JASMINEPATH_DECISION_ADMISSION_KEY_REGISTRY_H_
#define JASMINEPATH_DECISION_ADMISSION_KEY_REGISTRY_H_

#include <string_view>
#include <unordered_map>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/team_key.h"

namespace jasminepath::decision {

// Why a presented key was not accepted.
enum class key_error {
  malformed,      // Not "<id>.<secret>".
  unknown,        // No such key on this node.
  wrong_secret,   // The secret does not match.
  key_withdrawn,  // The key was valid once.
};

// Who a request runs for.
struct authenticated_caller {
  key_id key;
  team_id team;

  friend bool operator==(const authenticated_caller&,
                         const authenticated_caller&) = default;
};

// The team keys that are known to this node.
class key_registry {
 public:
  // Takes in a fact. One with an older revision than the known fact of that
  // key has no effect, and a withdrawn key never becomes valid again.
  void Apply(const config::team_key& key, revision version);

  // Checks "<id>.<secret>". The time taken does not depend on how much of the
  // secret is right.
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
