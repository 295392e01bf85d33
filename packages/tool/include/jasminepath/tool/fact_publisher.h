#ifndef JASMINEPATH_TOOL_FACT_PUBLISHER_H_
#define JASMINEPATH_TOOL_FACT_PUBLISHER_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "jasminepath/platform/ports.h"
#include "jasminepath/platform/table_keys.h"
#include "jasminepath/tool/fact_commit.h"
#include "jasminepath/tool/fact_push.h"
#include "jasminepath/tool/node_instance.h"

namespace jasminepath::tool {

// The nodes on which a committed fact is known to be in force.
struct push_report {
  // Nodes that confirmed or whose VM the platform lists. All registered nodes
  // if the list cannot be read.
  std::vector<push_outcome> nodes;
  // Registered nodes that did not confirm and whose VM the platform does not
  // list; they have most likely stopped.
  std::vector<push_outcome> unlisted;
  // False if the list of registered nodes could not be read.
  bool has_node_list = true;
  duration elapsed{};

  bool IsInForceEverywhere() const {
    return has_node_list &&
           std::all_of(nodes.begin(), nodes.end(),
                       [](const push_outcome& x) { return x.is_confirmed; });
  }

  friend bool operator==(const push_report&, const push_report&) = default;
};

// The result of writing and pushing a fact.
struct fact_report {
  commit_report commit;
  // Empty unless the fact was committed.
  push_report push;

  friend bool operator==(const fact_report&, const fact_report&) = default;
};

// Commits a fact to the platform's table and pushes it to every node.
template <platform::table_port Table,
          platform::vm_list_port Vms,
          fact_push_port Admin,
          typename Pause>
class fact_publisher {
 public:
  // The arguments must outlive the publisher.
  fact_publisher(Table& table,
                 Vms& vms,
                 const Admin& admin,
                 push_limits limits,
                 Pause pause)
      : table_(table), vms_(vms), push_(admin, limits), pause_(pause) {}

  // Blocks until every node has confirmed or the push times out.
  fact_report Run(const fact_write& write) {
    fact_report report;
    report.commit = fact_commit<Table, Pause>(table_, pause_).Run(write);
    if (report.commit.state == commit_state::committed)
      report.push = Push({write.key, write.value, report.commit.version});
    return report;
  }

  // Pushes a fact that is already committed.
  push_report Push(const pushed_fact& fact) {
    const time_point start = boot_clock::now();
    push_report report;
    const auto rows = table_.ReadSince(platform::kInstancePrefix, revision(0));
    report.has_node_list = rows.has_value();
    if (!rows)
      return report;
    SplitByListing(push_.Run(CurrentInstances(rows.value().rows), {fact}),
                   report);
    report.elapsed = boot_clock::now() - start;
    return report;
  }

 private:
  void SplitByListing(std::vector<push_outcome> outcomes, push_report& report) {
    const auto listed = vms_.ListVms();
    for (push_outcome& outcome : outcomes) {
      const bool is_expected =
          outcome.is_confirmed || !listed ||
          std::any_of(listed.value().begin(), listed.value().end(),
                      [&](const platform::listed_vm& vm) {
                        return vm.id == outcome.target.vm;
                      });
      (is_expected ? report.nodes : report.unlisted)
          .push_back(std::move(outcome));
    }
  }

  Table& table_;
  Vms& vms_;
  fact_push<Admin> push_;
  Pause pause_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_FACT_PUBLISHER_H_
