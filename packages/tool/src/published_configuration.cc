#include "jasminepath/tool/published_configuration.h"

#include "jasminepath/config/json_value.h"
#include "jasminepath/tool/json_difference.h"

namespace jasminepath::tool {

namespace {

config::json_value ParseOrEmpty(const std::string& text) {
  auto document = config::ParseJson(text);
  if (!document)
    return config::json_value(config::json_value::object());
  return std::move(document).value();
}

}  // namespace

std::vector<std::string> ConfigurationDifference(const std::string& before,
                                                 const std::string& after) {
  return Difference(ParseOrEmpty(before), ParseOrEmpty(after));
}

}  // namespace jasminepath::tool
