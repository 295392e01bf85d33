#include "jasminepath/tool/fact_push.h"

namespace jasminepath::tool {

bool Confirms(const fact_acknowledgement& acknowledgement,
              const std::vector<pushed_fact>& facts) {
  return std::all_of(facts.begin(), facts.end(), [&](const pushed_fact& fact) {
    return std::any_of(
        acknowledgement.versions.begin(), acknowledgement.versions.end(),
        [&](const fact_version& known) {
          return known.key == fact.key && known.version >= fact.version;
        });
  });
}

}  // namespace jasminepath::tool
