#ifndef JASMINEPATH_TOOL_SRC_REPORT_TEXT_H_
#define JASMINEPATH_TOOL_SRC_REPORT_TEXT_H_

#include <ostream>

#include "jasminepath/tool/command_line.h"
#include "jasminepath/tool/exit_code.h"
#include "jasminepath/tool/fact_publisher.h"

namespace jasminepath::tool {

// Writes on how many nodes a committed fact is in force, and which nodes did
// not confirm it.
void WritePushReport(const push_report& push, std::ostream& out);

// Writes the result of writing a fact. `fact_name` appears in the messages, for
// example "configuration". Returns `done` only if the fact is in force on every
// node.
exit_code WriteFactReport(const fact_report& report,
                          const std::string& fact_name,
                          command_streams streams);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_REPORT_TEXT_H_
