#ifndef JASMINEPATH_TOOL_KEY_ACTIONS_H_
#define JASMINEPATH_TOOL_KEY_ACTIONS_H_

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/config/configuration_codec.h"
#include "jasminepath/config/configuration_index.h"
#include "jasminepath/config/team_key_codec.h"
#include "jasminepath/platform/ports.h"
#include "jasminepath/platform/table_keys.h"
#include "jasminepath/tool/fact_publisher.h"
#include "jasminepath/tool/published_configuration.h"

namespace jasminepath::tool {

// Why an action on keys was refused. Refused actions change nothing.
enum class key_refusal {
  nothing_published,
  unknown_team,
  unknown_key,
  malformed_row,
  platform_unavailable,
};

// Returns a message of one line for the operator.
std::string ToString(key_refusal refusal);

// A new key and the result of publishing its record.
struct key_issue_result {
  config::issued_key key;
  fact_report report;

  friend bool operator==(const key_issue_result&,
                         const key_issue_result&) = default;
};

// Issues and withdraws team keys. `Publisher` is a fact_publisher.
template <platform::table_port Table, typename Publisher>
class key_actions {
 public:
  key_actions(Table& table, Publisher& publisher)
      : table_(table), publisher_(publisher) {}

  // Issues a key for a team of the published configuration.
  result<key_issue_result, key_refusal> Issue(const team_id& team) {
    const auto published = ReadPublishedConfiguration(table_);
    if (!published)
      return failure(key_refusal::platform_unavailable);
    if (published.value().version == revision(0))
      return failure(key_refusal::nothing_published);
    const auto configuration = config::ConfigurationFromJson(
        published.value().value, published.value().version);
    if (!configuration)
      return failure(key_refusal::malformed_row);
    if (config::FindTeam(configuration.value(), team) == nullptr)
      return failure(key_refusal::unknown_team);
    key_issue_result issued;
    issued.key = config::IssueTeamKey(team);
    issued.report =
        publisher_.Run({platform::TeamKeyRow(issued.key.record.id),
                        config::ToJson(issued.key.record), revision(0)});
    return issued;
  }

  // Withdraws a key. If the key is already withdrawn, its record is pushed
  // again.
  result<fact_report, key_refusal> Withdraw(const key_id& id) {
    fact_report report;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      const auto row = ReadRow(table_, platform::TeamKeyRow(id));
      if (!row)
        return failure(key_refusal::platform_unavailable);
      if (row.value().version == revision(0))
        return failure(key_refusal::unknown_key);
      auto key = config::TeamKeyFromJson(row.value().value);
      if (!key)
        return failure(key_refusal::malformed_row);
      if (key.value().withdrawn)
        return PushAgain(row.value());
      key.value().withdrawn = true;
      report = publisher_.Run(
          {row.value().key, config::ToJson(key.value()), row.value().version});
      if (report.commit.state != commit_state::superseded)
        break;
    }
    return report;
  }

  // Returns all keys ordered by id, including withdrawn ones. Skips malformed
  // rows.
  result<std::vector<config::team_key>, key_refusal> List() {
    const auto page = table_.ReadSince(platform::kTeamKeyPrefix, revision(0));
    if (!page)
      return failure(key_refusal::platform_unavailable);
    std::vector<config::team_key> keys;
    for (const platform::table_row& row : page.value().rows) {
      auto key = config::TeamKeyFromJson(row.value);
      if (!row.deleted && key)
        keys.push_back(std::move(key).value());
    }
    std::sort(keys.begin(), keys.end(),
              [](const config::team_key& a, const config::team_key& b) {
                return a.id < b.id;
              });
    return keys;
  }

 private:
  static constexpr int kMaxAttempts = 3;

  fact_report PushAgain(const platform::table_row& row) {
    fact_report report;
    report.commit.state = commit_state::committed;
    report.commit.version = row.version;
    report.push = publisher_.Push({row.key, row.value, row.version});
    return report;
  }

  Table& table_;
  Publisher& publisher_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_KEY_ACTIONS_H_
