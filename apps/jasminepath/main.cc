// The operator's command-line tool.

#include <iostream>
#include <string>
#include <vector>

#include "jasminepath/tool/command_line.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      jasminepath::tool::RunCommandLine(arguments, {std::cout, std::cerr}));
}
