#ifndef JASMINEPATH_DECISION_SRC_ROUTING_PREFIX_INDEX_H_
#define JASMINEPATH_DECISION_SRC_ROUTING_PREFIX_INDEX_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace jasminepath::decision {

// Maps a prompt prefix to the endpoints that are believed to have it cached.
// The index is a hint: events may be late or lost, so entries may be wrong or
// missing. It holds a bounded number of prefixes per endpoint and evicts the
// oldest first.
class prefix_index {
 public:
  static constexpr std::size_t kMaxHolders = 4;
  static constexpr uint32_t kNone = UINT32_MAX;
  // Endpoint numbers; unused elements are kNone.
  using holders = std::array<uint32_t, kMaxHolders>;

  explicit prefix_index(int64_t prefixes_per_endpoint);

  // Returns the endpoints with the prefix, or null.
  const holders* Find(uint64_t prefix) const;
  void Add(uint32_t endpoint, uint64_t prefix);
  void Remove(uint32_t endpoint, uint64_t prefix);
  // Removes all prefixes of the endpoint.
  void Clear(uint32_t endpoint);

 private:
  void Erase(uint32_t endpoint, uint64_t prefix);

  std::size_t max_prefixes_per_endpoint_;
  std::unordered_map<uint64_t, holders> holders_;
  // Prefixes of each endpoint in insertion order.
  std::vector<std::deque<uint64_t>> insertion_order_;
};

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_SRC_ROUTING_PREFIX_INDEX_H_
