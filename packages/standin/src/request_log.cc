#include "request_log.h"

#include <Poco/String.h>
#include <Poco/URI.h>

#include "json_text.h"

namespace jasminepath::standin {
namespace {

constexpr std::size_t kMaxRetainedRequests = 20'000;

json_object::Ptr ToObject(const received_request& request) {
  json_array::Ptr headers = new json_array;
  for (const received_header& field : request.headers) {
    json_object::Ptr entry = new json_object;
    entry->set("name", field.name);
    entry->set("value", field.value);
    headers->add(entry);
  }
  json_object::Ptr object = new json_object;
  object->set("method", request.method);
  object->set("path", request.path);
  object->set("headers", headers);
  object->set("body", request.body);
  return object;
}

}  // namespace

std::string received_request::Header(const std::string& name) const {
  for (const received_header& field : headers) {
    if (Poco::icompare(field.name, name) == 0)
      return field.value;
  }
  return "";
}

std::string received_request::PathOnly() const {
  return path.substr(0, path.find('?'));
}

std::string received_request::Parameter(const std::string& name) const {
  for (const auto& [key, value] : Poco::URI(path).getQueryParameters()) {
    if (key == name)
      return value;
  }
  return "";
}

void request_log::Record(const received_request& request) {
  const std::lock_guard lock(mutex_);
  ++total_;
  latest_.push_back(request);
  if (latest_.size() > kMaxRetainedRequests)
    latest_.pop_front();
}

std::string request_log::ToJson(const std::string& path_prefix) const {
  const std::lock_guard lock(mutex_);
  json_array::Ptr requests = new json_array;
  for (const received_request& request : latest_) {
    if (request.path.starts_with(path_prefix))
      requests->add(ToObject(request));
  }
  json_object object;
  object.set("total", total_);
  object.set("requests", requests);
  return ToText(object);
}

}  // namespace jasminepath::standin
