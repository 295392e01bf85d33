#include "jasminepath/replay/trace_format.h"

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <optional>
#include <utility>

#include "fault_names.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/config/configuration_index.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::replay {
namespace {

using config::json_value;

constexpr char kRefusedPrefix[] = "refused:";

// Reads the members of one JSON object and reports invalid ones as faults.
class member_reader {
 public:
  member_reader(const json_value& value,
                std::string location,
                std::string path,
                config::fault_list& faults)
      : value_(value),
        location_(std::move(location)),
        path_(std::move(path)),
        faults_(faults) {}

  void Report(const std::string& name,
              const std::string& problem,
              const std::string& remedy) {
    faults_.push_back({location_, path_ + "." + name, problem, remedy});
  }

  // Reports members whose names are not in the list.
  void CheckMemberNames(std::initializer_list<std::string_view> names) {
    if (value_.AsObject() == nullptr)
      return Report("", "is not an object", "write one JSON object per line");
    for (const config::json_member& member : *value_.AsObject()) {
      if (std::find(names.begin(), names.end(), member.name) == names.end())
        Report(member.name, "is not known",
               "remove it or correct its spelling");
    }
  }

  int64_t ReadInteger(const std::string& name,
                      int64_t fallback,
                      int64_t least) {
    const json_value* member = value_.Find(name);
    if (member == nullptr)
      return fallback;
    const int64_t* number = member->AsInteger();
    if (number == nullptr || *number < least) {
      Report(name, "is not an integer of at least " + std::to_string(least),
             "write an integer in this range");
      return fallback;
    }
    return *number;
  }

  std::string ReadText(const std::string& name, bool required) {
    const json_value* member = value_.Find(name);
    const std::string* text = member ? member->AsString() : nullptr;
    if (text != nullptr)
      return *text;
    if (member != nullptr || required)
      Report(name, "is missing or not a string", "write a string");
    return "";
  }

 private:
  const json_value& value_;
  std::string location_;
  std::string path_;
  config::fault_list& faults_;
};

class trace_reader {
 public:
  explicit trace_reader(std::string name) : name_(std::move(name)) {}

  void ReadLine(const std::string& line) {
    ++line_;
    if (line.empty())
      return;
    const auto parsed = config::ParseJson(line);
    if (!parsed) {
      faults_.push_back(
          {Location(), "$", parsed.error().message, "write one JSON object"});
    } else if (!has_header_) {
      has_header_ = true;
      ReadHeader(parsed.value());
    } else {
      ReadEvent(parsed.value());
    }
  }

  result<trace, config::fault_list> Finish() {
    if (!has_header_)
      faults_.push_back({name_, "$", "is empty", "begin with a header line"});
    if (!faults_.empty())
      return faults_;
    return std::move(trace_);
  }

 private:
  std::string Location() const { return name_ + ":" + std::to_string(line_); }

  void ReadHeader(const json_value& value) {
    member_reader reader(value, Location(), "$", faults_);
    reader.CheckMemberNames(
        {"trace_version", "nodes", "configuration", "cached"});
    if (value.IntegerOr("trace_version", 0) != kTraceVersion)
      reader.Report("trace_version", "is not 1",
                    "write 1, or use the release that made the trace");
    trace_.nodes = reader.ReadInteger("nodes", trace_.nodes, 1);
    const json_value* site = value.Find("configuration");
    if (site == nullptr)
      return reader.Report("configuration", "is missing",
                           "write the compiled configuration of a site");
    auto compiled =
        config::ConfigurationFromJson(config::WriteJson(*site), revision());
    if (!compiled) {
      for (config::fault fault : compiled.error()) {
        fault.file = Location();
        faults_.push_back(std::move(fault));
      }
      return;
    }
    trace_.site = std::move(compiled.value());
    ReadCachedCopies(value, reader);
  }

  void ReadCachedCopies(const json_value& value, member_reader& header) {
    const json_value* cached = value.Find("cached");
    if (cached == nullptr)
      return;
    if (cached->AsArray() == nullptr)
      return header.Report("cached", "is not an array", "write an array");
    for (const json_value& entry : *cached->AsArray()) {
      member_reader reader(entry, Location(), "$.cached[]", faults_);
      reader.CheckMemberNames({"endpoint", "model"});
      trace_.cached.push_back({endpoint_id(reader.ReadText("endpoint", true)),
                               model_id(reader.ReadText("model", true))});
    }
  }

