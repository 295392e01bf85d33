#include "jasminepath/config/team_key_codec.h"

#include "jasminepath/base/digest.h"
#include "jasminepath/base/random.h"
#include "object_reader.h"
#include "text_file.h"

namespace jasminepath::config {

namespace {

constexpr std::size_t kKeyIdBytes = 8;
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kHexCharactersPerByte = 2;

bool IsHex(std::string_view text, std::size_t byte_count) {
  return text.size() == byte_count * kHexCharactersPerByte &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

std::string ToJson(const team_key& key) {
  const json_value::object members = {
      {"id", json_value(key.id.value())},
      {"team", json_value(key.team.value())},
      {"secret_digest", json_value(key.secret_digest)},
      {"withdrawn", json_value(key.withdrawn)}};
  return WriteJson(json_value(members));
}

result<team_key, fault_list> TeamKeyFromJson(const std::string& json) {
  fault_collector faults("");
  const std::optional<json_value> document = ParseDocument(json, faults);
  if (!document)
    return failure(faults.faults());
  object_reader reader(*document, "$", faults);
  team_key key;
  key.id = key_id(reader.Name("id"));
  key.team = team_id(reader.Name("team"));
  key.secret_digest = reader.String("secret_digest");
  if (!key.secret_digest.empty() && !IsHex(key.secret_digest, kSecretBytes)) {
    reader.Report("secret_digest", "is not a SHA-256 digest",
                  "write 64 lower-case hexadecimal characters");
  }
  key.withdrawn = reader.Bool("withdrawn", false);
  reader.Finish();
  if (!faults.empty())
    return failure(faults.faults());
  return key;
}

issued_key IssueTeamKey(const team_id& team) {
  const std::string id = SecureRandomHex(kKeyIdBytes);
  const std::string secret = SecureRandomHex(kSecretBytes);
  issued_key issued;
  issued.record.id = key_id(id);
  issued.record.team = team;
  issued.record.secret_digest = Sha256Hex(secret);
  issued.presented = id + "." + secret;
  return issued;
}

std::optional<presented_key> ParsePresentedKey(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos)
    return std::nullopt;
  const presented_key key{text.substr(0, dot), text.substr(dot + 1)};
  if (!IsHex(key.id, kKeyIdBytes) || !IsHex(key.secret, kSecretBytes))
    return std::nullopt;
  return key;
}

}  // namespace jasminepath::config
