#ifndef JASMINEPATH_STANDIN_JSON_TEXT_H_
#define JASMINEPATH_STANDIN_JSON_TEXT_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>

namespace jasminepath::standin {

using json_object = Poco::JSON::Object;
using json_array = Poco::JSON::Array;

// Returns the object as one line of JSON.
std::string ToText(const json_object& object);

// Parses one JSON object. Throws Poco::Exception if the text is not one.
json_object::Ptr ParseObject(const std::string& text);

// Returns {"error": message}.
std::string ErrorText(const std::string& message);

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_JSON_TEXT_H_