  void ReadEvent(const json_value& value) {
    if (const json_value* request = value.Find("request"))
      return ReadRequest(*request);
    if (const json_value* fault = value.Find("fault"))
      return ReadFault(*fault);
    faults_.push_back({Location(), "$", "is neither a request nor a fault",
                       "write {\"request\":{..}} or {\"fault\":{..}}"});
  }

  void CheckTimeOrder(member_reader& reader, int64_t at_ms) {
    if (at_ms < last_at_ms_)
      reader.Report("at_ms", "is earlier than in a preceding line",
                    "order the lines by time");
    last_at_ms_ = std::max(last_at_ms_, at_ms);
  }

  void ReadRequest(const json_value& value) {
    member_reader reader(value, Location(), "$.request", faults_);
    reader.CheckMemberNames({"id", "at_ms", "node", "team", "model", "adapter",
                             "prefix", "prompt_tokens", "output_tokens",
                             "method", "path", "deadline_ms", "idempotency_key",
                             "body", "expect"});
    trace_request request;
    request.id = reader.ReadText("id", true);
    request.at_ms = reader.ReadInteger("at_ms", 0, 0);
    request.node = reader.ReadInteger("node", 1, 1);
    request.team = team_id(reader.ReadText("team", false));
    request.model = model_id(reader.ReadText("model", false));
    request.adapter = adapter_id(reader.ReadText("adapter", false));
    request.prefix = reader.ReadInteger("prefix", 0, 0);
    request.prompt_tokens = reader.ReadInteger("prompt_tokens", 0, 0);
    request.output_tokens = reader.ReadInteger("output_tokens", 0, 0);
    request.method = reader.ReadText("method", request.model.empty());
    request.path = reader.ReadText("path", request.model.empty());
    request.deadline_ms = reader.ReadInteger("deadline_ms", 0, 0);
    request.idempotency_key = reader.ReadText("idempotency_key", false);
    request.body = reader.ReadText("body", false);
    CheckRequest(reader, request);
    if (const json_value* expect = value.Find("expect"))
      request.expect = ReadExpectation(*expect);
    trace_.requests.push_back(std::move(request));
  }

  void CheckRequest(member_reader& reader, const trace_request& request) {
    CheckTimeOrder(reader, request.at_ms);
    if (request.node > trace_.nodes)
      reader.Report("node", "is above the number of nodes",
                    "write a number from 1 to the number of nodes");
    if (!request.team.empty() &&
        config::FindTeam(trace_.site, request.team) == nullptr)
      reader.Report("team", "is not a team of the site",
                    "write a team of the site");
  }

  std::optional<expectation> ReadExpectation(const json_value& value) {
    member_reader reader(value, Location(), "$.request.expect", faults_);
    reader.CheckMemberNames({"outcome", "within_ms"});
    expectation expected;
    expected.within_ms = reader.ReadInteger("within_ms", 0, 1);
    const std::string outcome = reader.ReadText("outcome", true);
    if (outcome == "served") {
      expected.outcome = stated_outcome::served;
    } else if (outcome == "run_at_most_once") {
      expected.outcome = stated_outcome::run_at_most_once;
    } else if (outcome.starts_with(kRefusedPrefix)) {
      expected.outcome = stated_outcome::refused;
      expected.refusal = outcome.substr(std::string(kRefusedPrefix).size());
    } else {
      reader.Report("outcome", "is not known",
                    "write served, run_at_most_once or refused:CODE");
    }
    return expected;
  }

  void ReadFault(const json_value& value) {
    member_reader reader(value, Location(), "$.fault", faults_);
    reader.CheckMemberNames({"at_ms", "kind", "target", "for_ms", "amount"});
    trace_fault fault;
    fault.at_ms = reader.ReadInteger("at_ms", 0, 0);
    fault.target = reader.ReadText("target", false);
    fault.for_ms = reader.ReadInteger("for_ms", 0, 0);
    fault.amount = reader.ReadInteger("amount", 0, 0);
    CheckTimeOrder(reader, fault.at_ms);
    const std::string kind = reader.ReadText("kind", true);
    const auto known = std::find_if(
        kFaultNames.begin(), kFaultNames.end(),
        [&](const fault_name& entry) { return entry.name == kind; });
    if (known == kFaultNames.end())
      return reader.Report("kind", "is not a kind of fault",
                           "write a kind that docs/TRACE_FORMAT.md lists");
    fault.kind = known->kind;
    trace_.faults.push_back(std::move(fault));
  }

