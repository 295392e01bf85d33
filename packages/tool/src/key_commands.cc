#include "command_options.h"
#include "commands.h"
#include "fleet_access.h"
#include "report_text.h"

namespace jasminepath::tool {

namespace {

exit_code WriteRefusal(key_refusal refusal, command_streams streams) {
  streams.err << "refused: " << ToString(refusal) << '\n';
  return exit_code::failed;
}

exit_code WriteIssuedKey(const key_issue_result& issued,
                         command_streams streams) {
  const config::team_key& record = issued.key.record;
  const commit_state state = issued.report.commit.state;
  if (state == commit_state::committed) {
    streams.out << "key: " << issued.key.presented << '\n';
    streams.err << "the key is shown only once; only its digest is stored\n";
  } else if (state == commit_state::unknown) {
    streams.err << "a key with id " << record.id
                << " may have been created; its secret is not shown. Withdraw "
                   "it before you issue another\n";
  }
  return WriteFactReport(issued.report, "key " + record.id.value(), streams);
}

}  // namespace

exit_code RunKeyGive(const command_arguments& arguments,
                     command_streams streams) {
  option_spec spec;
  spec.usage = "key give --team TEAM";
  spec.needs_platform = true;
  spec.needs_token = true;
  spec.takes_team = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  if (options.value().team.empty())
    return WriteUsage({"--team TEAM is missing", ""}, streams);
  fleet_access fleet(options.value().platform, options.value());
  platform_key_actions actions(fleet.platform(), fleet.publisher());
  const auto issued = actions.Issue(team_id(options.value().team));
  return issued ? WriteIssuedKey(issued.value(), streams)
                : WriteRefusal(issued.error(), streams);
}

exit_code RunKeyWithdraw(const command_arguments& arguments,
                         command_streams streams) {
  option_spec spec;
  spec.usage = "key withdraw KEY_ID";
  spec.positional = "KEY_ID";
  spec.needs_platform = true;
  spec.needs_token = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  // If the operator passes a whole key, its secret must not appear in messages.
  const std::string& key_text = options.value().positional;
  const key_id id(key_text.substr(0, key_text.find('.')));
  fleet_access fleet(options.value().platform, options.value());
  platform_key_actions actions(fleet.platform(), fleet.publisher());
  const auto report = actions.Withdraw(id);
  return report ? WriteFactReport(report.value(),
                                  "withdrawal of key " + id.value(), streams)
                : WriteRefusal(report.error(), streams);
}

exit_code RunKeyList(const command_arguments& arguments,
                     command_streams streams) {
  option_spec spec;
  spec.usage = "key list";
  spec.needs_platform = true;
  spec.takes_team = true;
  const auto options = ParseOptions(spec, arguments);
  if (!options)
    return WriteUsage(options.error(), streams);
  fleet_access fleet(options.value().platform, options.value());
  platform_key_actions actions(fleet.platform(), fleet.publisher());
  const auto keys = actions.List();
  if (!keys)
    return WriteRefusal(keys.error(), streams);
  const team_id wanted(options.value().team);
  for (const config::team_key& key : keys.value()) {
    if (wanted.empty() || key.team == wanted) {
      streams.out << "id=" << key.id << " team=" << key.team
                  << " state=" << (key.withdrawn ? "withdrawn" : "valid")
                  << '\n';
    }
  }
  return exit_code::done;
}

}  // namespace jasminepath::tool
