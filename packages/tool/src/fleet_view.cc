#include "fleet_view.h"

#include <map>
#include <string>
#include <string_view>

namespace jasminepath::tool {

namespace {

using config::json_member;
using config::json_value;

// What all nodes together hold and count of one team.
struct team_sum {
  int64_t share_ppm = 0;
  int64_t admitted = 0;
  int64_t answered = 0;
  int64_t used_tokens = 0;
  int64_t available_tokens = 0;
};

// The items of an array member; none if it is missing.
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

std::string Shown(const json_value& value) {
  const std::string* text = value.AsString();
  return text != nullptr ? *text : config::WriteJson(value);
}

// Writes the members that are neither arrays nor objects.
void WriteScalars(const json_value& object, std::ostream& out) {
  for (const json_member& member : *object.AsObject()) {
    const bool is_scalar =
        member.value.AsArray() == nullptr && member.value.AsObject() == nullptr;
    if (is_scalar)
      out << ' ' << member.name << '=' << Shown(member.value);
  }
}

void WriteNode(const node_answer& answer, std::ostream& out) {
  out << "node:";
  if (answer.document) {
    WriteScalars(*answer.document, out);
  } else {
    out << " instance=" << answer.node.id << " vm=" << answer.node.vm
        << " zone=" << answer.node.zone << " unreachable=\"" << answer.problem
        << '"';
  }
  out << '\n';
}

std::map<std::string, team_sum> SumTeams(
    const std::vector<node_answer>& answers) {
  std::map<std::string, team_sum> sums;
  for (const node_answer& answer : answers) {
    if (!answer.document)
      continue;
    for (const json_value& share : Items(*answer.document, "shares"))
      sums[share.StringOr("team", "")].share_ppm += share.IntegerOr("ppm", 0);
    for (const json_value& team : Items(*answer.document, "teams")) {
      team_sum& sum = sums[team.StringOr("team", "")];
      sum.admitted += team.IntegerOr("admitted", 0);
      sum.answered += team.IntegerOr("answered", 0);
      sum.used_tokens += team.IntegerOr("used_tokens", 0);
      sum.available_tokens += team.IntegerOr("available_tokens", 0);
    }
  }
  return sums;
}

void WriteTeams(const std::vector<node_answer>& answers, std::ostream& out) {
  for (const auto& [team, sum] : SumTeams(answers)) {
    out << "team: team=" << team << " share_ppm=" << sum.share_ppm
        << " admitted=" << sum.admitted << " answered=" << sum.answered
        << " used_tokens=" << sum.used_tokens
        << " available_tokens=" << sum.available_tokens << '\n';
  }
}

// The text members named `member` of all items, joined.
std::string Joined(const json_value::array& items, std::string_view member) {
  std::string text;
  for (const json_value& item : items) {
    const std::string part =
        member.empty() ? Shown(item) : item.StringOr(member, "?");
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
    out << " models=" << Joined(Items(vm, "models"), "") << '\n';
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

void WriteFleetView(const std::vector<node_answer>& answers,
                    std::ostream& out) {
  for (const node_answer& answer : answers)
    WriteNode(answer, out);
  WriteTeams(answers, out);
  for (const node_answer& answer : answers) {
    if (answer.document)
      WriteHeldVms(*answer.document, out);
  }
  for (const node_answer& answer : answers) {
    if (answer.document)
      WriteHeldModels(*answer.document, out);
  }
}

}  // namespace jasminepath::tool
