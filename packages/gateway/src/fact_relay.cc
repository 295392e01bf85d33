#include "fact_relay.h"

#include <charconv>
#include <optional>
#include <utility>
#include <variant>

namespace jasminepath::gateway {
namespace {

constexpr char kPathPrefix[] = "/facts/";
constexpr std::string_view kKnownChange = "?after=";
// Time limit of a fetch from a peer.
constexpr duration kFetchTimeout = Milliseconds(800);

// Version of the last change that the peer knows; 0 if the target names none.
revision KnownChange(std::string_view target) {
  const std::size_t query = target.find(kKnownChange);
  if (query == std::string_view::npos)
    return {};
  int64_t known = 0;
  const char* first = target.data() + query + kKnownChange.size();
  std::from_chars(first, target.data() + target.size(), known);
  return revision(known);
}

}  // namespace

fact_relay::fact_relay(http::event_loop& loop, report::event_log& log)
    : loop_(loop), log_(log) {}

std::string fact_relay::PathOfTable(const table_follower& table) {
  return kPathPrefix + table.copy().table();
}

const std::string& fact_relay::Answer(const table_follower& table,
                                      std::string_view target) {
  const table_copy& copy = table.copy();
  const revision after = KnownChange(target);
  known_answer& known = answers_[copy.table()];
  if (known.body.empty() || known.after != after ||
      known.last_change != copy.last_change())
    known = {after, copy.last_change(),
             EncodePeerMessage(copy.ChangesSince(after))};
  return known.body;
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
  message.target = PathOfTable(table) + std::string(kKnownChange) +
                   std::to_string(table.copy().last_change().count());
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
  const revision before = table.copy().version();
  table.Take(*changes);
  if (table.copy().version() != before)
    log_.Write(report::log_level::info, "facts_adopted",
               {{"peer", peer.value()},
                {"table", table.copy().table()},
                {"version", table.copy().version().count()},
                {"rows", static_cast<int64_t>(changes->rows.size())},
                {"whole", static_cast<int64_t>(changes->whole)}});
}

}  // namespace jasminepath::gateway
