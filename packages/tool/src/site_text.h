#ifndef JASMINEPATH_TOOL_SRC_SITE_TEXT_H_
#define JASMINEPATH_TOOL_SRC_SITE_TEXT_H_

#include <ostream>
#include <string>
#include <vector>

#include "jasminepath/config/fault.h"
#include "jasminepath/config/site_loader.h"
#include "jasminepath/tool/command_line.h"

namespace jasminepath::tool {

// Writes each fault on its own line. Returns exit_code::usage.
exit_code WriteFaults(const config::fault_list& faults,
                      command_streams streams);

// Writes the numbers of services, endpoints, models and teams of a site.
void WriteSummary(const config::site& site, std::ostream& out);

// Writes each line with an indent.
void WriteLines(const std::vector<std::string>& lines, std::ostream& out);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_SITE_TEXT_H_
