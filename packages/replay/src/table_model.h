#ifndef JASMINEPATH_REPLAY_TABLE_MODEL_H_
#define JASMINEPATH_REPLAY_TABLE_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "event_queue.h"
#include "jasminepath/base/units.h"

namespace jasminepath::replay {

// How a write of the table ended, as its caller sees it.
enum class table_end { committed, conflict, lost, unreachable };

// Counts of the table's calls, and what fails of it.
class table_conditions {
 public:
  explicit table_conditions(event_queue& events) : events_(events) {}

  void SetDown(bool down) { down_ = down; }
  void LoseAnswers(int64_t count) { answers_to_lose_ = count; }
  bool down() const { return down_; }

  // Counts a call and runs it after the table's latency.
  void Read(event_queue::handler run);
  void Write(event_queue::handler run);
  // Whether the answer to a write that took effect is lost.
  bool TakeLostAnswer();

  revision NextVersion() { return revision(++version_); }
  int64_t reads() const { return reads_; }
  int64_t writes() const { return writes_; }

 private:
  event_queue& events_;
  bool down_ = false;
  int64_t answers_to_lose_ = 0;
  int64_t version_ = 0;
  int64_t reads_ = 0;
  int64_t writes_ = 0;
};

// Rows of one kind in the platform's table, by key.
template <typename Key, typename Record>
class table_model {
 public:
  struct row {
    revision version;
    Record record;
  };
  struct write_result {
    table_end end = table_end::lost;
    revision version;
    std::optional<row> stored;
  };

  explicit table_model(table_conditions& conditions)
      : conditions_(conditions) {}

  // Reads a row; `done` gets false when the table is down.
  void Read(const Key& key,
            std::function<void(bool, std::optional<row>)> done) {
    conditions_.Read([this, key, done = std::move(done)] {
      if (conditions_.down())
        return done(false, std::nullopt);
      done(true, Find(key));
    });
  }

  // Writes a row if it has the version (0: is absent); no record deletes it.
  void Write(const Key& key,
             revision expected,
             std::optional<Record> record,
             std::function<void(const write_result&)> done) {
    conditions_.Write(
        [this, key, expected, record = std::move(record),
         done = std::move(done)] { done(Apply(key, expected, record)); });
  }

 private:
  std::optional<row> Find(const Key& key) const {
    const auto found = rows_.find(key);
    if (found == rows_.end())
      return std::nullopt;
    return found->second;
  }

  write_result Apply(const Key& key,
                     revision expected,
                     const std::optional<Record>& record) {
    if (conditions_.down())
      return {table_end::unreachable, {}, std::nullopt};
    const auto stored = Find(key);
    if ((stored ? stored->version : revision()) != expected)
      return {table_end::conflict, {}, stored};
    const revision version = conditions_.NextVersion();
    if (record)
      rows_[key] = row{version, *record};
    else
      rows_.erase(key);
    if (conditions_.TakeLostAnswer())
      return {table_end::lost, {}, std::nullopt};
    return {table_end::committed, version, std::nullopt};
  }

  table_conditions& conditions_;
  std::map<Key, row> rows_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TABLE_MODEL_H_
