#include "table_relay.h"

#include <charconv>
#include <optional>
#include <utility>
#include <variant>

namespace jasminepath::gateway {
namespace {

constexpr char kPathPrefix[] = "/facts/";
constexpr std::string_view kAfterParameter = "?after=";
constexpr std::string_view kEraParameter = "&era=";
// Timeout of a fetch from a peer.
constexpr duration kFetchTimeout = Milliseconds(800);
// Limit on a fetched table, whose rows are compressed.
constexpr std::size_t kMaxTableBytes = std::size_t{8} << 20;

// The number behind a parameter of the target; 0 if there is none.
int64_t ParseParameter(std::string_view target, std::string_view name) {
  const std::size_t at = target.find(name);
  if (at == std::string_view::npos)
    return 0;
  int64_t value = 0;
  std::from_chars(target.data() + at + name.size(),
                  target.data() + target.size(), value);
  return value;
}

// Version as of which the peer's copy is complete. Nodes of earlier releases
// don't state its era.
store_version ParseKnownVersion(std::string_view target) {
  return {store_era(ParseParameter(target, kEraParameter)),
          ParseParameter(target, kAfterParameter)};
}

}  // namespace

table_relay::table_relay(http::event_loop& loop, report::event_log& log)
    : loop_(loop), log_(log) {}

std::string table_relay::PathOfTable(const table_follower& table) {
  return kPathPrefix + table.copy().table();
}

const std::string& table_relay::Answer(const table_follower& table,
                                       std::string_view target) {
  const table_copy& copy = table.copy();
  const store_version after = ParseKnownVersion(target);
  cached_answer& known = answers_[copy.table()];
  // Peers with different versions mostly lack the same changes.
  const store_version since = copy.EquivalentVersion(after);
  const store_version history_from(copy.version().era(),
                                   copy.status().history_from);
  if (known.body.empty() || known.since != since ||
      known.history_from != history_from ||
      known.last_change != copy.last_change())
    known = {since, history_from, copy.last_change(),
             EncodePeerMessage(copy.ChangesSince(after))};
  return known.body;
}

void table_relay::Fetch(const std::string& table_server_address,
                        const vm_id& peer,
                        table_follower& table) {
  const auto address = http::ParseEndpoint(table_server_address);
  if (call_ || !address)
    return;
  client_ = std::make_unique<http::client>(loop_, address.value());
  http::request message;
  message.method = "GET";
  const store_version known = table.copy().version();
  message.target = PathOfTable(table) + std::string(kAfterParameter) +
                   std::to_string(known.number()) + std::string(kEraParameter) +
                   std::to_string(known.era().count());
  message.headers.Add("Host", table_server_address);
  call_ = std::make_unique<http::buffered_call>(
      loop_, *client_, message, kFetchTimeout, kMaxTableBytes,
      [this, peer, &table](const http::response* answer, http::call_failure) {
        const auto finished = std::move(call_);
        OnFetched(answer, peer, table);
      });
}

void table_relay::OnFetched(const http::response* answer,
                            const vm_id& peer,
                            table_follower& table) {
  if (answer == nullptr || answer->head.status != 200) {
    log_.Write(report::log_level::warning, "facts_not_fetched",
               {{"peer", peer.value()}, {"table", table.copy().table()}});
    return;
  }
  const auto envelope = DecodePeerMessage(answer->body);
  const auto* changes =
      envelope ? std::get_if<table_changes>(&envelope->message) : nullptr;
  if (changes == nullptr || changes->table != table.copy().table()) {
    log_.Write(report::log_level::warning, "facts_unreadable",
               {{"peer", peer.value()}, {"table", table.copy().table()}});
    return;
  }
  const store_version before = table.copy().version();
  table.ApplyChanges(*changes, boot_clock::now());
  if (table.copy().version() != before)
    log_.Write(report::log_level::info, "facts_adopted",
               {{"peer", peer.value()},
                {"table", table.copy().table()},
                {"era", table.copy().version().era().count()},
                {"version", table.copy().version().number()},
                {"rows", static_cast<int64_t>(changes->rows.size())},
                {"whole", static_cast<int64_t>(changes->is_snapshot)}});
}

}  // namespace jasminepath::gateway
