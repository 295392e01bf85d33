#include "version_record.h"

#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::gateway {
namespace {

using config::json_value;

constexpr char kVersionsField[] = "versions";
constexpr char kVersionField[] = "version";
constexpr char kLeftField[] = "leftMs";

}  // namespace

std::string EncodeVersionRecord(const version_record& record) {
  json_value::array versions;
  for (const auto& [version, left_ms] : record) {
    json_value::object fields;
    fields.push_back({kVersionField, json_value(version.value())});
    if (left_ms)
      fields.push_back({kLeftField, json_value(*left_ms)});
    versions.emplace_back(std::move(fields));
  }
  json_value::object root;
  root.push_back({kVersionsField, json_value(std::move(versions))});
  return config::WriteJson(json_value(std::move(root)));
}

decoded<version_record> DecodeVersionRecord(const std::string& value) {
  const auto parsed = config::ParseJson(value);
  if (!parsed)
    return failure(decode_error{parsed.error().message});
  const json_value* versions = parsed.value().Find(kVersionsField);
  if (versions == nullptr || versions->AsArray() == nullptr)
    return failure(decode_error{"no array \"versions\""});
  version_record record;
  for (const json_value& item : *versions->AsArray()) {
    const json_value* version = item.Find(kVersionField);
    const json_value* left = item.Find(kLeftField);
    if (version == nullptr || version->AsString() == nullptr ||
        (left != nullptr && left->AsInteger() == nullptr))
      return failure(decode_error{
          "an item of \"versions\" lacks a string \"version\" or has a "
          "\"leftMs\" that is not an integer"});
    record[software_version(*version->AsString())] =
        left != nullptr ? std::optional(*left->AsInteger()) : std::nullopt;
  }
  return record;
}

}  // namespace jasminepath::gateway
