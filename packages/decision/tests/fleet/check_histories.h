#ifndef JASMINEPATH_DECISION_TESTS_FLEET_CHECK_HISTORIES_H_
#define JASMINEPATH_DECISION_TESTS_FLEET_CHECK_HISTORIES_H_

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace jasminepath::decision {

// Runs `property` over generated histories: as many as the environment variable
// JASMINEPATH_FUZZ_RUNS says, else `default_runs`. Failures are shrunk.
template <typename Property>
bool CheckHistories(const std::string& name,
                    int default_runs,
                    Property property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  const char* wanted = std::getenv("JASMINEPATH_FUZZ_RUNS");
  params.maxSuccess = wanted ? std::atoi(wanted) : default_runs;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  std::cerr << "- " << name << '\n';
  const auto result = rc::detail::checkTestable(property, metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << '\n';
  return result.template is<rc::detail::SuccessResult>();
}

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_TESTS_FLEET_CHECK_HISTORIES_H_
