#ifndef JASMINEPATH_DECISION_TESTS_FLEET_CHECK_HISTORIES_H_
#define JASMINEPATH_DECISION_TESTS_FLEET_CHECK_HISTORIES_H_

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>

namespace jasminepath::decision {

// Runs `property` for generated histories. The environment variable
// JASMINEPATH_FUZZ_RUNS sets their number; the default is `default_runs`.
// Failing histories are shrunk. Returns whether the property held for all of
// them.
template <typename Property>
bool CheckHistories(const std::string& name,
                    int default_runs,
                    Property property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  const char* requested_runs = std::getenv("JASMINEPATH_FUZZ_RUNS");
  params.maxSuccess = requested_runs ? std::atoi(requested_runs) : default_runs;
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
