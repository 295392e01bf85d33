#ifndef JASMINEPATH_DECISION_FLEET_WRITE_OUTCOME_H_
#define JASMINEPATH_DECISION_FLEET_WRITE_OUTCOME_H_

namespace jasminepath::decision {

// How a conditional write to the table ended.
enum class write_outcome {
  committed,    // The write took effect at the reported version.
  conflict,     // The row had another version; it is unchanged.
  unreachable,  // The write was not sent or not accepted; it has no effect.
  lost,         // The write may have taken or may still take effect.
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_FLEET_WRITE_OUTCOME_H_
