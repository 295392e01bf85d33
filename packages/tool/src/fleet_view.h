#ifndef JASMINEPATH_TOOL_SRC_FLEET_VIEW_H_
#define JASMINEPATH_TOOL_SRC_FLEET_VIEW_H_

#include <ostream>
#include <vector>

#include "fleet_query.h"

namespace jasminepath::tool {

// Merges the status of all nodes into one view with a line of key=value pairs
// for each node, team, VM and model. The values of a VM or model come from the
// node that holds it; it is omitted if no reachable node holds it. The values
// of teams are summed over the nodes.
void WriteFleetView(const std::vector<node_response>& responses,
                    std::ostream& out);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_FLEET_VIEW_H_
