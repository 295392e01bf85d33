#include "routing/prefix_index.h"

#include <algorithm>

namespace jasminepath::decision {

namespace {

constexpr prefix_index::holders kNobody = {
    prefix_index::kNone, prefix_index::kNone, prefix_index::kNone,
    prefix_index::kNone};

}  // namespace

prefix_index::prefix_index(int64_t prefixes_per_endpoint)
    : limit_(static_cast<std::size_t>(
          std::max<int64_t>(1, prefixes_per_endpoint))) {}

const prefix_index::holders* prefix_index::Find(uint64_t prefix) const {
  const auto found = holders_.find(prefix);
  return found == holders_.end() ? nullptr : &found->second;
}

void prefix_index::Add(uint32_t endpoint, uint64_t prefix) {
  if (endpoint >= order_.size())
    order_.resize(endpoint + 1);
  holders& known = holders_.try_emplace(prefix, kNobody).first->second;
  if (std::find(known.begin(), known.end(), endpoint) != known.end())
    return;
  const auto free = std::find(known.begin(), known.end(), kNone);
  if (free != known.end()) {
    *free = endpoint;
  } else {
    // The first holder was there longest.
    std::rotate(known.begin(), known.begin() + 1, known.end());
    known.back() = endpoint;
  }
  std::deque<uint64_t>& order = order_[endpoint];
  order.push_back(prefix);
  if (order.size() <= limit_)
    return;
  const uint64_t oldest = order.front();
  order.pop_front();
  Erase(endpoint, oldest);
}

void prefix_index::Remove(uint32_t endpoint, uint64_t prefix) {
  if (endpoint >= order_.size())
    return;
  std::deque<uint64_t>& order = order_[endpoint];
  const auto found = std::find(order.begin(), order.end(), prefix);
  if (found != order.end())
    order.erase(found);
  Erase(endpoint, prefix);
}

void prefix_index::Clear(uint32_t endpoint) {
  if (endpoint >= order_.size())
    return;
  for (const uint64_t prefix : order_[endpoint])
    Erase(endpoint, prefix);
  order_[endpoint].clear();
}

void prefix_index::Erase(uint32_t endpoint, uint64_t prefix) {
  const auto found = holders_.find(prefix);
  if (found == holders_.end())
    return;
  holders& known = found->second;
  const auto place = std::find(known.begin(), known.end(), endpoint);
  if (place == known.end())
    return;
  std::rotate(place, place + 1, known.end());
  known.back() = kNone;
  if (known.front() == kNone)
    holders_.erase(found);
}

}  // namespace jasminepath::decision
