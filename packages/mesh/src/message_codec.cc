#include "jasminepath/mesh/message_codec.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "message_fields.h"

namespace jasminepath::mesh {
namespace {

// Limits on nesting depth and element count; no valid message exceeds them.
constexpr std::size_t kMaxDepth = 16;
constexpr std::size_t kMaxElements = std::size_t{1} << 20;
// Version, sender, receiver, sequence, message.
constexpr uint32_t kEnvelopeFieldCount = 5;

using packer = msgpack::packer<msgpack::sbuffer>;

// Thrown to abort decoding; Decode() catches it.
struct decode_failure {
  codec_error error = codec_error::bad_field;
};

[[noreturn]] void Fail(codec_error error) {
  throw decode_failure{error};
}

template <typename T>
struct is_vector : std::false_type {};
template <typename T>
struct is_vector<std::vector<T>> : std::true_type {};
template <typename T>
struct is_optional : std::false_type {};
template <typename T>
struct is_optional<std::optional<T>> : std::true_type {};
template <typename T>
struct is_variant : std::false_type {};
template <typename... T>
struct is_variant<std::variant<T...>> : std::true_type {};
template <typename T>
struct is_id : std::false_type {};
template <typename Tag>
struct is_id<strong_id<Tag>> : std::true_type {};
template <typename T>
struct is_quantity : std::false_type {};
template <typename Tag>
struct is_quantity<quantity<Tag>> : std::true_type {};

template <typename T>
void Pack(packer& out, const T& value) {
  if constexpr (std::is_same_v<T, std::string> || std::is_arithmetic_v<T>) {
    out.pack(value);
  } else if constexpr (std::is_enum_v<T>) {
    out.pack(static_cast<int64_t>(value));
  } else if constexpr (std::is_same_v<T, duration>) {
    out.pack(static_cast<int64_t>(value.count()));
  } else if constexpr (is_id<T>::value) {
    out.pack(value.value());
  } else if constexpr (is_quantity<T>::value) {
    out.pack(value.count());
  } else if constexpr (is_optional<T>::value) {
    if (value)
      Pack(out, *value);
    else
      out.pack_nil();
  } else if constexpr (is_vector<T>::value) {
    out.pack_array(static_cast<uint32_t>(value.size()));
    for (const auto& element : value)
      Pack(out, element);
  } else if constexpr (is_variant<T>::value) {
    out.pack_array(2);
    out.pack(static_cast<uint64_t>(value.index()));
    std::visit([&](const auto& alternative) { Pack(out, alternative); }, value);
  } else {
    const auto fields = FieldsOf(value);
    out.pack_array(static_cast<uint32_t>(std::tuple_size_v<decltype(fields)>));
    std::apply([&](const auto&... field) { (Pack(out, field), ...); }, fields);
  }
}

template <typename T>
void Unpack(const msgpack::object& in, T& value);

// Decodes the alternative with number `index` into the variant.
template <std::size_t kAlternative = 0, typename Variant>
void UnpackAlternative(const msgpack::object& in,
                       uint64_t index,
                       Variant& value) {
  if constexpr (kAlternative == std::variant_size_v<Variant>) {
    Fail(codec_error::unknown_message);
  } else if (index == kAlternative) {
    std::variant_alternative_t<kAlternative, Variant> alternative;
    Unpack(in, alternative);
    value = std::move(alternative);
  } else {
    UnpackAlternative<kAlternative + 1>(in, index, value);
  }
}

const msgpack::object_array& ArrayOf(const msgpack::object& in) {
  if (in.type != msgpack::type::ARRAY)
    Fail(codec_error::bad_field);
  return in.via.array;
}

template <typename Variant>
void UnpackVariant(const msgpack::object& in, Variant& value) {
  const msgpack::object_array& parts = ArrayOf(in);
  if (parts.size < 2)
    Fail(codec_error::bad_field);
  uint64_t index = 0;
  Unpack(parts.ptr[0], index);
  UnpackAlternative(parts.ptr[1], index, value);
}

template <typename Struct>
void UnpackStruct(const msgpack::object& in, Struct& value) {
  const msgpack::object_array& parts = ArrayOf(in);
  uint32_t next = 0;
  const auto read_one = [&](auto& field) {
    if (next < parts.size)
      Unpack(parts.ptr[next++], field);
  };
  std::apply([&](auto&... field) { (read_one(field), ...); }, FieldsOf(value));
}

template <typename Enum>
void UnpackEnum(const msgpack::object& in, Enum& value) {
  int64_t number = 0;
  Unpack(in, number);
  if (number < 0 || number > static_cast<int64_t>(kLastEnumerator<Enum>))
    Fail(codec_error::bad_field);
  value = static_cast<Enum>(number);
}

template <typename T>
void Unpack(const msgpack::object& in, T& value) {
  if constexpr (std::is_same_v<T, std::string> || std::is_arithmetic_v<T>) {
    in.convert(value);
  } else if constexpr (std::is_enum_v<T>) {
    UnpackEnum(in, value);
  } else if constexpr (std::is_same_v<T, duration>) {
    int64_t count = 0;
    Unpack(in, count);
    value = duration(count);
  } else if constexpr (is_id<T>::value) {
    std::string text;
    Unpack(in, text);
    value = T(std::move(text));
  } else if constexpr (is_quantity<T>::value) {
    int64_t count = 0;
    Unpack(in, count);
    value = T(count);
  } else if constexpr (is_optional<T>::value) {
    value.reset();
    if (!in.is_nil())
      Unpack(in, value.emplace());
  } else if constexpr (is_vector<T>::value) {
    const msgpack::object_array& parts = ArrayOf(in);
    value.clear();
    value.resize(parts.size);
    for (uint32_t i = 0; i < parts.size; ++i)
      Unpack(parts.ptr[i], value[i]);
  } else if constexpr (is_variant<T>::value) {
    UnpackVariant(in, value);
  } else {
    UnpackStruct(in, value);
  }
}

envelope UnpackEnvelope(const msgpack::object& in) {
  const msgpack::object_array& parts = ArrayOf(in);
  if (parts.size < 1)
    Fail(codec_error::malformed);
  int64_t version = 0;
  Unpack(parts.ptr[0], version);
  if (version != kCodecVersion)
    Fail(codec_error::unknown_version);
  if (parts.size < kEnvelopeFieldCount)
    Fail(codec_error::malformed);
  envelope decoded;
  Unpack(parts.ptr[1], decoded.from);
  Unpack(parts.ptr[2], decoded.to);
  Unpack(parts.ptr[3], decoded.sequence);
  Unpack(parts.ptr[4], decoded.message);
  return decoded;
}

}  // namespace

result<std::string, codec_error> Encode(const envelope& source) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(kEnvelopeFieldCount);
  out.pack(kCodecVersion);
  Pack(out, source.from);
  Pack(out, source.to);
  Pack(out, source.sequence);
  Pack(out, source.message);
  if (buffer.size() > kMaxEnvelopeBytes)
    return codec_error::too_large;
  return std::string(buffer.data(), buffer.size());
}

result<envelope, codec_error> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxEnvelopeBytes)
    return codec_error::too_large;
  const msgpack::unpack_limit limits(kMaxElements, 0, kMaxEnvelopeBytes, 0, 0,
                                     kMaxDepth);
  try {
    std::size_t used = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), used, nullptr, nullptr, limits);
    if (used != bytes.size())
      return codec_error::malformed;
    return UnpackEnvelope(handle.get());
  } catch (const decode_failure& failure) {
    return failure.error;
  } catch (const msgpack::type_error&) {
    return codec_error::bad_field;
  } catch (const std::exception&) {
    return codec_error::malformed;
  }
}

}  // namespace jasminepath::mesh
