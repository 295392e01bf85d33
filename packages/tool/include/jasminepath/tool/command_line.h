#ifndef JASMINEPATH_TOOL_COMMAND_LINE_H_
#define JASMINEPATH_TOOL_COMMAND_LINE_H_

#include <ostream>
#include <string>
#include <vector>

#include "jasminepath/tool/exit_code.h"

namespace jasminepath::tool {

// The streams for a command's output and its errors.
struct command_streams {
  std::ostream& out;
  std::ostream& err;
};

// Runs the operator's tool. `arguments` does not contain the program name.
exit_code RunCommandLine(const std::vector<std::string>& arguments,
                         command_streams streams);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_COMMAND_LINE_H_
