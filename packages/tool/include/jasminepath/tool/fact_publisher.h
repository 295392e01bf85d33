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

// On which nodes a committed fact is known to be in force.
struct spread_report {
  // Nodes that the platform lists, or that confirmed.
  std::vector<push_outcome> nodes;
  // Nodes that registered, are not on the platform's list and did not confirm:
  // they have most likely ended.
  std::vector<push_outcome> unlisted;
  // False if the registered nodes could not be read.
  bool nodes_known = true;
  duration elapsed{};

  bool InForceEverywhere() const {
    return nodes_known &&
           std::all_of(nodes.begin(), nodes.end(),
                       [](const push_outcome& x) { return x.confirmed; });
  }

  friend bool operator==(const spread_report&, const spread_report&) = default;
};

// What is known after a fact was written and pushed.
struct fact_report {
  commit_report commit;
  // Empty unless committed.
  spread_report spread;

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

  // Blocks until every node has confirmed, or the push's wait is over.
  fact_report Run(const fact_write& write) {
    fact_report report;
    report.commit = fact_commit<Table, Pause>(table_, pause_).Run(write);
    if (report.commit.state == commit_state::committed)
      report.spread = Spread({write.key, write.value, report.commit.version});
    return report;
  }

  // Pushes a fact that is committed already.
  spread_report Spread(const pushed_fact& fact) {
    const time_point start = boot_clock::now();
    spread_report report;
    const auto rows = table_.ReadSince(platform::kInstancePrefix, revision(0));
    report.nodes_known = rows.has_value();
    if (!rows)
      return report;
    Sort(push_.Run(CurrentInstances(rows.value().rows), {fact}), report);
    report.elapsed = boot_clock::now() - start;
    return report;
  }

 private:
  void Sort(std::vector<push_outcome> outcomes, spread_report& report) {
    const auto listed = vms_.ListVms();
    for (push_outcome& outcome : outcomes) {
      const bool counts =
          outcome.confirmed || !listed ||
          std::any_of(listed.value().begin(), listed.value().end(),
                      [&](const platform::listed_vm& vm) {
                        return vm.id == outcome.target.vm;
                      });
      (counts ? report.nodes : report.unlisted).push_back(std::move(outcome));
    }
  }

  Table& table_;
  Vms& vms_;
  fact_push<Admin> push_;
  Pause pause_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_FACT_PUBLISHER_H_
