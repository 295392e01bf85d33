#include "table_json.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cstdint>
#include <exception>
#include <sstream>
#include <utility>

namespace jasminepath::platform {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// Throws on malformed JSON.
Object::Ptr ParseObject(const std::string& body) {
  Poco::JSON::Parser parser;
  return parser.parse(body).extract<Object::Ptr>();
}

// Throws if a member is missing or of the wrong type.
table_row ToRow(const Object& source) {
  table_row row;
  row.key = source.getValue<std::string>("key");
  row.deleted = source.optValue<bool>("deleted", false);
  if (!row.deleted && source.has("value") && !source.isNull("value"))
    row.value = source.getValue<std::string>("value");
  row.version = revision(source.getValue<int64_t>("version"));
  return row;
}

// Throws if the member is missing or contains anything but rows.
std::vector<table_row> ToRows(const Object& source, const std::string& member) {
  const Array::Ptr array = source.getArray(member);
  if (array.isNull())
    throw Poco::DataFormatException(member);
  std::vector<table_row> rows;
  rows.reserve(array->size());
  for (unsigned i = 0; i < array->size(); ++i)
    rows.push_back(ToRow(*array->getObject(i)));
  return rows;
}

// Returns std::nullopt if `parse` throws.
template <typename Parse>
auto ValueOrNullopt(Parse parse) -> std::optional<decltype(parse())> {
  try {
    return parse();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Object ToJson(const row_condition& condition) {
  Object object;
  object.set("key", condition.key);
  object.set("version", condition.version.count());
  return object;
}

Object ToJson(const row_write& write) {
  Object object;
  object.set("key", write.key);
  if (write.value)
    object.set("value", *write.value);
  else
    object.set("value", Poco::Dynamic::Var());
  return object;
}

listed_vm ToVm(const Object& source) {
  const auto state = source.getValue<std::string>("state");
  return {.id = vm_id(source.getValue<std::string>("vm")),
          .state = state == "leaving" ? vm_state::leaving : vm_state::live};
}

}  // namespace

std::string EncodeTransaction(const transaction& change) {
  Array conditions;
  for (const auto& condition : change.conditions)
    conditions.add(ToJson(condition));
  Array writes;
  for (const auto& write : change.writes)
    writes.add(ToJson(write));
  Object object;
  object.set("conditions", conditions);
  object.set("writes", writes);
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

std::optional<transaction_outcome> ParseCommitted(const std::string& body) {
  return ValueOrNullopt([&] {
    const Object::Ptr object = ParseObject(body);
    return transaction_outcome{
        .committed = true,
        .version = revision(object->getValue<int64_t>("version")),
        .conflicts = {}};
  });
}

std::optional<transaction_outcome> ParseConflicts(const std::string& body) {
  return ValueOrNullopt([&] {
    const Object::Ptr object = ParseObject(body);
    return transaction_outcome{.committed = false,
                               .version = revision(),
                               .conflicts = ToRows(*object, "conflicts")};
  });
}

std::optional<row_page> ParseRowPage(const std::string& body) {
  return ValueOrNullopt([&] {
    const Object::Ptr object = ParseObject(body);
    return row_page{.version = revision(object->getValue<int64_t>("version")),
                    .rows = ToRows(*object, "rows")};
  });
}

std::optional<std::vector<std::string>> ParseNames(const std::string& body) {
  return ValueOrNullopt([&] {
    const Array::Ptr array = ParseObject(body)->getArray("names");
    std::vector<std::string> names;
    for (unsigned i = 0; i < array->size(); ++i)
      names.push_back(array->getElement<std::string>(i));
    return names;
  });
}

std::optional<std::vector<listed_vm>> ParseVmList(const std::string& body) {
  return ValueOrNullopt([&] {
    const Array::Ptr array = ParseObject(body)->getArray("vms");
    std::vector<listed_vm> vms;
    for (unsigned i = 0; i < array->size(); ++i)
      vms.push_back(ToVm(*array->getObject(i)));
    return vms;
  });
}

}  // namespace jasminepath::platform
