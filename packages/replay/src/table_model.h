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

// The result of a table write as the caller sees it. `lost` means that the
// write took effect and its answer was lost.
enum class table_write_status { committed, conflict, lost, unreachable };

// The state that all rows of the table share: call counts, version counter and
// injected faults.
class table_state {
 public:
  explicit table_state(event_queue& events) : events_(events) {}

  void SetDown(bool down) { down_ = down; }
  void LoseAnswers(int64_t count) { answers_to_lose_ = count; }
  bool IsDown() const { return down_; }

  // Count a call and run it after the latency of the table.
  void Read(event_queue::handler run);
  void Write(event_queue::handler run);
  // Consumes one of the answers to lose. False if none is left.
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

// The rows of one kind in the platform's table, by key.
template <typename Key, typename Record>
class table_model {
 public:
  struct row {
    revision version;
    Record record;
  };
  struct write_result {
    table_write_status end = table_write_status::lost;
    revision version;
    std::optional<row> stored;
  };

  explicit table_model(table_state& state) : state_(state) {}

  // Reads a row. `done` receives false if the table is down.
  void Read(const Key& key,
            std::function<void(bool, std::optional<row>)> done) {
    state_.Read([this, key, done = std::move(done)] {
      if (state_.IsDown())
        return done(false, std::nullopt);
      done(true, Find(key));
    });
  }

  // Writes a row if its version is `expected` (0: the row is absent). Without a
  // record, deletes the row.
  void Write(const Key& key,
             revision expected,
             std::optional<Record> record,
             std::function<void(const write_result&)> done) {
    state_.Write(
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
    if (state_.IsDown())
      return {table_write_status::unreachable, {}, std::nullopt};
    const auto stored = Find(key);
    if ((stored ? stored->version : revision()) != expected)
      return {table_write_status::conflict, {}, stored};
    const revision version = state_.NextVersion();
    if (record)
      rows_[key] = row{version, *record};
    else
      rows_.erase(key);
    if (state_.TakeLostAnswer())
      return {table_write_status::lost, {}, std::nullopt};
    return {table_write_status::committed, version, std::nullopt};
  }

  table_state& state_;
  std::map<Key, row> rows_;
};

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TABLE_MODEL_H_
