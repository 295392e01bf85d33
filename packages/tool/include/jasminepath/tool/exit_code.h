#ifndef JASMINEPATH_TOOL_EXIT_CODE_H_
#define JASMINEPATH_TOOL_EXIT_CODE_H_

namespace jasminepath::tool {

// Exit codes of the operator's tool.
enum class exit_code {
  done = 0,
  // The command was refused or failed.
  failed = 1,
  // The arguments or the given files are invalid.
  usage = 2,
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_EXIT_CODE_H_
