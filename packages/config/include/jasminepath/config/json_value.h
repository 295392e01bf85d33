#ifndef JASMINEPATH_CONFIG_JSON_VALUE_H_
#define JASMINEPATH_CONFIG_JSON_VALUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminepath/base/result.h"

namespace jasminepath::config {

struct json_member;

// A JSON document as a tree of values. Other packages use it without including
// the headers of the JSON library. Object members keep their order.
class json_value {
 public:
  using array = std::vector<json_value>;
  using object = std::vector<json_member>;
  using storage = std::variant<std::monostate,
                               bool,
                               int64_t,
                               double,
                               std::string,
                               array,
                               object>;

  json_value();
  explicit json_value(bool value);
  explicit json_value(int64_t value);
  explicit json_value(double value);
  explicit json_value(std::string value);
  explicit json_value(const char* value);
  explicit json_value(array value);
  explicit json_value(object value);

  // Each returns null if the value has another type.
  const bool* AsBool() const;
  const int64_t* AsInteger() const;
  const std::string* AsString() const;
  const array* AsArray() const;
  const object* AsObject() const;
  // Returns the number as a double, or `fallback` if this is not a number.
  double NumberOr(double fallback) const;

  // Returns the member `name`, or null if this has no such member or is not an
  // object.
  const json_value* Find(std::string_view name) const;
  // Returns the text of a string member, or `fallback`.
  std::string StringOr(std::string_view name,
                       const std::string& fallback) const;
  // Returns the value of an integer member, or `fallback`.
  int64_t IntegerOr(std::string_view name, int64_t fallback) const;

  // Returns "null", "a boolean", "an integer", "a number", "a string", "an
  // array" or "an object".
  std::string_view TypeName() const;

  // Adds an item to an array, or a member called `name` to an object. Arrays
  // ignore `name`. Does nothing if this is another type of value.
  void Append(std::string name, json_value value);

  const storage& data() const { return data_; }

  friend bool operator==(const json_value&, const json_value&);

 private:
  storage data_;
};

// A named member of an object.
struct json_member {
  std::string name;
  json_value value;

  friend bool operator==(const json_member&, const json_member&) = default;
};

// Why a text is not a JSON document, for example "line 3: unexpected token".
struct json_error {
  std::string message;

  friend bool operator==(const json_error&, const json_error&) = default;
};

// Parses one document. Duplicate members, nesting deeper than 64, text after
// the document and more than 18 digits in a row are errors. Integers are exact
// between -2^53 and 2^53.
result<json_value, json_error> ParseJson(const std::string& text);

// Writes a document on one line if `indent` is 0, else on several lines with
// `indent` spaces for each level.
std::string WriteJson(const json_value& value, unsigned indent = 0);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_JSON_VALUE_H_
