#include "jasminepath/decision/admission/key_registry.h"

#include <string>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {

void key_registry::Apply(const config::team_key& key, revision version) {
  known_key& known = keys_[key.id];
  if (version < known.version)
    return;
  const bool is_withdrawn = known.key.withdrawn || key.withdrawn;
  known.key = key;
  known.key.withdrawn = is_withdrawn;
  known.version = version;
}

result<authenticated_caller, key_error> key_registry::Check(
    std::string_view presented) const {
  const std::size_t dot = presented.find('.');
  if (dot == std::string_view::npos || dot == 0 || dot + 1 == presented.size())
    return key_error::malformed;
  const std::string digest = Sha256Hex(presented.substr(dot + 1));
  const auto found = keys_.find(key_id(std::string(presented.substr(0, dot))));
  if (found == keys_.end())
    return key_error::unknown;
  const config::team_key& key = found->second.key;
  if (!EqualInConstantTime(digest, key.secret_digest))
    return key_error::wrong_secret;
  if (key.withdrawn)
    return key_error::key_withdrawn;
  return authenticated_caller{key.id, key.team};
}

bool key_registry::IsValid(const key_id& key) const {
  const auto found = keys_.find(key);
  return found != keys_.end() && !found->second.key.withdrawn;
}

}  // namespace jasminepath::decision
