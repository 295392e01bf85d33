#ifndef JASMINEPATH_MESH_MESSAGE_FIELDS_H_
#define JASMINEPATH_MESH_MESSAGE_FIELDS_H_

#include <cstddef>
#include <tuple>

#include "jasminepath/decision/admission/messages.h"
#include "jasminepath/decision/fleet/messages.h"
#include "jasminepath/decision/placement/messages.h"

namespace jasminepath::mesh {

// Number of members of each struct that nodes exchange. A number that does not
// match the struct is a compile error, so that a new member cannot be omitted
// from the encoding by mistake.
template <typename Struct>
inline constexpr std::size_t kFieldCount = 0;

template <>
inline constexpr std::size_t kFieldCount<decision::instance_record> = 8;
template <typename Value>
inline constexpr std::size_t kFieldCount<decision::versioned_row<Value>> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::hello_message> = 1;
template <>
inline constexpr std::size_t kFieldCount<decision::store_digest> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::silent_report> = 2;
template <>
inline constexpr std::size_t kFieldCount<decision::heartbeat_message> = 7;
template <>
inline constexpr std::size_t kFieldCount<decision::row_request> = 3;
template <typename Value>
inline constexpr std::size_t kFieldCount<decision::row_page<Value>> = 5;
template <>
inline constexpr std::size_t kFieldCount<decision::share_request> = 2;
template <>
inline constexpr std::size_t kFieldCount<decision::share_notice> = 3;

template <>
inline constexpr std::size_t kFieldCount<decision::borrow_request> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::token_loan> = 5;
template <>
inline constexpr std::size_t kFieldCount<decision::token_return> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::quarantine_record> = 6;
template <>
inline constexpr std::size_t kFieldCount<decision::suspect_notice> = 1;

template <>
inline constexpr std::size_t kFieldCount<decision::model_demand> = 7;
template <>
inline constexpr std::size_t kFieldCount<decision::demand_report> = 1;
template <>
inline constexpr std::size_t kFieldCount<decision::holder_notice> = 5;
template <>
inline constexpr std::size_t kFieldCount<decision::prepare_request> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::load_request> = 8;
template <>
inline constexpr std::size_t kFieldCount<decision::unload_request> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::replica_report> = 9;
template <>
inline constexpr std::size_t kFieldCount<decision::model_notice> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::eviction_request> = 4;
template <>
inline constexpr std::size_t kFieldCount<decision::adapter_request> = 3;
template <>
inline constexpr std::size_t kFieldCount<decision::store_request> = 3;
template <>
inline constexpr std::size_t kFieldCount<decision::store_grant> = 1;
template <>
inline constexpr std::size_t kFieldCount<decision::store_release> = 1;

// The last enumerator of each enum that nodes exchange. Decoding rejects larger
// numbers.
template <typename Enum>
inline constexpr Enum kLastEnumerator = Enum();

template <>
inline constexpr auto kLastEnumerator<decision::row_topic> =
    decision::row_topic::instances;
template <>
inline constexpr auto kLastEnumerator<decision::quarantine_state> =
    decision::quarantine_state::cleared;
template <>
inline constexpr auto kLastEnumerator<decision::weight_source> =
    decision::weight_source::remote;
template <>
inline constexpr auto kLastEnumerator<decision::authority_kind> =
    decision::authority_kind::model;
template <>
inline constexpr auto kLastEnumerator<decision::replica_state> =
    decision::replica_state::leaving;
template <>
inline constexpr auto kLastEnumerator<decision::report_reason> =
    decision::report_reason::failed;
template <>
inline constexpr auto kLastEnumerator<decision::store_load> =
    decision::store_load::adapter;

// Returns references to the members of the struct in declaration order.
template <typename Struct>
auto FieldsOf(Struct& value) {
  constexpr std::size_t kCount = kFieldCount<std::remove_const_t<Struct>>;
  static_assert(kCount <= 9,
                "FieldsOf() needs a case for structs with more members");
  if constexpr (kCount == 0) {
    static_assert(std::is_empty_v<Struct>,
                  "a non-empty struct needs a kFieldCount");
    return std::tuple<>();
  } else if constexpr (kCount == 1) {
    auto& [a] = value;
    return std::tie(a);
  } else if constexpr (kCount == 2) {
    auto& [a, b] = value;
    return std::tie(a, b);
  } else if constexpr (kCount == 3) {
    auto& [a, b, c] = value;
    return std::tie(a, b, c);
  } else if constexpr (kCount == 4) {
    auto& [a, b, c, d] = value;
    return std::tie(a, b, c, d);
  } else if constexpr (kCount == 5) {
    auto& [a, b, c, d, e] = value;
    return std::tie(a, b, c, d, e);
  } else if constexpr (kCount == 6) {
    auto& [a, b, c, d, e, f] = value;
    return std::tie(a, b, c, d, e, f);
  } else if constexpr (kCount == 7) {
    auto& [a, b, c, d, e, f, g] = value;
    return std::tie(a, b, c, d, e, f, g);
  } else if constexpr (kCount == 8) {
    auto& [a, b, c, d, e, f, g, h] = value;
    return std::tie(a, b, c, d, e, f, g, h);
  } else {
    auto& [a, b, c, d, e, f, g, h, i] = value;
    return std::tie(a, b, c, d, e, f, g, h, i);
  }
}

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_MESSAGE_FIELDS_H_
