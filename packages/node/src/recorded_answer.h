#ifndef JASMINEPATH_NODE_RECORDED_ANSWER_H_
#define JASMINEPATH_NODE_RECORDED_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::node {

// The answer that is kept for repeats of one idempotency key.
struct recorded_answer {
  int status = 0;
  std::vector<endpoint::header> headers;
  std::string body;

  friend bool operator==(const recorded_answer&,
                         const recorded_answer&) = default;
};

// The object's body for the platform's store; the body may hold any bytes.
std::string EncodeRecordedAnswer(const recorded_answer& answer);

// Nothing if the text is not an encoded answer.
std::optional<recorded_answer> DecodeRecordedAnswer(const std::string& encoded);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_RECORDED_ANSWER_H_
