#include "fact_relay.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace jasminepath::gateway {
namespace {

constexpr char kPathPrefix[] = "/facts/";
// Time limit of a fetch from a peer.
constexpr duration kFetchTimeout = Milliseconds(800);

// Key, value and version of each row; the version of the table and its last
// change.
using packed_row = std::tuple<std::string, std::string, int64_t>;
using packed_table = std::tuple<int64_t, int64_t, std::vector<packed_row>>;

std::optional<packed_table> Decode(const std::string& bytes) {
  try {
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<packed_table>();
  } catch (const std::exception&) {
    // The caller logs that the copy cannot be read.
    return std::nullopt;
  }
}

}  // namespace

fact_relay::fact_relay(http::event_loop& loop, report::event_log& log)
    : loop_(loop), log_(log) {}

std::string fact_relay::PathOfTable(const table_follower& table) {
  return kPathPrefix + table.table();
}

std::string fact_relay::Encode(const table_follower& table) {
  packed_table packed;
  std::get<0>(packed) = table.version().count();
  std::get<1>(packed) = table.last_change().count();
  for (const auto& [key, row] : table.rows())
    std::get<2>(packed).emplace_back(key, row.value, row.version.count());
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, packed);
  return {buffer.data(), buffer.size()};
}

void fact_relay::Fetch(const std::string& facts_address,
                       const vm_id& peer,
                       table_follower& table) {
  const auto address = http::ParseEndpoint(facts_address);
  if (call_ || !address)
    return;
  client_ = std::make_unique<http::client>(loop_, address.value());
  http::request message;
  message.method = "GET";
  message.target = PathOfTable(table);
  message.headers.Add("Host", facts_address);
  call_ = std::make_unique<http::whole_call>(
      loop_, *client_, message, kFetchTimeout,
      [this, peer, &table](const http::response* answer, http::call_failure) {
        const auto finished = std::move(call_);
        OnFetched(answer, peer, table);
      });
}

void fact_relay::OnFetched(const http::response* answer,
                           const vm_id& peer,
                           table_follower& table) {
  if (answer == nullptr || answer->head.status != 200) {
    log_.Write(report::log_level::warning, "facts_not_fetched",
               {{"peer", peer.value()}, {"table", table.table()}});
    return;
  }
  const auto packed = Decode(answer->body);
  if (!packed) {
    log_.Write(report::log_level::warning, "facts_unreadable",
               {{"peer", peer.value()}, {"table", table.table()}});
    return;
  }
  std::vector<table_row> rows;
  for (const auto& [key, value, version] : std::get<2>(*packed))
    rows.push_back({key, value, revision(version), false});
  const revision before = table.version();
  table.Adopt(rows, revision(std::get<0>(*packed)),
              revision(std::get<1>(*packed)));
  if (table.version() != before)
    log_.Write(report::log_level::info, "facts_adopted",
               {{"peer", peer.value()},
                {"table", table.table()},
                {"version", table.version().count()}});
}

}  // namespace jasminepath::gateway
