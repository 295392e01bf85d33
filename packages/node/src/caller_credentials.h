#ifndef JASMINEPATH_NODE_CALLER_CREDENTIALS_H_
#define JASMINEPATH_NODE_CALLER_CREDENTIALS_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminepath/base/result.h"

namespace Poco::Net {
class HTTPRequest;
}

namespace jasminepath::node {

// Why the credentials of a call cannot be read.
enum class credential_error {
  conflicting,  // Two different keys were presented.
  malformed,    // An Authorization header of another scheme.
};

// Reads the key that a caller presented: "Authorization: Bearer", "X-Api-Key",
// "Api-Key" (any letter case, repeated or not), or the query parameter
// "api_key". Nothing if there is none.
result<std::optional<std::string>, credential_error> ReadPresentedKey(
    const Poco::Net::HTTPRequest& request);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALLER_CREDENTIALS_H_
