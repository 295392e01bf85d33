#ifndef JASMINEPATH_STANDIN_JSON_TEXT_H_
#define JASMINEPATH_STANDIN_JSON_TEXT_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>

namespace jasminepath::standin {

using json_object = Poco::JSON::Object;
using json_array = Poco::JSON::Array;

// The object as one line of JSON.
std::string ToText(const json_object& object);

// Parses one JSON object; an exception of Poco's if the text is none.
json_object::Ptr ParseObject(const std::string& text);

// {"error": message}
std::string ErrorText(const std::string& message);

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_JSON_TEXT_H_
