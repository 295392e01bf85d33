#ifndef JASMINEPATH_ENDPOINT_WHOLE_ANSWER_H_
#define JASMINEPATH_ENDPOINT_WHOLE_ANSWER_H_

#include <cstddef>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/endpoint/exchange.h"

namespace jasminepath::endpoint {

// A complete answer, held in memory.
struct whole_answer {
  int status = 0;
  std::string body;

  friend bool operator==(const whole_answer&, const whole_answer&) = default;
};

// Runs one exchange and buffers its answer. Fails as malformed as soon as the
// body exceeds `max_body_bytes`; the rest is not read.
result<whole_answer, exchange_failure> FetchWhole(
    const outbound_request& request,
    const exchange_deadlines& deadlines,
    std::size_t max_body_bytes);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_WHOLE_ANSWER_H_
