#include "jasminepath/gateway/peer_digest.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <exception>
#include <map>
#include <utility>

#include "deflate.h"

namespace jasminepath::gateway {
namespace {

// Version of the message format. Messages of other versions are rejected.
constexpr uint32_t kFormat = 6;
// Maximum nesting depth of arrays in a message.
constexpr std::size_t kMaxNestingDepth = 8;
// Maximum uncompressed size of a table received from a peer.
constexpr std::size_t kMaxTableBytes = std::size_t{16} << 20;

// Calls `visit` with all fields, in wire order.
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, team_usage>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.team, m.tokens);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, endpoint_usage>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.endpoint, m.model, m.running);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, model_usage>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.model, m.adapter, m.waiting, m.arrivals);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, crash_count>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.fingerprint, m.crashes);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, table_status>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.last_change, m.complete_to, m.history_from, m.age_ms);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, peer_digest>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.node, m.zone, m.cpu_millicores, m.nodes, m.is_zone_digest,
        m.incarnation, m.sequence, m.interval_ms, m.table_server_address,
        m.site_table, m.endpoint_table, m.authority_holder, m.authority_epoch,
        m.authority_version, m.teams, m.endpoints, m.models, m.unreachable,
        m.crashes, m.has_demand, m.leaving);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, load_notice>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.authority_epoch, m.endpoint, m.model, m.adapter, m.change,
        m.ready_in_ms);
}

template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, changed_row>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.key, m.value, m.version, m.removed);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, table_changes>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.table, m.table_server_address, m.valid_from, m.valid_to,
        m.complete_to, m.last_change, m.is_snapshot, m.rows_omitted,
        m.is_current, m.rows);
}

template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, crash_evidence>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.suspect, m.answers, m.crashes);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, crash_report>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.node, m.zone, m.is_zone_report, m.suspects);
}

template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, stream_origin>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.attempt, m.version);
}

template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, origin_query>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.attempt, m.service);
}

template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, origin_reply>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.attempt, m.knowledge, m.version);
}

template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, known_suspect>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.suspect, m.age_ms, m.answered, m.crashes);
}
template <typename Message, typename Visitor>
requires std::is_same_v<std::remove_const_t<Message>, crash_history>
void ForEachField(Message& m, Visitor&& visit) {
  visit(m.node, m.zone, m.suspects);
}

using packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
void Pack(packer& out, const T& value);

template <typename Tag>
void Pack(packer& out, const strong_id<Tag>& id) {
  out.pack(id.value());
}

template <typename T>
void Pack(packer& out, const std::vector<T>& items) {
  out.pack_array(static_cast<uint32_t>(items.size()));
  for (const T& item : items)
    Pack(out, item);
}

template <typename T>
void Pack(packer& out, const T& value) {
  if constexpr (std::is_enum_v<T>) {
    out.pack(static_cast<int64_t>(value));
  } else if constexpr (std::is_class_v<T> && !std::is_same_v<T, std::string>) {
    ForEachField(value, [&out](const auto&... fields) {
      out.pack_array(sizeof...(fields));
      (Pack(out, fields), ...);
    });
  } else {
    out.pack(value);
  }
}

template <typename T>
void Unpack(const msgpack::object& from, T& value);

template <typename Tag>
void Unpack(const msgpack::object& from, strong_id<Tag>& id) {
  id = strong_id<Tag>(from.as<std::string>());
}