  std::string name_;
  int64_t line_ = 0;
  int64_t last_at_ms_ = 0;
  bool has_header_ = false;
  trace trace_;
  config::fault_list faults_;
};

void AddText(json_value& object,
             const std::string& name,
             const std::string& text) {
  if (!text.empty())
    object.Append(name, json_value(text));
}

void AddNumber(json_value& object, const std::string& name, int64_t number) {
  if (number != 0)
    object.Append(name, json_value(number));
}

json_value ToJson(const expectation& expected) {
  std::string outcome = "served";
  if (expected.outcome == stated_outcome::run_at_most_once)
    outcome = "run_at_most_once";
  if (expected.outcome == stated_outcome::refused)
    outcome = kRefusedPrefix + expected.refusal;
  json_value object{json_value::object{}};
  object.Append("outcome", json_value(outcome));
  AddNumber(object, "within_ms", expected.within_ms);
  return object;
}

json_value ToJson(const trace_request& request) {
  json_value object{json_value::object{}};
  object.Append("id", json_value(request.id));
  object.Append("at_ms", json_value(request.at_ms));
  object.Append("node", json_value(request.node));
  AddText(object, "team", request.team.value());
  AddText(object, "model", request.model.value());
  AddText(object, "adapter", request.adapter.value());
  AddNumber(object, "prefix", request.prefix);
  AddNumber(object, "prompt_tokens", request.prompt_tokens);
  AddNumber(object, "output_tokens", request.output_tokens);
  AddText(object, "method", request.method);
  AddText(object, "path", request.path);
  AddNumber(object, "deadline_ms", request.deadline_ms);
  AddText(object, "idempotency_key", request.idempotency_key);
  AddText(object, "body", request.body);
  if (request.expect)
    object.Append("expect", ToJson(*request.expect));
  return object;
}

json_value ToJson(const trace_fault& fault) {
  const auto known = std::find_if(
      kFaultNames.begin(), kFaultNames.end(),
      [&](const fault_name& entry) { return entry.kind == fault.kind; });
  json_value object{json_value::object{}};
  object.Append("at_ms", json_value(fault.at_ms));
  object.Append("kind", json_value(std::string(known->name)));
  AddText(object, "target", fault.target);
  AddNumber(object, "for_ms", fault.for_ms);
  AddNumber(object, "amount", fault.amount);
  return object;
}

json_value HeaderToJson(const trace& value) {
  json_value header{json_value::object{}};
  header.Append("trace_version", json_value(kTraceVersion));
  header.Append("nodes", json_value(value.nodes));
  header.Append("configuration",
                config::ParseJson(config::ToJson(value.site)).value());
  json_value cached{json_value::array{}};
  for (const cached_copy& copy : value.cached) {
    json_value entry{json_value::object{}};
    entry.Append("endpoint", json_value(copy.endpoint.value()));
    entry.Append("model", json_value(copy.model.value()));
    cached.Append("", std::move(entry));
  }
  header.Append("cached", std::move(cached));
  return header;
}

template <typename Event>
void WriteEvent(const std::string& name,
                const Event& event,
                std::ostream& out) {
  json_value line{json_value::object{}};
  line.Append(name, ToJson(event));
  out << config::WriteJson(line) << '\n';
}

}  // namespace

result<trace, config::fault_list> ReadTrace(const std::string& name,
                                            std::istream& in) {
  trace_reader reader(name);
  std::string line;
  while (std::getline(in, line))
    reader.ReadLine(line);
  return reader.Finish();
}

result<trace, config::fault_list> LoadTrace(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return config::fault_list{
        {path, "$", "cannot be read", "name a file that can be read"}};
  }
  return ReadTrace(path, in);
}

void WriteTrace(const trace& value, std::ostream& out) {
  out << config::WriteJson(HeaderToJson(value)) << '\n';
  auto request = value.requests.begin();
  auto fault = value.faults.begin();
  while (request != value.requests.end() || fault != value.faults.end()) {
    const bool fault_next =
        request == value.requests.end() ||
        (fault != value.faults.end() && fault->at_ms <= request->at_ms);
    if (fault_next)
      WriteEvent("fault", *fault++, out);
    else
      WriteEvent("request", *request++, out);
  }
}

}  // namespace jasminepath::replay
