#include "jasminepath/config/json_value.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Handler.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSONString.h>
#include <Poco/UTF8String.h>

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace jasminepath::config {

namespace {

constexpr std::size_t kMaxNestingDepth = 64;
// The Poco parser silently overflows on longer integers.
constexpr std::size_t kMaxNumberDigits = 18;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Whether the text outside strings has more digits in a row than the parser can
// handle.
bool HasOverlongNumber(const std::string& text) {
  bool in_string = false;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '"')
      in_string = !in_string;
    if (in_string && text[i] == '\\')
      ++i;
    digits = !in_string && i < text.size() && IsDigit(text[i]) ? digits + 1 : 0;
    if (digits > kMaxNumberDigits)
      return true;
  }
  return false;
}

// Replaces bytes outside printable ASCII, since the library's messages quote
// input bytes unchanged.
std::string PrintableText(std::string text) {
  for (char& c : text) {
    if (c < ' ' || c > '~')
      c = '?';
  }
  return text;
}

// Builds a json_value from the library's parse events. Throws
// Poco::SyntaxException on a duplicate member.
class tree_builder : public Poco::JSON::Handler {
 public:
  void reset() override {
    open_values_.clear();
    root_ = json_value();
  }

  void startObject() override { Open(json_value(json_value::object())); }
  void endObject() override { Close(); }
  void startArray() override { Open(json_value(json_value::array())); }
  void endArray() override { Close(); }

  void key(const std::string& name) override {
    const json_value& parent = open_values_.back().value;
    if (parent.Find(name) != nullptr)
      throw Poco::SyntaxException("member \"" + name + "\" is given twice");
    open_values_.back().next_name = name;
  }

  void null() override { Add(json_value()); }
  void value(int number) override { Add(json_value(int64_t{number})); }
  void value(unsigned number) override { Add(json_value(int64_t{number})); }
  void value(Poco::Int64 number) override {
    Add(json_value(static_cast<int64_t>(number)));
  }
  void value(Poco::UInt64 number) override {
    if (number > static_cast<Poco::UInt64>(std::numeric_limits<int64_t>::max()))
      Add(json_value(static_cast<double>(number)));
    else
      Add(json_value(static_cast<int64_t>(number)));
  }
  void value(const std::string& text) override { Add(json_value(text)); }
  void value(double number) override { Add(json_value(number)); }
  void value(bool flag) override { Add(json_value(flag)); }

  json_value Take() { return std::move(root_); }

 private:
  // An array or object whose closing bracket has not been read yet.
  struct open_value {
    json_value value;
    std::string next_name;
  };

  void Open(json_value value) {
    open_values_.push_back({std::move(value), {}});
  }

  void Close() {
    json_value done = std::move(open_values_.back().value);
    open_values_.pop_back();
    Add(std::move(done));
  }

  void Add(json_value value) {
    if (open_values_.empty()) {
      root_ = std::move(value);
      return;
    }
    open_value& parent = open_values_.back();
    parent.value.Append(std::move(parent.next_name), std::move(value));
  }

  std::vector<open_value> open_values_;
  json_value root_;
};

class json_writer {
 public:
  explicit json_writer(unsigned indent) : indent_(indent) {}

  void Write(const json_value& value) {
    std::visit([this](const auto& content) { WriteContent(content); },
               value.data());
  }

  std::string Take() { return std::move(text_); }

 private:
  void WriteContent(std::monostate) { text_ += "null"; }
  void WriteContent(bool value) { text_ += value ? "true" : "false"; }
  void WriteContent(int64_t value) { text_ += std::to_string(value); }

  void WriteContent(double value) {
    if (!std::isfinite(value)) {
      text_ += "null";
      return;
    }
    constexpr std::size_t kMaxDoubleCharacters = 32;
    std::array<char, kMaxDoubleCharacters> buffer;
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    const std::string digits(buffer.data(), end.ptr);
    text_ += digits;
    if (digits.find_first_of(".e") == std::string::npos)
      text_ += ".0";
  }

  void WriteContent(const std::string& value) { text_ += Poco::toJSON(value); }

  void WriteContent(const json_value::array& items) {
    Begin('[');
    for (std::size_t i = 0; i < items.size(); ++i) {
      Separate(i);
      Write(items[i]);
    }
    End(']', items.empty());
  }

