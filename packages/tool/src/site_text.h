#ifndef JASMINEPATH_TOOL_SRC_SITE_TEXT_H_
#define JASMINEPATH_TOOL_SRC_SITE_TEXT_H_

#include <ostream>
#include <string>
#include <vector>

#include "jasminepath/config/fault.h"
#include "jasminepath/config/site_loader.h"
#include "jasminepath/tool/command_line.h"

namespace jasminepath::tool {

// Writes each fault on a line and returns the code for faulty files.
exit_code WriteFaults(const config::fault_list& faults,
                      command_streams streams);

// Writes how many services, endpoints, models and teams a site has.
void WriteSummary(const config::site& site, std::ostream& out);

// Writes lines, each indented.
void WriteLines(const std::vector<std::string>& lines, std::ostream& out);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_SITE_TEXT_H_
