#ifndef JASMINEPATH_DECISION_ADMISSION_QUARANTINE_RECORD_H_
#define JASMINEPATH_DECISION_ADMISSION_QUARANTINE_RECORD_H_

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"

namespace jasminepath::decision {

// Identifies a request by team, model or route, and body: hexadecimal digest.
using request_fingerprint = strong_id<struct request_fingerprint_tag>;

// How far a request is trusted.
enum class quarantine_state {
  suspect,      // One endpoint died while running it.
  quarantined,  // It may not run at all.
  cleared,      // It ran after all; no restriction is left.
};

// The fact that a request is suspected of crashing endpoints. The row
// `fact/quarantine/<fingerprint>` holds it; it is also spread between nodes.
struct quarantine_record {
  request_fingerprint fingerprint;
  quarantine_state state = quarantine_state::suspect;
  // Endpoint that died last while running the request.
  endpoint_id endpoint;
  // Instance that wrote the record; it deletes the row after `lifetime`.
  instance_id author;
  // Call that may be tried once more; empty while nobody has taken the try.
  request_id trial;
  // How long a node keeps the record after it first learns of it.
  duration lifetime = duration::zero();

  friend bool operator==(const quarantine_record&,
                         const quarantine_record&) = default;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_QUARANTINE_RECORD_H_
