#include "object_reader.h"

#include <algorithm>
#include <utility>

#include "jasminepath/config/address.h"

namespace jasminepath::config {

namespace {

constexpr std::size_t kMaxTextBytes = 512;
constexpr std::size_t kMaxNameBytes = 128;
// A suggestion's edit distance is at most the longer name's length divided by
// this.
constexpr std::size_t kMaxDistanceDivisor = 3;

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

// Returns the edit distance; a swap of two adjacent characters counts as one
// edit.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  const std::size_t width = b.size() + 1;
  std::vector<std::size_t> cost((a.size() + 1) * width);
  const auto at = [&](std::size_t i, std::size_t j) -> std::size_t& {
    return cost[i * width + j];
  };
  for (std::size_t i = 0; i <= a.size(); ++i)
    at(i, 0) = i;
  for (std::size_t j = 0; j <= b.size(); ++j)
    at(0, j) = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t change = a[i - 1] == b[j - 1] ? 0 : 1;
      at(i, j) = std::min(
          {at(i - 1, j) + 1, at(i, j - 1) + 1, at(i - 1, j - 1) + change});
      const bool swapped =
          i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1];
      if (swapped)
        at(i, j) = std::min(at(i, j), at(i - 2, j - 2) + 1);
    }
  }
  return at(a.size(), b.size());
}

std::string RangeText(number_range range) {
  if (range.maximum == std::numeric_limits<int64_t>::max())
    return "an integer of at least " + std::to_string(range.minimum);
  return "an integer from " + std::to_string(range.minimum) + " to " +
         std::to_string(range.maximum);
}

