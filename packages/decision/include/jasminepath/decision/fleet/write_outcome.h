#ifndef JASMINEPATH_DECISION_FLEET_WRITE_OUTCOME_H_
#define JASMINEPATH_DECISION_FLEET_WRITE_OUTCOME_H_

namespace jasminepath::decision {

// How a conditional write to the table ended.
enum class write_outcome {
  committed,    // It took effect at the version reported.
  conflict,     // The row had another version; nothing was written.
  unreachable,  // Nothing was sent or taken; no effect.
  lost,         // It may have taken effect or may still do so.
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_WRITE_OUTCOME_H_
