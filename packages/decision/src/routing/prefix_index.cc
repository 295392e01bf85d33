#include "routing/prefix_index.h"

#include <algorithm>

namespace jasminepath::decision {

namespace {

constexpr prefix_index::holders kNoHolders = {
    prefix_index::kNone, prefix_index::kNone, prefix_index::kNone,
    prefix_index::kNone};

}  // namespace

prefix_index::prefix_index(int64_t prefixes_per_endpoint)
    : max_prefixes_per_endpoint_(static_cast<std::size_t>(
          std::max<int64_t>(1, prefixes_per_endpoint))) {}

const prefix_index::holders* prefix_index::Find(uint64_t prefix) const {
  const auto found = holders_.find(prefix);
  return found == holders_.end() ? nullptr : &found->second;
}

void prefix_index::Add(uint32_t endpoint, uint64_t prefix) {
  if (endpoint >= insertion_order_.size())
    insertion_order_.resize(endpoint + 1);
  holders& known = holders_.try_emplace(prefix, kNoHolders).first->second;
  if (std::find(known.begin(), known.end(), endpoint) != known.end())
    return;
  const auto free_slot = std::find(known.begin(), known.end(), kNone);
  if (free_slot != known.end()) {
    *free_slot = endpoint;
  } else {
    // The first holder is the oldest.
    std::rotate(known.begin(), known.begin() + 1, known.end());
    known.back() = endpoint;
  }
  std::deque<uint64_t>& order = insertion_order_[endpoint];
  order.push_back(prefix);
  if (order.size() <= max_prefixes_per_endpoint_)
    return;
  const uint64_t oldest = order.front();
  order.pop_front();
  Erase(endpoint, oldest);
}

void prefix_index::Remove(uint32_t endpoint, uint64_t prefix) {
  if (endpoint >= insertion_order_.size())
    return;
  std::deque<uint64_t>& order = insertion_order_[endpoint];
  const auto found = std::find(order.begin(), order.end(), prefix);
  if (found != order.end())
    order.erase(found);
  Erase(endpoint, prefix);
}

void prefix_index::Clear(uint32_t endpoint) {
  if (endpoint >= insertion_order_.size())
    return;
  for (const uint64_t prefix : insertion_order_[endpoint])
    Erase(endpoint, prefix);
  insertion_order_[endpoint].clear();
}

void prefix_index::Erase(uint32_t endpoint, uint64_t prefix) {
  const auto found = holders_.find(prefix);
  if (found == holders_.end())
    return;
  holders& known = found->second;
  const auto position = std::find(known.begin(), known.end(), endpoint);
  if (position == known.end())
    return;
  std::rotate(position, position + 1, known.end());
  known.back() = kNone;
  if (known.front() == kNone)
    holders_.erase(found);
}

}  // namespace jasminepath::decision
