#include "version_history.h"

#include <algorithm>
#include <utility>

namespace jasminepath::gateway {
namespace {

// Delay after a failed call.
constexpr duration kRetryDelay = Milliseconds(400);

duration SinceEpoch(time_point at) {
  return at.time_since_epoch();
}

}  // namespace

version_history::version_history(store_client& store,
                                 software_versions& versions,
                                 duration write_delay,
                                 report::event_log& log)
    : store_(store),
      versions_(versions),
      write_delay_(write_delay),
      log_(log) {}

void version_history::Tick(bool should_write, time_point now) {
  should_write_ = should_write;
  if (is_calling_ || now < next_call_at_)
    return;
  if (!is_known_)
    return Read();
  if (!should_write || !FindOutdated(now))
    return outdated_since_.reset();
  if (!outdated_since_)
    outdated_since_ = now;
  if (now - *outdated_since_ >= write_delay_)
    Read();
}

void version_history::Read() {
  is_calling_ = true;
  read_at_ = boot_clock::now();
  call_ = store_.Read(kTable, "", kRowTimeout,
                      [this](const store_answer& answer) { OnRead(answer); });
}

void version_history::OnRead(const store_answer& answer) {
  is_calling_ = false;
  const time_point now = boot_clock::now();
  if (answer.status != store_status::done)
    return OnFailure(now);
  // Rounded up, so that no version appears to have left earlier than it has.
  store_clock_offset_ =
      Milliseconds(answer.page.store_time_ms + 1) - SinceEpoch(read_at_);
  read_era_ = answer.page.version.era();
  rows_.clear();
  for (const table_row& row : answer.page.rows) {
    auto record = DecodeVersionRecord(row.value);
    if (!record) {
      log_.Write(report::log_level::warning, "version_record_unreadable",
                 {{"service", row.key}, {"reason", record.error().message}});
      rows_[service_id(row.key)] = {row.version, {}};
      continue;
    }
    Restore(service_id(row.key), record.value(), now);
    rows_[service_id(row.key)] = {row.version, std::move(record).value()};
  }
  if (!is_known_) {
    is_known_ = true;
    log_.Write(report::log_level::info, "version_history",
               {{"services", static_cast<int64_t>(rows_.size())}});
  }
  if (!should_write_)
    return;
  if (const auto service = FindOutdated(now))
    Write(*service, now);
}

void version_history::Restore(const service_id& service,
                              const version_record& record,
                              time_point now) {
  for (const auto& [version, left_ms] : record) {
    // Only the read at the start is newer than this node's list.
    if (!left_ms && is_known_)
      continue;
    time_point left_at = now;
    if (left_ms)
      left_at = std::min(
          now, time_point(Milliseconds(*left_ms) - store_clock_offset_));
    versions_.Restore(service, version, left_at);
  }
}

std::optional<service_id> version_history::FindOutdated(time_point now) const {
  for (const service_id& service : versions_.Services()) {
    const auto row = rows_.find(service);
    const version_record known =
        row != rows_.end() ? row->second.record : version_record();
    if (Merge(service, now) != known)
      return service;
  }
  return std::nullopt;
}

version_record version_history::Merge(const service_id& service,
                                      time_point now) const {
  const auto row = rows_.find(service);
  version_record merged =
      row != rows_.end() ? row->second.record : version_record();
  const bool has_several = versions_.HasSeveral(service, versions_.span(), now);
  for (const auto& [version, left_at] : versions_.Listings(service)) {
    const auto known = merged.find(version);
    const bool has_streams = !left_at || now - *left_at < versions_.span();
    const bool is_missing = known == merged.end() && has_several && has_streams;
    const bool has_returned =
        known != merged.end() && known->second && !left_at && has_several;
    const bool has_left = known != merged.end() && !known->second && left_at;
    if (!is_missing && !has_returned && !has_left)
      continue;
    merged[version] = left_at ? std::optional(ToMilliseconds(
                                    SinceEpoch(*left_at) + store_clock_offset_))
                              : std::nullopt;
  }
  return merged;
}

void version_history::Write(const service_id& service, time_point now) {
  version_record record = Merge(service, now);
  // Versions whose streams have all ended are of no use any more.
  const int64_t oldest_ms = ToMilliseconds(
      SinceEpoch(now) + store_clock_offset_ - versions_.memory());
  std::erase_if(record, [oldest_ms](const auto& item) {
    return item.second && *item.second < oldest_ms;
  });
  const auto row = rows_.find(service);
  is_calling_ = true;
  call_ =
      store_.Write({kTable, service.value(), EncodeVersionRecord(record),
                    row != rows_.end() ? row->second.version : store_version()},
                   [this, service, record](const store_answer& answer) {
                     OnWritten(service, record, answer);
                   });
}

void version_history::OnWritten(const service_id& service,
                                const version_record& record,
                                const store_answer& answer) {
  is_calling_ = false;
  const time_point now = boot_clock::now();
  // Another node has written first, or the outcome is unknown, or the condition
  // was checked in another era; the next read shows what is still missing.
  if (answer.status != store_status::done || answer.written.era() != read_era_)
    return OnFailure(now);
  rows_[service] = {answer.written, record};
  outdated_since_.reset();
  log_.Write(report::log_level::info, "versions_recorded",
             {{"service", service.value()},
              {"versions", static_cast<int64_t>(record.size())}});
}

void version_history::OnFailure(time_point now) {
  next_call_at_ = now + kRetryDelay;
}

}  // namespace jasminepath::gateway
