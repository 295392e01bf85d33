#include "row_codec.h"

#include <cstdint>
#include <string_view>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::node {
namespace {

using config::json_member;
using config::json_value;

json_member TextMember(const char* name, const std::string& value) {
  return {name, json_value(value)};
}

json_member NumberMember(const char* name, int64_t value) {
  return {name, json_value(value)};
}

std::string WriteObject(json_value::object members) {
  return config::WriteJson(json_value(std::move(members)));
}

// Returns the root of the document, or nullopt if it is not an object.
std::optional<json_value> ParseObject(const std::string& text) {
  auto root = config::ParseJson(text);
  if (!root || root.value().AsObject() == nullptr)
    return std::nullopt;
  return std::move(root.value());
}

bool HasText(const json_value& root, std::string_view name) {
  const json_value* member = root.Find(name);
  return member != nullptr && member->AsString() != nullptr;
}

bool HasNumber(const json_value& root, std::string_view name) {
  const json_value* member = root.Find(name);
  return member != nullptr && member->AsInteger() != nullptr;
}

const char* NameOf(decision::claim_state state) {
  switch (state) {
    case decision::claim_state::claimed:
      return "claimed";
    case decision::claim_state::recorded:
      return "recorded";
    case decision::claim_state::unknown:
      return "unknown";
  }
  return "unknown";
}

// A state written by a newer node is decoded as `unknown`, so that the call is
// not sent again.
decision::claim_state ClaimStateOf(const std::string& name) {
  if (name == "claimed")
    return decision::claim_state::claimed;
  if (name == "recorded")
    return decision::claim_state::recorded;
  return decision::claim_state::unknown;
}

const char* NameOf(decision::quarantine_state state) {
  switch (state) {
    case decision::quarantine_state::suspect:
      return "suspect";
    case decision::quarantine_state::quarantined:
      return "quarantined";
    case decision::quarantine_state::cleared:
      return "cleared";
  }
  return "quarantined";
}

decision::quarantine_state QuarantineStateOf(const std::string& name) {
  if (name == "suspect")
    return decision::quarantine_state::suspect;
  if (name == "cleared")
    return decision::quarantine_state::cleared;
  return decision::quarantine_state::quarantined;
}

}  // namespace

std::string EncodeInstance(const decision::instance_record& record) {
  return WriteObject({TextMember("instance", record.id.value()),
                      TextMember("vm", record.vm.value()),
                      TextMember("zone", record.zone.value()),
                      TextMember("mesh_address", record.mesh_address),
                      TextMember("caller_address", record.caller_address),
                      TextMember("admin_address", record.admin_address),
                      NumberMember("started", record.started),
                      {"vm_listed", json_value(record.vm_listed)}});
}

std::optional<decision::instance_record> DecodeInstance(
    const std::string& text) {
  const auto root = ParseObject(text);
  if (!root || !HasText(*root, "instance") || !HasText(*root, "vm"))
    return std::nullopt;
  decision::instance_record record;
  record.id = instance_id(root->StringOr("instance", ""));
  record.vm = vm_id(root->StringOr("vm", ""));
  record.zone = zone_id(root->StringOr("zone", ""));
  record.mesh_address = root->StringOr("mesh_address", "");
  record.caller_address = root->StringOr("caller_address", "");
  record.admin_address = root->StringOr("admin_address", "");
  record.started = root->IntegerOr("started", 0);
  const json_value* listed = root->Find("vm_listed");
  record.vm_listed =
      listed != nullptr && listed->AsBool() != nullptr && *listed->AsBool();
  return record;
}

std::string EncodeShare(const decision::share_record& record) {
  json_value::array parts;
  for (const decision::share_part& part : record.parts) {
    parts.push_back(json_value(
        json_value::object{TextMember("instance", part.instance.value()),
                           NumberMember("ppm", part.ppm)}));
  }
  return WriteObject({{"parts", json_value(std::move(parts))}});
}

std::optional<decision::share_record> DecodeShare(const std::string& text) {
  const auto root = ParseObject(text);
  if (!root)
    return std::nullopt;
  const json_value* parts = root->Find("parts");
  if (parts == nullptr || parts->AsArray() == nullptr)
    return std::nullopt;
  decision::share_record record;
  for (const json_value& part : *parts->AsArray()) {
    if (!HasText(part, "instance") || !HasNumber(part, "ppm"))
      return std::nullopt;
    record.parts.push_back(
        {instance_id(part.StringOr("instance", "")), part.IntegerOr("ppm", 0)});
  }
  return record;
}

std::string EncodeAuthority(const decision::authority_record& record) {
  return WriteObject({TextMember("holder", record.holder.value()),
                      NumberMember("epoch", record.number.count())});
}

std::optional<decision::authority_record> DecodeAuthority(
    const std::string& text) {
  const auto root = ParseObject(text);
  if (!root || !HasText(*root, "holder") || !HasNumber(*root, "epoch"))
    return std::nullopt;
  return decision::authority_record{instance_id(root->StringOr("holder", "")),
                                    epoch(root->IntegerOr("epoch", 0))};
}

std::string EncodeClaim(const decision::claim_record& record) {
  return WriteObject({TextMember("nonce", record.nonce),
                      TextMember("body_digest", record.body_digest),
                      TextMember("state", NameOf(record.state)),
                      TextMember("answer_object", record.answer_object),
                      TextMember("owner", record.owner.value()),
                      NumberMember("created_unix_s", record.created_unix_s)});
}

std::optional<decision::claim_record> DecodeClaim(const std::string& text) {
  const auto root = ParseObject(text);
  if (!root || !HasText(*root, "nonce") || !HasText(*root, "state"))
    return std::nullopt;
  decision::claim_record record;
  record.nonce = root->StringOr("nonce", "");
  record.body_digest = root->StringOr("body_digest", "");
  record.state = ClaimStateOf(root->StringOr("state", ""));
  record.answer_object = root->StringOr("answer_object", "");
  record.owner = instance_id(root->StringOr("owner", ""));
  record.created_unix_s = root->IntegerOr("created_unix_s", 0);
  return record;
}

std::string EncodeQuarantine(const decision::quarantine_record& record) {
  return WriteObject(
      {TextMember("fingerprint", record.fingerprint.value()),
       TextMember("state", NameOf(record.state)),
       TextMember("endpoint", record.endpoint.value()),
       TextMember("author", record.author.value()),
       TextMember("trial", record.trial.value()),
       NumberMember("lifetime_ms", ToMilliseconds(record.lifetime))});
}

std::optional<decision::quarantine_record> DecodeQuarantine(
    const std::string& text) {
  const auto root = ParseObject(text);
  if (!root || !HasText(*root, "fingerprint") || !HasText(*root, "state"))
    return std::nullopt;
  decision::quarantine_record record;
  record.fingerprint =
      decision::request_fingerprint(root->StringOr("fingerprint", ""));
  record.state = QuarantineStateOf(root->StringOr("state", ""));
  record.endpoint = endpoint_id(root->StringOr("endpoint", ""));
  record.author = instance_id(root->StringOr("author", ""));
  record.trial = request_id(root->StringOr("trial", ""));
  record.lifetime = Milliseconds(root->IntegerOr("lifetime_ms", 0));
  return record;
}

}  // namespace jasminepath::node
