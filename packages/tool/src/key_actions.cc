#include "jasminepath/tool/key_actions.h"

namespace jasminepath::tool {

std::string ToString(key_refusal refusal) {
  switch (refusal) {
    case key_refusal::nothing_published:
      return "no configuration is published; publish one first";
    case key_refusal::unknown_team:
      return "the published configuration has no such team";
    case key_refusal::unknown_key:
      return "there is no such key; see `jasminepath key list`";
    case key_refusal::malformed_row:
      return "this version of the tool cannot parse the row in the table";
    case key_refusal::platform_unavailable:
      return "the platform cannot be reached; nothing was changed";
  }
  return "";
}

}  // namespace jasminepath::tool
