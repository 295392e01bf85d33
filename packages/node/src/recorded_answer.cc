#include "recorded_answer.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace jasminepath::node {
namespace {

constexpr char kSeparator = '\n';

}  // namespace

// The first line is JSON with the status and headers; the unmodified body
// follows.
std::string EncodeRecordedAnswer(const recorded_answer& answer) {
  Poco::JSON::Array::Ptr headers = new Poco::JSON::Array;
  for (const endpoint::header& field : answer.headers) {
    Poco::JSON::Object::Ptr entry = new Poco::JSON::Object;
    entry->set("name", field.name);
    entry->set("value", field.value);
    headers->add(entry);
  }
  Poco::JSON::Object head;
  head.set("status", answer.status);
  head.set("headers", headers);
  std::ostringstream out;
  head.stringify(out);
  return out.str() + kSeparator + answer.body;
}

std::optional<recorded_answer> DecodeRecordedAnswer(
    const std::string& encoded) {
  const std::size_t end = encoded.find(kSeparator);
  if (end == std::string::npos)
    return std::nullopt;
  try {
    Poco::JSON::Parser parser;
    const auto head =
        parser.parse(encoded.substr(0, end)).extract<Poco::JSON::Object::Ptr>();
    recorded_answer answer;
    answer.status = head->getValue<int>("status");
    for (const auto& entry : *head->getArray("headers")) {
      const auto& field = entry.extract<Poco::JSON::Object::Ptr>();
      answer.headers.push_back({field->getValue<std::string>("name"),
                                field->getValue<std::string>("value")});
    }
    answer.body = encoded.substr(end + 1);
    return answer;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace jasminepath::node
