#ifndef JASMINEPATH_CONFIG_SRC_FAULT_COLLECTOR_H_
#define JASMINEPATH_CONFIG_SRC_FAULT_COLLECTOR_H_

#include <string>
#include <utility>

#include "jasminepath/config/fault.h"

namespace jasminepath::config {

// Collects the faults of one file.
class fault_collector {
 public:
  explicit fault_collector(std::string file) : file_(std::move(file)) {}

  void Add(std::string json_path, std::string problem, std::string remedy) {
    faults_.push_back(
        {file_, std::move(json_path), std::move(problem), std::move(remedy)});
  }

  bool empty() const { return faults_.empty(); }
  const std::string& file() const { return file_; }
  const fault_list& faults() const { return faults_; }

 private:
  std::string file_;
  fault_list faults_;
};

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_FAULT_COLLECTOR_H_
