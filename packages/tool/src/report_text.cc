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

std::size_t CountConfirmed(const spread_report& spread) {
  return static_cast<std::size_t>(
      std::count_if(spread.nodes.begin(), spread.nodes.end(),
                    [](const push_outcome& item) { return item.confirmed; }));
}

void WriteUncommitted(const commit_report& commit,
                      const std::string& what,
                      std::ostream& err) {
  switch (commit.state) {
    case commit_state::committed:
      return;
    case commit_state::superseded:
      err << "refused: another operator changed the " << what << " first";
      if (commit.current)
        err << "; it is now at revision " << commit.current->version;
      err << '\n';
      if (commit.may_have_applied)
        err << "an earlier attempt of ours may have been in force before\n";
      return;
    case commit_state::not_committed:
      err << "failed: the " << what
          << " was not committed; the platform cannot be reached or refused "
             "it\n";
      return;
    case commit_state::unknown:
      err << "unknown: the platform's answer was lost and it cannot be asked "
             "now; the "
          << what << " may or may not be committed. Run the command again\n";
      return;
  }
}

}  // namespace

void WriteSpread(const spread_report& spread, std::ostream& out) {
  if (!spread.nodes_known) {
    out << "the platform's list of nodes cannot be read: on which nodes it is "
           "in force is not known\n";
    return;
  }
  out << "in force on " << CountConfirmed(spread) << " of "
      << spread.nodes.size() << " nodes after "
      << ToMilliseconds(spread.elapsed) << " ms\n";
  for (const push_outcome& outcome : spread.nodes) {
    if (!outcome.confirmed)
      WriteNode(outcome, "not confirmed", out);
  }
  for (const push_outcome& outcome : spread.unlisted)
    WriteNode(outcome, "not on the platform's list, no answer", out);
}

exit_code WriteFactReport(const fact_report& report,
                          const std::string& what,
                          command_streams streams) {
  if (report.commit.state != commit_state::committed) {
    WriteUncommitted(report.commit, what, streams.err);
    return exit_code::failed;
  }
  streams.out << "committed: " << what << " at revision "
              << report.commit.version << '\n';
  WriteSpread(report.spread, streams.out);
  if (report.spread.InForceEverywhere())
    return exit_code::done;
  streams.err << "the " << what
              << " is committed, but not every node has confirmed it; nodes "
                 "that run will take it over from each other. Run the command "
                 "again to ask them\n";
  return exit_code::failed;
}

}  // namespace jasminepath::tool
