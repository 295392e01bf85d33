#include "report_text.h"

namespace jasminepath::tool {

namespace {

void WriteNode(const push_outcome& outcome,
               const std::string& state,
               std::ostream& out) {
  out << state << ": vm=" << outcome.target.vm
      << " instance=" << outcome.target.id
      << " address=" << outcome.target.admin_address << " reason=\""
      << outcome.problem << "\"\n";
}

std::size_t CountConfirmed(const push_report& push) {
  return static_cast<std::size_t>(std::count_if(
      push.nodes.begin(), push.nodes.end(),
      [](const push_outcome& item) { return item.is_confirmed; }));
}

void WriteUncommitted(const commit_report& commit,
                      const std::string& fact_name,
                      std::ostream& err) {
  switch (commit.state) {
    case commit_state::committed:
      return;
    case commit_state::superseded:
      err << "refused: another operator changed the " << fact_name << " first";
      if (commit.current)
        err << "; it is now at revision " << commit.current->version;
      err << '\n';
      if (commit.may_have_applied)
        err << "an earlier attempt of this command may have been in force "
               "before that change\n";
      return;
    case commit_state::not_committed:
      err << "failed: the " << fact_name
          << " was not committed; the platform was unreachable or refused it\n";
      return;
    case commit_state::unknown:
      err << "unknown: the platform's response was lost and the platform "
             "cannot be reached now; the "
          << fact_name
          << " may or may not be committed. Run the command again\n";
      return;
  }
}

}  // namespace

void WritePushReport(const push_report& push, std::ostream& out) {
  if (!push.has_node_list) {
    out << "the list of registered nodes cannot be read; it is unknown on "
           "which nodes the change is in force\n";
    return;
  }
  out << "in force on " << CountConfirmed(push) << " of " << push.nodes.size()
      << " nodes after " << ToMilliseconds(push.elapsed) << " ms\n";
  for (const push_outcome& outcome : push.nodes) {
    if (!outcome.is_confirmed)
      WriteNode(outcome, "not confirmed", out);
  }
  for (const push_outcome& outcome : push.unlisted)
    WriteNode(outcome, "not confirmed, VM not on the platform's list", out);
}

exit_code WriteFactReport(const fact_report& report,
                          const std::string& fact_name,
                          command_streams streams) {
  if (report.commit.state != commit_state::committed) {
    WriteUncommitted(report.commit, fact_name, streams.err);
    return exit_code::failed;
  }
  streams.out << "committed: " << fact_name << " at revision "
              << report.commit.version << '\n';
  WritePushReport(report.push, streams.out);
  if (report.push.IsInForceEverywhere())
    return exit_code::done;
  streams.err << "the " << fact_name
              << " is committed, but not every node has confirmed it; running "
                 "nodes will receive it from each other. Run the command again "
                 "to push it again\n";
  return exit_code::failed;
}

}  // namespace jasminepath::tool
