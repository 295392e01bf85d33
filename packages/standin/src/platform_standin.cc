#include "jasminepath/standin/platform_standin.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include <string>
#include <utility>
#include <vector>

#include "http_host.h"
#include "json_text.h"
#include "object_store.h"
#include "table.h"
#include "vm_list.h"
#include "weight_store.h"

namespace jasminepath::standin {
namespace {

constexpr int kOkStatus = 200;
constexpr int kCreatedStatus = 201;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kPreconditionFailedStatus = 412;
constexpr char kObjectPrefix[] = "/objects/";
constexpr char kLoadPrefix[] = "/store/loads/";

std::vector<required_version> ParseConditions(const json_object& body) {
  std::vector<required_version> conditions;
  const auto entries = body.getArray("conditions");
  if (entries.isNull())
    return conditions;
  for (unsigned i = 0; i < entries->size(); ++i) {
    const auto entry = entries->getObject(i);
    conditions.push_back({entry->getValue<std::string>("key"),
                          entry->getValue<Poco::Int64>("version")});
  }
  return conditions;
}

std::vector<requested_write> ParseWrites(const json_object& body) {
  std::vector<requested_write> writes;
  const auto entries = body.getArray("writes");
  if (entries.isNull())
    return writes;
  for (unsigned i = 0; i < entries->size(); ++i) {
    const auto entry = entries->getObject(i);
    requested_write write;
    write.key = entry->getValue<std::string>("key");
    if (!entry->isNull("value"))
      write.value = entry->getValue<std::string>("value");
    writes.push_back(std::move(write));
  }
  return writes;
}

json_array::Ptr ToArray(const std::vector<stored_row>& rows) {
  json_array::Ptr array = new json_array;
  for (const stored_row& row : rows) {
    json_object::Ptr entry = new json_object;
    entry->set("key", row.key);
    entry->set("value", row.value);
    entry->set("version", row.version);
    entry->set("deleted", row.is_deleted);
    array->add(entry);
  }
  return array;
}

std::string DecodedTail(const std::string& path, const std::string& prefix) {
  std::string name;
  Poco::URI::decode(path.substr(prefix.size()), name);
  return name;
}

std::vector<vm_entry> ParseVms(const json_object& body) {
  std::vector<vm_entry> vms;
  const auto entries = body.getArray("vms");
  if (entries.isNull())
    throw Poco::DataFormatException("vms is missing");
  for (unsigned i = 0; i < entries->size(); ++i) {
    const auto entry = entries->getObject(i);
    vms.push_back({entry->getValue<std::string>("vm"),
                   entry->getValue<std::string>("state") == "leaving"});
  }
  return vms;
}

}  // namespace

class platform_standin::impl {
 public:
  explicit impl(const listen_options& options)
      : host_(options, [this](const received_request& request, reply& answer) {
          Handle(request, answer);
        }) {
    host_.Start();
  }

  uint16_t port() const { return host_.port(); }

 private:
  void Handle(const received_request& request, reply& answer) {
    const std::string path = request.PathOnly();
    if (path == "/table/transact" && request.method == "POST")
      return Transact(request, answer);
    if (path == "/table/rows")
      return ReadRows(request, answer);
    if (path.starts_with(kObjectPrefix) && request.method == "PUT")
      return PutObject(request, answer);
    if (path.starts_with(kObjectPrefix))
      return GetObject(request, answer);
    if (path == "/objects")
      return ListObjects(request, answer);
    if (path == "/vms")
      return ListVms(answer);
    if (path == "/standin/vms" && request.method == "POST")
      return SetVms(request, answer);
    if (path == "/store/loads" && request.method == "POST")
      return BeginLoad(request, answer);
    if (path.starts_with(kLoadPrefix))
      return GetLoad(request, answer);
    answer.Send(kNotFoundStatus, ErrorText("no such path"));
  }

