#include "jasminepath/endpoint/whole_answer.h"

#include <string_view>
#include <utility>
#include <vector>

namespace jasminepath::endpoint {
namespace {

struct buffering_sink {
  std::size_t max_body_bytes = 0;
  whole_answer answer;
  bool is_over_limit = false;

  void OnHead(int status, const std::vector<header>&) {
    answer.status = status;
  }
  bool OnBody(std::string_view data) {
    is_over_limit = data.size() > max_body_bytes - answer.body.size();
    if (!is_over_limit)
      answer.body.append(data);
    return !is_over_limit;
  }
};

}  // namespace

result<whole_answer, exchange_failure> FetchWhole(
    const outbound_request& request,
    const exchange_deadlines& deadlines,
    std::size_t max_body_bytes) {
  const cancellation never_cancelled;
  buffering_sink sink{max_body_bytes, {}, false};
  const auto done = Run(request, sink, never_cancelled, deadlines);
  if (sink.is_over_limit) {
    return exchange_failure{
        exchange_failure_kind::malformed, run_state::unknown,
        "the body exceeds " + std::to_string(max_body_bytes) + " bytes"};
  }
  if (!done)
    return done.error();
  return std::move(sink.answer);
}

}  // namespace jasminepath::endpoint
