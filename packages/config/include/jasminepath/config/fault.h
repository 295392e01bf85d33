#ifndef JASMINEPATH_CONFIG_FAULT_H_
#define JASMINEPATH_CONFIG_FAULT_H_

#include <ostream>
#include <string>
#include <vector>

namespace jasminepath::config {

// One error in a file that an operator wrote, or in JSON from another source.
struct fault {
  // The file name that was passed to the reader; empty if the input is not a
  // file.
  std::string file;
  // The location within the file, for example "$.teams[2].burst".
  std::string json_path;
  // What is wrong there.
  std::string problem;
  // How to correct it.
  std::string remedy;

  friend bool operator==(const fault&, const fault&) = default;
};

// All faults of one input.
using fault_list = std::vector<fault>;

// "file: path: problem; remedy", on one line.
std::string ToString(const fault& value);

std::ostream& operator<<(std::ostream& out, const fault& value);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_FAULT_H_