  void Transact(const received_request& request, reply& answer) {
    const auto body = ParseObject(request.body);
    const commit_outcome outcome =
        table_.Transact(ParseConditions(*body), ParseWrites(*body));
    json_object response;
    if (outcome.conflicts.empty()) {
      response.set("version", outcome.version);
      return answer.Send(kOkStatus, ToText(response));
    }
    response.set("conflicts", ToArray(outcome.conflicts));
    answer.Send(kConflictStatus, ToText(response));
  }

  void ReadRows(const received_request& request, reply& answer) {
    const std::string since = request.Parameter("since");
    const int64_t after =
        since.empty() ? 0 : Poco::NumberParser::parse64(since);
    const changed_rows changed =
        table_.ReadSince(request.Parameter("prefix"), after);
    json_object response;
    response.set("version", changed.version);
    response.set("rows", ToArray(changed.rows));
    answer.Send(kOkStatus, ToText(response));
  }

  void PutObject(const received_request& request, reply& answer) {
    const std::string name = DecodedTail(request.PathOnly(), kObjectPrefix);
    const bool only_create = request.Header("If-None-Match") == "*";
    if (objects_.Put(name, request.body, only_create))
      return answer.Send(kCreatedStatus, "{}");
    answer.Send(kPreconditionFailedStatus,
                ErrorText("the object already exists"));
  }

  void GetObject(const received_request& request, reply& answer) {
    const auto body =
        objects_.Get(DecodedTail(request.PathOnly(), kObjectPrefix));
    if (body)
      return answer.Send(kOkStatus, *body);
    answer.Send(kNotFoundStatus, ErrorText("no such object"));
  }

  void ListObjects(const received_request& request, reply& answer) {
    json_array::Ptr names = new json_array;
    for (const std::string& name : objects_.List(request.Parameter("prefix")))
      names->add(name);
    json_object response;
    response.set("names", names);
    answer.Send(kOkStatus, ToText(response));
  }

  void ListVms(reply& answer) {
    json_array::Ptr vms = new json_array;
    for (const vm_entry& vm : vms_.Visible(boot_clock::now())) {
      json_object::Ptr entry = new json_object;
      entry->set("vm", vm.vm);
      entry->set("state", vm.is_leaving ? "leaving" : "live");
      vms->add(entry);
    }
    json_object response;
    response.set("vms", vms);
    answer.Send(kOkStatus, ToText(response));
  }

  void SetVms(const received_request& request, reply& answer) {
    const auto body = ParseObject(request.body);
    const auto lag = Milliseconds(body->optValue<Poco::Int64>("lag_ms", 0));
    vms_.Set(ParseVms(*body), boot_clock::now() + lag);
    answer.Send(kOkStatus, "{}");
  }

  void BeginLoad(const received_request& request, reply& answer) {
    const auto body = ParseObject(request.body);
    const auto kind = body->getValue<std::string>("kind") == "adapter"
                          ? load_kind::adapter
                          : load_kind::model;
    store_.Begin(body->getValue<std::string>("load"), kind,
                 Milliseconds(body->getValue<Poco::Int64>("full_speed_ms")),
                 boot_clock::now());
    answer.Send(kOkStatus, "{}");
  }

  void GetLoad(const received_request& request, reply& answer) {
    const auto complete = store_.IsComplete(
        DecodedTail(request.PathOnly(), kLoadPrefix),
        host_.faults().persistent().store_factor, boot_clock::now());
    if (!complete)
      return answer.Send(kNotFoundStatus, ErrorText("no such load"));
    json_object response;
    response.set("complete", *complete);
    answer.Send(kOkStatus, ToText(response));
  }

  table table_;
  object_store objects_;
  vm_list vms_;
  weight_store store_;
  http_host host_;
};

platform_standin::platform_standin(const listen_options& options)
    : impl_(std::make_unique<impl>(options)) {}

platform_standin::~platform_standin() = default;

uint16_t platform_standin::port() const {
  return impl_->port();
}

}  // namespace jasminepath::standin