  void WriteContent(const json_value::object& members) {
    Begin('{');
    for (std::size_t i = 0; i < members.size(); ++i) {
      Separate(i);
      text_ += Poco::toJSON(members[i].name);
      text_ += indent_ > 0 ? ": " : ":";
      Write(members[i].value);
    }
    End('}', members.empty());
  }

  void Begin(char bracket) {
    text_ += bracket;
    ++depth_;
  }

  void Separate(std::size_t index) {
    if (index > 0)
      text_ += ',';
    BreakLine();
  }

  void End(char bracket, bool empty) {
    --depth_;
    if (!empty)
      BreakLine();
    text_ += bracket;
  }

  void BreakLine() {
    if (indent_ == 0)
      return;
    text_ += '\n';
    text_.append(depth_ * indent_, ' ');
  }

  unsigned indent_;
  std::size_t depth_ = 0;
  std::string text_;
};

}  // namespace

json_value::json_value() = default;
json_value::json_value(bool value) : data_(value) {}
json_value::json_value(int64_t value) : data_(value) {}
json_value::json_value(double value) : data_(value) {}
json_value::json_value(std::string value) : data_(std::move(value)) {}
json_value::json_value(const char* value) : data_(std::string(value)) {}
json_value::json_value(array value) : data_(std::move(value)) {}
json_value::json_value(object value) : data_(std::move(value)) {}

const bool* json_value::AsBool() const {
  return std::get_if<bool>(&data_);
}

const int64_t* json_value::AsInteger() const {
  return std::get_if<int64_t>(&data_);
}

const std::string* json_value::AsString() const {
  return std::get_if<std::string>(&data_);
}

const json_value::array* json_value::AsArray() const {
  return std::get_if<array>(&data_);
}

const json_value::object* json_value::AsObject() const {
  return std::get_if<object>(&data_);
}

double json_value::NumberOr(double fallback) const {
  if (const int64_t* integer = AsInteger())
    return static_cast<double>(*integer);
  const double* number = std::get_if<double>(&data_);
  return number != nullptr ? *number : fallback;
}

const json_value* json_value::Find(std::string_view name) const {
  const object* members = AsObject();
  if (members == nullptr)
    return nullptr;
  for (const json_member& member : *members) {
    if (member.name == name)
      return &member.value;
  }
  return nullptr;
}

std::string json_value::StringOr(std::string_view name,
                                 const std::string& fallback) const {
  const json_value* member = Find(name);
  const std::string* text = member != nullptr ? member->AsString() : nullptr;
  return text != nullptr ? *text : fallback;
}

int64_t json_value::IntegerOr(std::string_view name, int64_t fallback) const {
  const json_value* member = Find(name);
  const int64_t* number = member != nullptr ? member->AsInteger() : nullptr;
  return number != nullptr ? *number : fallback;
}

std::string_view json_value::TypeName() const {
  constexpr std::array<std::string_view, std::variant_size_v<storage>> kNames =
      {"null",     "a boolean", "an integer", "a number",
       "a string", "an array",  "an object"};
  return kNames[data_.index()];
}

void json_value::Append(std::string name, json_value value) {
  if (object* members = std::get_if<object>(&data_))
    members->push_back({std::move(name), std::move(value)});
  else if (array* items = std::get_if<array>(&data_))
    items->push_back(std::move(value));
}

bool operator==(const json_value& a, const json_value& b) {
  return a.data_ == b.data_;
}

result<json_value, json_error> ParseJson(const std::string& text) {
  if (HasOverlongNumber(text))
    return failure(json_error{"a number has more than 18 digits in a row"});
  Poco::SharedPtr<tree_builder> builder(new tree_builder);
  Poco::JSON::Parser parser(builder);
  parser.setDepth(kMaxNestingDepth);
  try {
    parser.parse(text);
  } catch (const Poco::Exception& error) {
    return failure(json_error{PrintableText(error.message())});
  }
  return builder->Take();
}

std::string WriteJson(const json_value& value, unsigned indent) {
  json_writer writer(indent);
  writer.Write(value);
  return writer.Take();
}

}  // namespace jasminepath::config
