#include "fleet_view.h"

#include <map>
#include <string>
#include <string_view>

namespace jasminepath::tool {

namespace {

using config::json_member;
using config::json_value;

// Sums over all nodes for one team.
struct team_totals {
  int64_t share_ppm = 0;
  int64_t admitted = 0;
  int64_t answered = 0;
  int64_t used_tokens = 0;
  int64_t available_tokens = 0;
};

// Returns the items of an array member, or no items if it is missing.
const json_value::array& Items(const json_value& object,
                               std::string_view member) {
  static const json_value::array kNone;
  const json_value* value = object.Find(member);
  const json_value::array* items =
      value != nullptr ? value->AsArray() : nullptr;
  return items != nullptr ? *items : kNone;
}

bool IsTrue(const json_value& object, std::string_view member) {
  const json_value* value = object.Find(member);
  return value != nullptr && value->AsBool() != nullptr && *value->AsBool();
}

std::string ToText(const json_value& value) {
  const std::string* text = value.AsString();
  return text != nullptr ? *text : config::WriteJson(value);
}

// Writes the members that are neither arrays nor objects.
void WriteScalars(const json_value& object, std::ostream& out) {
  for (const json_member& member : *object.AsObject()) {
    const bool is_scalar =
        member.value.AsArray() == nullptr && member.value.AsObject() == nullptr;
    if (is_scalar)
      out << ' ' << member.name << '=' << ToText(member.value);
  }
}

void WriteNode(const node_response& response, std::ostream& out) {
  out << "node:";
  if (response.document) {
    WriteScalars(*response.document, out);
  } else {
    out << " instance=" << response.node.id << " vm=" << response.node.vm
        << " zone=" << response.node.zone << " unreachable=\""
        << response.problem << '"';
  }
  out << '\n';
}

std::map<std::string, team_totals> SumTeams(
    const std::vector<node_response>& responses) {
  std::map<std::string, team_totals> sums;
  for (const node_response& response : responses) {
    if (!response.document)
      continue;
    for (const json_value& share : Items(*response.document, "shares"))
      sums[share.StringOr("team", "")].share_ppm += share.IntegerOr("ppm", 0);
    for (const json_value& team : Items(*response.document, "teams")) {
      team_totals& sum = sums[team.StringOr("team", "")];
      sum.admitted += team.IntegerOr("admitted", 0);
      sum.answered += team.IntegerOr("answered", 0);
      sum.used_tokens += team.IntegerOr("used_tokens", 0);
      sum.available_tokens += team.IntegerOr("available_tokens", 0);
    }
  }
  return sums;
}

void WriteTeams(const std::vector<node_response>& responses,
                std::ostream& out) {
  for (const auto& [team, sum] : SumTeams(responses)) {
    out << "team: team=" << team << " share_ppm=" << sum.share_ppm
        << " admitted=" << sum.admitted << " answered=" << sum.answered
        << " used_tokens=" << sum.used_tokens
        << " available_tokens=" << sum.available_tokens << '\n';
  }
}

// Joins the string member `member` of all items, or the items themselves if
// `member` is empty.
std::string Join(const json_value::array& items, std::string_view member) {
  std::string text;
  for (const json_value& item : items) {
    const std::string part =
        member.empty() ? ToText(item) : item.StringOr(member, "?");
    text += (text.empty() ? "" : ",") + part;
  }
  return text.empty() ? "-" : text;
}

void WriteHeldVms(const json_value& status, std::ostream& out) {
  for (const json_value& vm : Items(status, "vms")) {
    if (!IsTrue(vm, "held"))
      continue;
    out << "vm:";
    WriteScalars(vm, out);
    out << " models=" << Join(Items(vm, "models"), "") << '\n';
  }
}

void WriteHeldModels(const json_value& status, std::ostream& out) {
  for (const json_value& model : Items(status, "models")) {
    if (!IsTrue(model, "held"))
      continue;
    out << "model:";
    WriteScalars(model, out);
    out << " replicas=";
    const json_value::array& replicas = Items(model, "replicas");
    for (const json_value& replica : replicas) {
      out << replica.StringOr("vm", "?") << ':'
          << replica.StringOr("state", "?") << ' ';
    }
    out << (replicas.empty() ? "-\n" : "\n");
  }
}

}  // namespace

void WriteFleetView(const std::vector<node_response>& responses,
                    std::ostream& out) {
  for (const node_response& response : responses)
    WriteNode(response, out);
  WriteTeams(responses, out);
  for (const node_response& response : responses) {
    if (response.document)
      WriteHeldVms(*response.document, out);
  }
  for (const node_response& response : responses) {
    if (response.document)
      WriteHeldModels(*response.document, out);
  }
}

}  // namespace jasminepath::tool
