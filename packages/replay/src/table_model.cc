#include "table_model.h"

#include <utility>

namespace jasminepath::replay {
namespace {

constexpr duration kReadLatency = Milliseconds(3);
constexpr duration kWriteLatency = Milliseconds(8);

}  // namespace

void table_state::Read(event_queue::handler run) {
  ++reads_;
  events_.After(kReadLatency, std::move(run));
}

void table_state::Write(event_queue::handler run) {
  ++writes_;
  events_.After(kWriteLatency, std::move(run));
}

bool table_state::TakeLostAnswer() {
  if (answers_to_lose_ <= 0)
    return false;
  --answers_to_lose_;
  return true;
}

}  // namespace jasminepath::replay
