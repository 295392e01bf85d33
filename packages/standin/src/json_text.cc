#include "json_text.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <sstream>
#include <utility>

namespace jasminepath::standin {

std::string ToText(const json_object& object) {
  std::ostringstream text;
  object.stringify(text);
  return std::move(text).str();
}

json_object::Ptr ParseObject(const std::string& text) {
  Poco::JSON::Parser parser;
  const Poco::Dynamic::Var parsed = parser.parse(text);
  if (parsed.type() != typeid(json_object::Ptr))
    throw Poco::DataFormatException("the body is not a JSON object");
  return parsed.extract<json_object::Ptr>();
}

std::string ErrorText(const std::string& message) {
  json_object error;
  error.set("error", message);
  return ToText(error);
}

}  // namespace jasminepath::standin
