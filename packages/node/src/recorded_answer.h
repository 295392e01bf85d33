#ifndef JASMINEPATH_NODE_RECORDED_ANSWER_H_
#define JASMINEPATH_NODE_RECORDED_ANSWER_H_

#include <optional>
#include <string>
#include <vector>

#include "jasminepath/endpoint/http_types.h"

namespace jasminepath::node {

// An answer that is stored to be replayed for the same idempotency key.
struct recorded_answer {
  int status = 0;
  std::vector<endpoint::header> headers;
  std::string body;

  friend bool operator==(const recorded_answer&,
                         const recorded_answer&) = default;
};

// Encodes the answer for the platform's object store. Its body may contain any
// bytes.
std::string EncodeRecordedAnswer(const recorded_answer& answer);

// Returns nullopt if the text is not an encoded answer.
std::optional<recorded_answer> DecodeRecordedAnswer(const std::string& encoded);

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_RECORDED_ANSWER_H_
