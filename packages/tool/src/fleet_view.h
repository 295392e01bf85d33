#ifndef JASMINEPATH_TOOL_SRC_FLEET_VIEW_H_
#define JASMINEPATH_TOOL_SRC_FLEET_VIEW_H_

#include <ostream>
#include <vector>

#include "fleet_query.h"

namespace jasminepath::tool {

// Merges the status of all nodes into one view, a line of key=value pairs for
// each node, team, VM and model. A VM or model is shown as its holder sees it,
// and left out if no reached node holds it; teams are summed over the nodes.
void WriteFleetView(const std::vector<node_answer>& answers, std::ostream& out);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_FLEET_VIEW_H_
