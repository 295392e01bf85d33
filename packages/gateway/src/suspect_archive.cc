#include "suspect_archive.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::gateway {
namespace {

using config::json_value;

// Node names have no slash.
constexpr char kKeyPrefix[] = "crashes/";
constexpr char kSuspectsField[] = "suspects";
constexpr char kHashField[] = "hash";
constexpr char kCrashedAtField[] = "crashed_at_ms";
constexpr char kAnsweredField[] = "answered";
constexpr char kCrashesField[] = "crashes";
// Minimum time between two looks at the suspects, and thereby between two
// writes.
constexpr duration kCheckInterval = Milliseconds(500);

// Whether the row of one list would say the same as that of the other.
bool HaveSameCrashes(const std::vector<known_suspect>& a,
                     const std::vector<known_suspect>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const known_suspect& x, const known_suspect& y) {
                      return x.suspect == y.suspect && x.crashes == y.crashes;
                    });
}

}  // namespace

std::string EncodeSuspects(const std::vector<known_suspect>& suspects,
                           int64_t store_time_ms) {
  json_value::array items;
  for (const known_suspect& suspect : suspects) {
    json_value::array crashes;
    for (const uint32_t id : suspect.crashes)
      crashes.emplace_back(static_cast<int64_t>(id));
    json_value::object item;
    // Stored as a string, because JSON numbers are exact only up to 53 bits.
    item.push_back({kHashField, json_value(std::to_string(suspect.suspect))});
    item.push_back(
        {kCrashedAtField, json_value(store_time_ms - suspect.age_ms)});
    item.push_back({kAnsweredField, json_value(suspect.answered)});
    item.push_back({kCrashesField, json_value(std::move(crashes))});
    items.emplace_back(std::move(item));
  }
  json_value::object root;
  root.push_back({kSuspectsField, json_value(std::move(items))});
  return config::WriteJson(json_value(std::move(root)));
}

decoded<std::vector<known_suspect>> DecodeSuspects(const std::string& value,
                                                   int64_t store_time_ms) {
  const auto parsed = config::ParseJson(value);
  if (!parsed)
    return failure(decode_error{parsed.error().message});
  const json_value* items = parsed.value().Find(kSuspectsField);
  if (items == nullptr || items->AsArray() == nullptr)
    return failure(decode_error{"no array \"suspects\""});
  std::vector<known_suspect> suspects;
  for (const json_value& item : *items->AsArray()) {
    known_suspect suspect;
    const std::string hash = item.StringOr(kHashField, "");
    const char* const end = hash.data() + hash.size();
    const auto number = std::from_chars(hash.data(), end, suspect.suspect);
    const json_value* crashes = item.Find(kCrashesField);
    if (number.ec != std::errc() || number.ptr != end || crashes == nullptr ||
        crashes->AsArray() == nullptr)
      return failure(decode_error{"a suspect without hash or crashes"});
    // The store's clock may have been read a little earlier than stated.
    suspect.age_ms = std::max<int64_t>(
        store_time_ms - item.IntegerOr(kCrashedAtField, 0), 0);
    const json_value* answered = item.Find(kAnsweredField);
    suspect.answered = answered != nullptr && answered->AsBool() != nullptr &&
                       *answered->AsBool();
    for (const json_value& id : *crashes->AsArray()) {
      if (id.AsInteger() != nullptr)
        suspect.crashes.push_back(static_cast<uint32_t>(*id.AsInteger()));
    }
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

suspect_archive::suspect_archive(std::string table,
                                 const zone_id& zone,
                                 store_client& store,
                                 crash_suspects& suspects,
                                 report::event_log& log)
    : table_(std::move(table)),
      key_(kKeyPrefix + zone.value()),
      store_(store),
      suspects_(suspects),
      log_(log) {}

bool suspect_archive::OnRow(const table_row& row,
                            int64_t store_time_ms,
                            time_point now) {
  store_time_ms_ = store_time_ms;
  store_time_at_ = now;
  if (!row.key.starts_with(kKeyPrefix))
    return false;
  auto read = DecodeSuspects(row.value, store_time_ms);
  if (!read) {
    log_.Write(report::log_level::warning, "suspects_unreadable",
               {{"key", row.key}, {"reason", read.error().message}});
    return true;
  }
  suspects_.OnHistory({{}, {}, std::move(read).value()}, now);
  return true;
}

void suspect_archive::Tick(bool should_write, time_point now) {
  if (!should_write || is_calling_ || now < next_check_at_ ||
      store_time_ms_ == 0)
    return;
  next_check_at_ = now + kCheckInterval;
  std::vector<known_suspect> blocked = suspects_.History(now).suspects;
  std::erase_if(blocked, [&](const known_suspect& known) {
    return !suspects_.IsBlocked({known.suspect}, now);
  });
  // A row whose suspects are no longer blocked does no harm: it states when
  // they crashed.
  if (blocked.empty() || HaveSameCrashes(blocked, written_))
    return;
  is_calling_ = true;
  const int64_t store_now_ms =
      store_time_ms_ + ToMilliseconds(now - store_time_at_);
  call_ = store_.Write(
      {table_, key_, EncodeSuspects(blocked, store_now_ms), std::nullopt},
      [this, blocked](const store_answer& answer) {
        OnWritten(blocked, answer);
      });
}

void suspect_archive::OnWritten(std::vector<known_suspect> suspects,
                                const store_answer& answer) {
  is_calling_ = false;
  if (answer.status != store_status::done)
    return;
  written_ = std::move(suspects);
  log_.Write(report::log_level::info, "suspects_recorded",
             {{"suspects", static_cast<int64_t>(written_.size())}});
}

}  // namespace jasminepath::gateway
