#ifndef JASMINEPATH_DECISION_SRC_ROUTING_PREFIX_INDEX_H_
#define JASMINEPATH_DECISION_SRC_ROUTING_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jasminepath::decision {

// Which endpoints are thought to have a prompt prefix in their cache. A hint:
// events come late and with gaps, so entries may be wrong either way. Holds a
// bounded number of prefixes for each endpoint, the oldest leaving first.
class prefix_index {
 public:
  static constexpr std::size_t kHolders = 4;
  static constexpr uint32_t kNone = UINT32_MAX;
  // Endpoints by number, kNone where there is none.
  using holders = std::array<uint32_t, kHolders>;

  explicit prefix_index(int64_t prefixes_per_endpoint);

  // The endpoints with the prefix, or null.
  const holders* Find(uint64_t prefix) const;
  void Add(uint32_t endpoint, uint64_t prefix);
  void Remove(uint32_t endpoint, uint64_t prefix);
  // Forgets everything of the endpoint.
  void Clear(uint32_t endpoint);

 private:
  void Erase(uint32_t endpoint, uint64_t prefix);

  std::size_t limit_;
  std::unordered_map<uint64_t, holders> holders_;
  // Prefixes of each endpoint, in the order they were added.
  std::vector<std::deque<uint64_t>> order_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_ROUTING_PREFIX_INDEX_H_
