#ifndef JASMINEPATH_TOOL_SRC_COMMANDS_H_
#define JASMINEPATH_TOOL_SRC_COMMANDS_H_

#include <string>
#include <vector>

#include "jasminepath/tool/command_line.h"
#include "jasminepath/tool/exit_code.h"

namespace jasminepath::tool {

// The arguments after the command's name.
using command_arguments = std::vector<std::string>;

exit_code RunCheck(const command_arguments& arguments, command_streams streams);
exit_code RunPublish(const command_arguments& arguments,
                     command_streams streams);
exit_code RunKeyGive(const command_arguments& arguments,
                     command_streams streams);
exit_code RunKeyWithdraw(const command_arguments& arguments,
                         command_streams streams);
exit_code RunKeyList(const command_arguments& arguments,
                     command_streams streams);
exit_code RunStatus(const command_arguments& arguments,
                    command_streams streams);
exit_code RunReportBurn(const command_arguments& arguments,
                        command_streams streams);
exit_code RunReplay(const command_arguments& arguments,
                    command_streams streams);
exit_code RunTraceMake(const command_arguments& arguments,
                       command_streams streams);
exit_code RunDrain(const command_arguments& arguments, command_streams streams);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_COMMANDS_H_
