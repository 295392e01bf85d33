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

// Why the credentials of a call are not accepted.
enum class credential_error {
  conflicting,  // The request presents two different keys.
  malformed,    // The Authorization header has another scheme.
};

// Reads the caller's key from "Authorization: Bearer", "X-Api-Key", "Api-Key"
// (any letter case; equal repetitions are allowed) or the query parameter
// "api_key". Returns nullopt if the request has no key.
result<std::optional<std::string>, credential_error> ReadPresentedKey(
    const Poco::Net::HTTPRequest& request);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALLER_CREDENTIALS_H_
