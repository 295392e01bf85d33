#ifndef JASMINEPATH_DECISION_ADMISSION_HISTORY_CHECK_H_
#define JASMINEPATH_DECISION_ADMISSION_HISTORY_CHECK_H_

#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace jasminepath::decision {

// One step of a generated history; each test defines the meaning of the fields.
struct history_step {
  int kind = 0;
  int actor = 0;
  int amount = 0;
  int fault = 0;

  friend bool operator==(const history_step&, const history_step&) = default;
  friend std::ostream& operator<<(std::ostream& out, const history_step& step) {
    return out << "{" << step.kind << "," << step.actor << "," << step.amount
               << "," << step.fault << "}";
  }
};

// Generates histories of steps with `kind` below `kinds` and the other fields
// below fixed bounds.
inline rc::Gen<std::vector<history_step>> GenHistory(int kinds) {
  return rc::gen::container<std::vector<history_step>>(
      rc::gen::build<history_step>(
          rc::gen::set(&history_step::kind, rc::gen::inRange(0, kinds)),
          rc::gen::set(&history_step::actor, rc::gen::inRange(0, 64)),
          rc::gen::set(&history_step::amount, rc::gen::inRange(0, 1000)),
          rc::gen::set(&history_step::fault, rc::gen::inRange(0, 100))));
}

// Checks `runs` generated histories, or the number in JASMINEPATH_FUZZ_RUNS if
// it is set. The seed comes from RC_PARAMS.
template <typename Testable>
bool CheckHistories(const std::string& what, int runs, Testable&& testable) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  const char* runs_override = std::getenv("JASMINEPATH_FUZZ_RUNS");
  params.maxSuccess =
      runs_override != nullptr ? std::atoi(runs_override) : runs;
  rc::detail::TestMetadata metadata;
  metadata.id = what;
  metadata.description = what;
  const auto result = rc::detail::checkTestable(
      std::forward<Testable>(testable), metadata, params);
  std::cerr << what << ": ";
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return result.template is<rc::detail::SuccessResult>();
}

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_HISTORY_CHECK_H_
