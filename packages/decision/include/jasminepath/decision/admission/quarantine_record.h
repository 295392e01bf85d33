#ifndef JASMINEPATH_DECISION_ADMISSION_QUARANTINE_RECORD_H_
#define JASMINEPATH_DECISION_ADMISSION_QUARANTINE_RECORD_H_

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Identifies a request by team, model or route, and body, as a hexadecimal
// digest.
using request_fingerprint = strong_id<struct request_fingerprint_tag>;

// Restriction on a request.
enum class quarantine_state {
  suspect,      // One endpoint crashed while running the request.
  quarantined,  // The request may not run.
  cleared,      // The request was answered; the restriction is lifted.
};

// The fact that a request is suspected of crashing endpoints. It is stored in
// the row `fact/quarantine/<fingerprint>` and also sent between nodes.
struct quarantine_record {
  request_fingerprint fingerprint;
  quarantine_state state = quarantine_state::suspect;
  // Endpoint that crashed most recently while running the request.
  endpoint_id endpoint;
  // Instance that wrote the record and deletes the row after `lifetime`.
  instance_id author;
  // Call that holds the trial; empty while the trial is available.
  request_id trial;
  // Time for which a node keeps the record after it first receives it.
  duration lifetime = duration::zero();

  friend bool operator==(const quarantine_record&,
                         const quarantine_record&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_QUARANTINE_RECORD_H_
