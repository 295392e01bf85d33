#ifndef JASMINEPATH_TOOL_SRC_REPORT_TEXT_H_
#define JASMINEPATH_TOOL_SRC_REPORT_TEXT_H_

#include <ostream>

#include "jasminepath/tool/command_line.h"
#include "jasminepath/tool/exit_code.h"
#include "jasminepath/tool/fact_publisher.h"

namespace jasminepath::tool {

// Says on how many of which nodes a committed fact is in force, and which did
// not confirm.
void WriteSpread(const spread_report& spread, std::ostream& out);

// Says what is known of a written fact; `what` names it, for example
// "configuration". Returns done only if it is in force on every node.
exit_code WriteFactReport(const fact_report& report,
                          const std::string& what,
                          command_streams streams);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_REPORT_TEXT_H_
