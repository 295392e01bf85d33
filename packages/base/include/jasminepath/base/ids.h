#ifndef JASMINEPATH_BASE_IDS_H_
#define JASMINEPATH_BASE_IDS_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace jasminepath {

// A string identifier. Identifiers of different kinds are distinct types and
// cannot be mixed. An empty identifier means "none". Identifiers are value
// types, ordered and hashed by their text.
template <typename Tag>
class strong_id {
 public:
  strong_id() = default;
  explicit strong_id(std::string text) : text_(std::move(text)) {}

  const std::string& value() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const strong_id&, const strong_id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

// A customer organisation, with its own rate, burst and keys.
using team_id = strong_id<struct team_tag>;
// The public part of a team key. It is safe to log.
using key_id = strong_id<struct key_tag>;
// One published service: a model service or a plain HTTP service.
using service_id = strong_id<struct service_tag>;
// A base model.
using model_id = strong_id<struct model_tag>;
// An adapter on top of a base model.
using adapter_id = strong_id<struct adapter_tag>;
// Version of an endpoint's software, not of the weights that it has loaded.
using software_version = strong_id<struct software_version_tag>;
// A machine of the platform, which runs either a node or an endpoint.
using vm_id = strong_id<struct vm_tag>;
// One run of a process on a VM. The id is never reused for another run.
using instance_id = strong_id<struct instance_tag>;
// A process that answers requests: a model engine or a plain service.
using endpoint_id = strong_id<struct endpoint_tag>;
// An availability zone.
using zone_id = strong_id<struct zone_tag>;
// A region of availability zones.
using region_id = strong_id<struct region_tag>;
// One request of a caller. The id is unique across the fleet.
using request_id = strong_id<struct request_tag>;

}  // namespace jasminepath

template <typename Tag>
struct std::hash<jasminepath::strong_id<Tag>> {
  std::size_t operator()(const jasminepath::strong_id<Tag>& id) const noexcept {
    return std::hash<std::string_view>()(id.value());
  }
};

#endif  // JASMINEPATH_BASE_IDS_H_
