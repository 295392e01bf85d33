#ifndef JASMINEPATH_CONFIG_FAULT_H_
#define JASMINEPATH_CONFIG_FAULT_H_

#include <ostream>
#include <string>
#include <vector>

namespace jasminepath::config {

// One fault in a file that an operator wrote, or in JSON that came from
// elsewhere.
struct fault {
  // The file as it was named to the reader; empty where there is none.
  std::string file;
  // The place within the file, for example "$.teams[2].burst".
  std::string json_path;
  // What is wrong there.
  std::string problem;
  // What to write instead.
  std::string remedy;

  friend bool operator==(const fault&, const fault&) = default;
};

// All faults of an input, reported together.
using fault_list = std::vector<fault>;

// "file: path: problem; remedy", on one line.
std::string ToString(const fault& value);

std::ostream& operator<<(std::ostream& out, const fault& value);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_FAULT_H_