std::string JoinQuoted(const std::vector<std::string_view>& names) {
  std::string text;
  for (std::string_view name : names)
    text += (text.empty() ? "" : ", ") + Quoted(name);
  return text;
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::string NearestName(std::string_view text,
                        const std::vector<std::string>& candidates) {
  if (text.size() > kMaxNameBytes)
    return {};
  std::string nearest;
  std::size_t min_distance = std::string_view::npos;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = EditDistance(text, candidate);
    const std::size_t longer = std::max(text.size(), candidate.size());
    if (distance * kMaxDistanceDivisor <= longer && distance < min_distance) {
      min_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

object_reader::object_reader(const json_value& value,
                             std::string path,
                             fault_collector& faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
  if (value_.AsObject() == nullptr)
    Report("", "is " + std::string(value_.TypeName()), "write an object");
}

std::string object_reader::String(std::string_view name) {
  const json_value* value = LookUpRequired(name);
  if (value == nullptr)
    return {};
  return ReadText(name, *value).value_or(std::string());
}

std::optional<std::string> object_reader::OptionalString(
    std::string_view name) {
  const json_value* value = LookUp(name);
  return value != nullptr ? ReadText(name, *value) : std::nullopt;
}

std::string object_reader::Name(std::string_view name) {
  std::string text = String(name);
  if (text.empty() || IsName(text))
    return text;
  Report(name, "is not a valid name: " + Quoted(text),
         "use at most 128 letters, digits, '.', '_' and '-'");
  return {};
}

std::string object_reader::Address(std::string_view name) {
  const json_value* value = LookUpRequired(name);
  return value != nullptr ? ReadAddress(MemberPath(name), *value, false)
                          : std::string();
}

std::string object_reader::OptionalAddress(std::string_view name) {
  const json_value* value = LookUp(name);
  return value != nullptr ? ReadAddress(MemberPath(name), *value, false)
                          : std::string();
}

std::string object_reader::ListenAddress(std::string_view name) {
  const json_value* value = LookUpRequired(name);
  return value != nullptr ? ReadAddress(MemberPath(name), *value, true)
                          : std::string();
}

int64_t object_reader::RequiredInteger(std::string_view name,
                                       number_range range) {
  const json_value* value = LookUpRequired(name);
  return value != nullptr ? ReadInteger(name, *value, range.minimum, range)
                          : range.minimum;
}

int64_t object_reader::Integer(std::string_view name,
                               int64_t fallback,
                               number_range range) {
  const json_value* value = LookUp(name);
  return value != nullptr ? ReadInteger(name, *value, fallback, range)
                          : fallback;
}

double object_reader::Number(std::string_view name,
                             double fallback,
                             double max) {
  const json_value* value = LookUp(name);
  if (value == nullptr)
    return fallback;
  constexpr double kInvalidNumber = -1;
  const double number = value->NumberOr(kInvalidNumber);
  if (number >= 0 && number <= max)
    return number;
  Report(name, "is " + WriteJson(*value),
         "write a number from 0 to " + WriteJson(json_value(max)));
  return fallback;
}

bool object_reader::Bool(std::string_view name, bool fallback) {
  const json_value* value = LookUp(name);
  if (value == nullptr)
    return fallback;
  if (const bool* flag = value->AsBool())
    return *flag;
  Report(name, "is " + std::string(value->TypeName()), "write true or false");
  return fallback;
}

duration object_reader::Duration(std::string_view name, duration fallback) {
  return Milliseconds(
      Integer(name, ToMilliseconds(fallback), {1, kMaxDurationMs}));
}

bytes object_reader::Size(std::string_view name,
                          bytes fallback,
                          number_range range) {
  return bytes(Integer(name, fallback.count(), range));
}

std::size_t object_reader::Choice(std::string_view name,
                                  const std::vector<std::string_view>& names,
                                  std::optional<std::size_t> fallback) {
  const json_value* value = fallback ? LookUp(name) : LookUpRequired(name);
  if (value == nullptr)
    return fallback.value_or(0);
  const std::string* text = value->AsString();
  const auto found = text == nullptr
                         ? names.end()
                         : std::find(names.begin(), names.end(), *text);
  if (found != names.end())
    return static_cast<std::size_t>(found - names.begin());
  Report(name, "is " + WriteJson(*value), "write one of " + JoinQuoted(names));
  return fallback.value_or(0);
}

void object_reader::Objects(std::string_view name,
                            const std::function<void(object_reader&)>& read) {
  const json_value::array* items = LookUpArray(name);
  if (items == nullptr)
    return;
  for (std::size_t i = 0; i < items->size(); ++i) {
    object_reader item(
        (*items)[i], MemberPath(name) + "[" + std::to_string(i) + "]", faults_);
    if ((*items)[i].AsObject() == nullptr)
      continue;
    read(item);
    item.Finish();
  }
}

void object_reader::Object(std::string_view name,
                           const std::function<void(object_reader&)>& read) {
  const json_value* value = LookUp(name);
  if (value == nullptr)
    return;
  object_reader member(*value, MemberPath(name), faults_);
  if (value->AsObject() == nullptr)
    return;
  read(member);
  member.Finish();
}

std::vector<std::string> object_reader::Names(std::string_view name) {
  std::vector<std::string> names;
  const json_value::array* items = LookUpArray(name);
  if (items == nullptr)
    return names;
  for (std::size_t i = 0; i < items->size(); ++i) {
    const std::string* text = (*items)[i].AsString();
    if (text != nullptr && IsName(*text)) {
      names.push_back(*text);
      continue;
    }
    faults_.Add(MemberPath(name) + "[" + std::to_string(i) + "]",
                "is not a valid name: " + WriteJson((*items)[i]),
                "use at most 128 letters, digits, '.', '_' and '-'");
  }
  return names;
}

std::vector<std::string> object_reader::Addresses(std::string_view name) {
  std::vector<std::string> addresses;
  const json_value::array* items = LookUpArray(name);
  if (items == nullptr)
    return addresses;
  for (std::size_t i = 0; i < items->size(); ++i) {
    const std::string path = MemberPath(name) + "[" + std::to_string(i) + "]";
    std::string address = ReadAddress(path, (*items)[i], false);
    if (!address.empty())
      addresses.push_back(std::move(address));
  }
  return addresses;
}

bool object_reader::Has(std::string_view name) const {
  return value_.Find(name) != nullptr;
}

void object_reader::Report(std::string_view name,
                           std::string problem,
                           std::string remedy) {
  faults_.Add(MemberPath(name), std::move(problem), std::move(remedy));
}

void object_reader::Finish() {
  const json_value::object* members = value_.AsObject();
  if (members == nullptr)
    return;
  for (const json_member& member : *members) {
    if (std::find(known_names_.begin(), known_names_.end(), member.name) !=
        known_names_.end())
      continue;
    const std::string nearest = NearestName(member.name, known_names_);
    Report(member.name, "is an unknown field",
           nearest.empty() ? "remove it" : "did you mean " + Quoted(nearest));
  }
}

const json_value* object_reader::LookUp(std::string_view name) {
  known_names_.emplace_back(name);
  return value_.Find(name);
}

const json_value* object_reader::LookUpRequired(std::string_view name) {
  const json_value* value = LookUp(name);
  if (value == nullptr && value_.AsObject() != nullptr)
    Report(name, "is missing", "add the field " + Quoted(name));
  return value;
}

const json_value::array* object_reader::LookUpArray(std::string_view name) {
  const json_value* value = LookUp(name);
  if (value == nullptr)
    return nullptr;
  const json_value::array* items = value->AsArray();
  if (items == nullptr)
    Report(name, "is " + std::string(value->TypeName()), "write an array");
  return items;
}

std::optional<std::string> object_reader::ReadText(std::string_view name,
                                                   const json_value& value) {
  const std::string* text = value.AsString();
  if (text == nullptr) {
    Report(name, "is " + std::string(value.TypeName()), "write a string");
    return std::nullopt;
  }
  if (text->empty() || text->size() > kMaxTextBytes) {
    Report(name, "has " + std::to_string(text->size()) + " bytes",
           "write a string of 1 to 512 bytes");
    return std::nullopt;
  }
  return *text;
}

std::string object_reader::ReadAddress(const std::string& path,
                                       const json_value& value,
                                       bool port_zero_allowed) {
  const std::string* text = value.AsString();
  const std::optional<ip_port> parsed =
      text != nullptr ? ParseAddress(*text) : std::nullopt;
  if (!parsed) {
    faults_.Add(path, "is not a valid address: " + WriteJson(value),
                "write \"ip:port\" with a numeric IP address");
    return {};
  }
  if (parsed->port == 0 && !port_zero_allowed) {
    faults_.Add(path, "has port 0", "write a port from 1 to 65535");
    return {};
  }
  return *text;
}

int64_t object_reader::ReadInteger(std::string_view name,
                                   const json_value& value,
                                   int64_t fallback,
                                   number_range range) {
  const int64_t* number = value.AsInteger();
  if (number != nullptr && *number >= range.minimum && *number <= range.maximum)
    return *number;
  const bool is_scalar =
      value.AsArray() == nullptr && value.AsObject() == nullptr;
  Report(name,
         "is " + (is_scalar ? WriteJson(value) : std::string(value.TypeName())),
         "write " + RangeText(range));
  return fallback;
}

std::string object_reader::MemberPath(std::string_view name) const {
  return name.empty() ? path_ : path_ + "." + std::string(name);
}

}  // namespace jasminepath::config