template <typename T>
void Unpack(const msgpack::object& from, std::vector<T>& items) {
  if (from.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  items.resize(from.via.array.size);
  for (uint32_t i = 0; i < from.via.array.size; ++i)
    Unpack(from.via.array.ptr[i], items[i]);
}

// `last` is the enumerator with the highest value.
template <typename Enum>
void UnpackEnum(const msgpack::object& from, Enum last, Enum& value) {
  const auto number = from.as<int64_t>();
  if (number < 0 || number > static_cast<int64_t>(last))
    throw msgpack::type_error();
  value = static_cast<Enum>(number);
}

void Unpack(const msgpack::object& from, load_change& change) {
  UnpackEnum(from, load_change::closing, change);
}

void Unpack(const msgpack::object& from, origin_knowledge& knowledge) {
  UnpackEnum(from, origin_knowledge::unknown_of_one, knowledge);
}

template <typename T>
void Unpack(const msgpack::object& from, T& value) {
  if constexpr (std::is_class_v<T> && !std::is_same_v<T, std::string>) {
    ForEachField(value, [&from](auto&... fields) {
      if (from.type != msgpack::type::ARRAY ||
          from.via.array.size != sizeof...(fields))
        throw msgpack::type_error();
      uint32_t index = 0;
      (Unpack(from.via.array.ptr[index++], fields), ...);
    });
  } else {
    from.convert(value);
  }
}

// No array or string can have more items than the input has bytes. Without this
// limit, a few bytes make the library allocate gigabytes.
// Reads one object from the position `offset` and advances that beyond it.
msgpack::object_handle Parse(std::string_view bytes, std::size_t& offset) {
  const std::size_t max_items = bytes.size();
  return msgpack::unpack(
      bytes.data(), bytes.size(), offset, nullptr, nullptr,
      msgpack::unpack_limit(max_items, max_items, max_items, max_items,
                            max_items, kMaxNestingDepth));
}

// Fields that were added in a later release follow the message, where nodes of
// earlier releases don't look.
template <typename Message>
concept has_store_era = requires(Message message) {
  message.store_era;
};

template <typename Message>
peer_message UnpackMessage(const std::string& content) {
  std::size_t end = 0;
  const auto handle = Parse(content, end);
  Message message;
  Unpack(handle.get(), message);
  if constexpr (has_store_era<Message>) {
    if (end < content.size())
      Unpack(Parse(content, end).get(), message.store_era);
    if (message.store_era < 0)
      throw msgpack::type_error();
  }
  return message;
}

std::string PackContent(const peer_message& message) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  std::visit(
      [&out]<typename Message>(const Message& content) {
        Pack(out, content);
        if constexpr (has_store_era<Message>) {
          if (content.store_era != 0)
            Pack(out, content.store_era);
        }
      },
      message);
  std::string bytes(buffer.data(), buffer.size());
  // Rows are repetitive text and compress well.
  return std::holds_alternative<table_changes>(message) ? Deflate(bytes)
                                                        : bytes;
}

}  // namespace

peer_digest WithoutDemand(const peer_digest& digest) {
  peer_digest brief = digest;
  brief.has_demand = false;
  brief.models.clear();
  brief.unreachable.clear();
  std::map<endpoint_id, int64_t> running;
  for (const endpoint_usage& use : digest.endpoints)
    running[use.endpoint] += use.running;
  brief.endpoints.clear();
  for (const auto& [endpoint, count] : running)
    brief.endpoints.push_back({endpoint, {}, count});
  return brief;
}

std::string EncodePeerMessage(const peer_message& message,
                              const vm_id& broadcast_origin) {
  const std::string content = PackContent(message);
  msgpack::sbuffer buffer;
  packer out(buffer);
  out.pack_array(4);
  out.pack(kFormat);
  out.pack(static_cast<uint32_t>(message.index()));
  out.pack(broadcast_origin.value());
  out.pack_bin(static_cast<uint32_t>(content.size()));
  out.pack_bin_body(content.data(), static_cast<uint32_t>(content.size()));
  return {buffer.data(), buffer.size()};
}

std::optional<peer_envelope> DecodePeerMessage(std::string_view bytes) {
  try {
    std::size_t end = 0;
    const auto handle = Parse(bytes, end);
    const msgpack::object& root = handle.get();
    if (root.type != msgpack::type::ARRAY || root.via.array.size != 4 ||
        root.via.array.ptr[0].as<uint32_t>() != kFormat)
      return std::nullopt;
    const vm_id broadcast_origin(root.via.array.ptr[2].as<std::string>());
    const auto content = root.via.array.ptr[3].as<std::string>();
    // Message types are numbered by their index in peer_message.
    switch (root.via.array.ptr[1].as<uint32_t>()) {
      case 0:
        return peer_envelope{UnpackMessage<peer_digest>(content),
                             broadcast_origin};
      case 1:
        return peer_envelope{UnpackMessage<load_notice>(content),
                             broadcast_origin};
      case 2: {
        const auto rows = Inflate(content, kMaxTableBytes);
        if (!rows)
          return std::nullopt;
        return peer_envelope{UnpackMessage<table_changes>(*rows),
                             broadcast_origin};
      }
      case 3:
        return peer_envelope{UnpackMessage<crash_report>(content),
                             broadcast_origin};
      case 4:
        return peer_envelope{UnpackMessage<stream_origin>(content),
                             broadcast_origin};
      case 5:
        return peer_envelope{UnpackMessage<origin_query>(content),
                             broadcast_origin};
      case 6:
        return peer_envelope{UnpackMessage<origin_reply>(content),
                             broadcast_origin};
      case 7:
        return peer_envelope{UnpackMessage<crash_history>(content),
                             broadcast_origin};
      default:
        return std::nullopt;
    }
  } catch (const std::exception&) {
    // The caller counts and logs undecodable datagrams.
    return std::nullopt;
  }
}

}  // namespace jasminepath::gateway
