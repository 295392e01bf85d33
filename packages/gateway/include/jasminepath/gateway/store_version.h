#ifndef JASMINEPATH_GATEWAY_STORE_VERSION_H_
#define JASMINEPATH_GATEWAY_STORE_VERSION_H_

#include <compare>
#include <cstdint>
#include <ostream>

#include "jasminepath/base/units.h"

namespace jasminepath::gateway {

// Counts how often the store has come back from an older copy of its data. Each
// time it gives out versions again that it has given out before. 0 if unknown.
using store_era = quantity<struct store_era_tag>;

// A version of the store's data: versions are ordered by their era first.
class store_version {
 public:
  // Precedes every version that the store gives out.
  constexpr store_version() = default;
  constexpr store_version(store_era era, int64_t number)
      : era_(era), number_(number) {}

  constexpr store_era era() const { return era_; }
  // The version as the store states it, unique within its era only.
  constexpr int64_t number() const { return number_; }

  friend constexpr auto operator<=>(const store_version&,
                                    const store_version&) = default;
  friend std::ostream& operator<<(std::ostream& out,
                                  const store_version& value) {
    return out << value.era_ << "/" << value.number_;
  }

 private:
  store_era era_;
  int64_t number_ = 0;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_STORE_VERSION_H_
