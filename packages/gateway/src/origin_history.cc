#include "origin_history.h"

#include <algorithm>
#include <utility>

#include "jasminepath/config/json_value.h"

namespace jasminepath::gateway {
namespace {

using config::json_value;

constexpr char kOriginsField[] = "origins";
// Minimum time between two writes of a node, and the number of writes per
// second of all nodes together, a quarter of what a site's store takes.
constexpr duration kMinWriteInterval = Milliseconds(400);
constexpr int64_t kMaxWritesPerSecond = 100;
constexpr duration kRetryDelay = Milliseconds(400);
// Limit on a row, which holds the newest streams, and what a stream takes of it
// besides its texts.
constexpr std::size_t kMaxRowBytes = 48 * 1024;
constexpr std::size_t kBytesPerOrigin = 8;

std::size_t SizeInRow(const stream_origin& origin) {
  return origin.attempt.value().size() + origin.version.value().size() +
         kBytesPerOrigin;
}

}  // namespace

std::string EncodeOrigins(const std::vector<stream_origin>& origins) {
  json_value::array items;
  for (const stream_origin& origin : origins) {
    json_value::array item;
    item.emplace_back(origin.attempt.value());
    item.emplace_back(origin.version.value());
    items.emplace_back(std::move(item));
  }
  json_value::object root;
  root.push_back({kOriginsField, json_value(std::move(items))});
  return config::WriteJson(json_value(std::move(root)));
}

decoded<std::vector<stream_origin>> DecodeOrigins(const std::string& value) {
  const auto parsed = config::ParseJson(value);
  if (!parsed)
    return failure(decode_error{parsed.error().message});
  const json_value* items = parsed.value().Find(kOriginsField);
  if (items == nullptr || items->AsArray() == nullptr)
    return failure(decode_error{"no array \"origins\""});
  std::vector<stream_origin> origins;
  for (const json_value& item : *items->AsArray()) {
    const json_value::array* pair = item.AsArray();
    if (pair == nullptr || pair->size() != 2 ||
        (*pair)[0].AsString() == nullptr || (*pair)[1].AsString() == nullptr)
      return failure(decode_error{
          "an item of \"origins\" is not a pair of a request and a version"});
    origins.push_back({request_id(*(*pair)[0].AsString()),
                       software_version(*(*pair)[1].AsString())});
  }
  return origins;
}

origin_history::origin_history(vm_id self,
                               store_client& store,
                               const software_versions& versions,
                               stream_origins& origins,
                               report::event_log& log)
    : self_(std::move(self)),
      store_(store),
      versions_(versions),
      origins_(origins),
      log_(log) {}

void origin_history::Add(const stream_origin& origin, time_point now) {
  AddOwn(origin, now);
  is_unwritten_ = true;
}

void origin_history::Tick(bool knows_versions, int64_t nodes, time_point now) {
  write_interval_ =
      std::max(kMinWriteInterval, Seconds(nodes) / kMaxWritesPerSecond);
  if (is_calling_ || now < next_call_at_ || !knows_versions)
    return;
  if (!is_known_) {
    // Without several versions, no stream needs its origin.
    if (HasServiceWithSeveral(now))
      return Read();
    is_known_ = true;
  }
  if (is_unwritten_)
    Write(now);
}

bool origin_history::HasServiceWithSeveral(time_point now) const {
  const auto services = versions_.Services();
  return std::any_of(services.begin(), services.end(),
                     [&](const service_id& service) {
                       return versions_.RecordsOrigins(service, now);
                     });
}

void origin_history::Read() {
  is_calling_ = true;
  call_ = store_.Read(kTable, from_key_, kPageTimeout,
                      [this](const store_answer& answer) { OnRead(answer); });
}

void origin_history::OnRead(const store_answer& answer) {
  is_calling_ = false;
  const time_point now = boot_clock::now();
  if (answer.status != store_status::done) {
    next_call_at_ = now + kRetryDelay;
    return;
  }
  for (const table_row& row : answer.page.rows)
    Learn(row, now);
  if (answer.page.more && !answer.page.rows.empty()) {
    // The next page begins right after the last key of this one.
    from_key_ = answer.page.rows.back().key + '\x01';
    return Read();
  }
  is_known_ = true;
  log_.Write(report::log_level::info, "origins_read",
             {{"streams", read_origins_}});
}

void origin_history::Learn(const table_row& row, time_point now) {
  const auto read = DecodeOrigins(row.value);
  if (!read) {
    log_.Write(report::log_level::warning, "origins_unreadable",
               {{"node", row.key}, {"reason", read.error().message}});
    return;
  }
  for (const stream_origin& origin : read.value()) {
    origins_.Learn(origin, now);
    if (row.key == self_.value())
      AddOwn(origin, now);
  }
  read_origins_ += static_cast<int64_t>(read.value().size());
}

void origin_history::AddOwn(const stream_origin& origin, time_point now) {
  own_.emplace_back(now, origin);
  own_bytes_ += SizeInRow(origin);
  while (!own_.empty() && (own_bytes_ > kMaxRowBytes ||
                           now - own_.front().first > versions_.span())) {
    own_bytes_ -= SizeInRow(own_.front().second);
    own_.pop_front();
  }
}

void origin_history::Write(time_point now) {
  std::vector<stream_origin> origins;
  origins.reserve(own_.size());
  for (const auto& [begun_at, origin] : own_)
    origins.push_back(origin);
  is_calling_ = true;
  is_unwritten_ = false;
  next_call_at_ = now + write_interval_;
  call_ = store_.Write(
      {kTable, self_.value(), EncodeOrigins(origins), std::nullopt},
      [this](const store_answer& answer) { OnWritten(answer); });
}

void origin_history::OnWritten(const store_answer& answer) {
  is_calling_ = false;
  if (answer.status != store_status::done)
    is_unwritten_ = true;
}

}  // namespace jasminepath::gateway
