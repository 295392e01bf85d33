#ifndef JASMINEPATH_BASE_UNITS_H_
#define JASMINEPATH_BASE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace jasminepath {

// A counted quantity. Quantities of different units are distinct types and
// cannot be mixed.
template <typename Tag>
class quantity {
 public:
  constexpr quantity() = default;
  constexpr explicit quantity(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }

  friend constexpr auto operator<=>(quantity, quantity) = default;
  friend constexpr quantity operator+(quantity a, quantity b) {
    return quantity(a.count_ + b.count_);
  }
  friend constexpr quantity operator-(quantity a, quantity b) {
    return quantity(a.count_ - b.count_);
  }
  constexpr quantity& operator+=(quantity other) {
    count_ += other.count_;
    return *this;
  }
  constexpr quantity& operator-=(quantity other) {
    count_ -= other.count_;
    return *this;
  }
  friend std::ostream& operator<<(std::ostream& out, quantity value) {
    return out << value.count_;
  }

 private:
  int64_t count_ = 0;
};

// Model tokens: the unit of a team's rate and burst.
using tokens = quantity<struct tokens_tag>;
// Bytes of memory or of a message.
using bytes = quantity<struct bytes_tag>;

// The fencing token of an authority. A higher epoch supersedes a lower one.
using epoch = quantity<struct epoch_tag>;
// The commit version of the platform's table, which only increases.
using revision = quantity<struct revision_tag>;

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_UNITS_H_
