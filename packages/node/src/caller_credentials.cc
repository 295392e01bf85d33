#include "caller_credentials.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <algorithm>
#include <string_view>

namespace jasminepath::node {
namespace {

constexpr char kBearerPrefix[] = "bearer ";
constexpr std::size_t kBearerPrefixLength = sizeof(kBearerPrefix) - 1;

bool IsKeyHeader(const std::string& name) {
  return Poco::icompare(name, std::string("x-api-key")) == 0 ||
         Poco::icompare(name, std::string("api-key")) == 0;
}

// Adds the key of an Authorization header. Returns false for other schemes.
bool AddBearer(const std::string& value, std::vector<std::string>& found) {
  const std::string scheme = value.substr(0, kBearerPrefixLength);
  if (Poco::icompare(scheme, std::string(kBearerPrefix)) != 0)
    return false;
  found.push_back(Poco::trim(value.substr(kBearerPrefixLength)));
  return true;
}

void AddQueryKeys(const std::string& target, std::vector<std::string>& found) {
  try {
    for (const auto& [name, value] : Poco::URI(target).getQueryParameters()) {
      if (Poco::icompare(name, std::string("api_key")) == 0)
        found.push_back(value);
    }
  } catch (const Poco::Exception&) {
    // A target that does not parse contains no key; routing refuses the call.
  }
}

}  // namespace

result<std::optional<std::string>, credential_error> ReadPresentedKey(
    const Poco::Net::HTTPRequest& request) {
  std::vector<std::string> found;
  for (const auto& [name, value] : request) {
    if (Poco::icompare(name, std::string("authorization")) == 0) {
      if (!AddBearer(value, found))
        return credential_error::malformed;
    } else if (IsKeyHeader(name)) {
      found.push_back(Poco::trim(value));
    }
  }
  AddQueryKeys(request.getURI(), found);
  if (found.empty())
    return std::optional<std::string>();
  const bool all_equal = std::all_of(
      found.begin(), found.end(),
      [&found](const std::string& key) { return key == found.front(); });
  if (!all_equal)
    return credential_error::conflicting;
  return std::optional<std::string>(found.front());
}

}  // namespace jasminepath::node
