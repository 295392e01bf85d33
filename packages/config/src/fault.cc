#include "jasminepath/config/fault.h"

namespace jasminepath::config {

std::string ToString(const fault& value) {
  std::string text;
  if (!value.file.empty())
    text = value.file + ": ";
  return text + value.json_path + ": " + value.problem + "; " + value.remedy;
}

std::ostream& operator<<(std::ostream& out, const fault& value) {
  return out << ToString(value);
}

}  // namespace jasminepath::config
