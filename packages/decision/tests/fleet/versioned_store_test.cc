#include "jasminepath/decision/fleet/versioned_store.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/check_histories.h"
#include "jasminepath/decision/fleet/row_exchange.h"

namespace jasminepath::decision {
namespace {

constexpr int kHistoryCount = 20000;
constexpr std::size_t kCopyCount = 3;
constexpr int kKeyCount = 5;

// Simulates the table, three copies of its rows, and the messages in flight,
// which a history drops, repeats and delivers in any order.
class store_world {
 public:
  store_world() {
    for (std::size_t i = 0; i < kCopyCount; ++i) {
      fleet_limits limits;
      // A page holds one or two rows.
      limits.page_bytes = 20;
      copies_.emplace_back(row_topic::facts, limits);
    }
  }

  void Commit(int key, bool deleted) {
    ++version_;
    const std::string name = "fact/" + std::to_string(key);
    table_[name] = {.key = name,
                    .value = deleted ? "" : std::to_string(version_),
                    .version = revision(version_),
                    .deleted = deleted};
  }

  void PushRow(std::size_t copy, int key) {
    const auto found = table_.find("fact/" + std::to_string(key));
    if (found != table_.end())
      RecordChanges(copy, copies_[copy].store().ApplyRows({found->second}));
  }

  // Reads the table immediately. The answer is delivered by a later step of the
  // history.
  void Poll(std::size_t copy) {
    poll_answer answer{.since = copies_[copy].store().complete_through(),
                       .version = revision(version_),
                       .rows = {}};
    for (const auto& [key, row] : table_) {
      const bool is_skipped = row.deleted && answer.since == revision();
      if (row.version > answer.since && !is_skipped)
        answer.rows.push_back(row);
    }
    in_flight_.push_back({.to = copy, .from = copy, .content = answer});
  }

  void Heartbeat(std::size_t from, std::size_t to) {
    in_flight_.push_back(
        {.to = to, .from = from, .content = copies_[from].store().digest()});
  }

  // Delivers a message. If `repeated` is set, the message stays in flight and
  // can be delivered again.
  void Deliver(std::size_t choice, bool repeated) {
    if (in_flight_.empty())
      return;
    const std::size_t index = choice % in_flight_.size();
    const message delivered = in_flight_[index];
    if (!repeated)
      Drop(index);
    std::visit([&](const auto& content) { On(delivered, content); },
               delivered.content);
  }

  void Drop(std::size_t choice) {
    if (in_flight_.empty())
      return;
    const std::size_t index = choice % in_flight_.size();
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void Advance() { now_ += Seconds(1); }

  void DeliverAll() {
    while (!in_flight_.empty())
      Deliver(0, false);
  }

  // Whether every copy holds exactly the rows up to the version that its digest
  // states as `reflects_through`.
  bool AreDigestsAccurate() const {
    for (const auto& copy : copies_) {
      for (const auto& [key, row] : table_) {
        if (row.version > copy.store().reflects_through())
          continue;
        const fact* held = copy.store().Find(key);
        const bool is_exact =
            row.deleted ? held == nullptr : held != nullptr && *held == row;
        if (!is_exact)
          return false;
      }
    }
    return true;
  }

  bool DoAllCopiesEqualTable() const {
    for (const auto& copy : copies_) {
      for (const auto& [key, row] : table_) {
        const fact* held = copy.store().Find(key);
        if ((held != nullptr) == row.deleted)
          return false;
        if (held && *held != row)
          return false;
      }
    }
    return true;
  }

  bool HasVersionDecreased() const { return has_version_decreased_; }

 private:
  struct poll_answer {
    revision since;
    revision version;
    std::vector<fact> rows;
  };
  using message_content =
      std::variant<poll_answer, store_digest, row_request, fact_page>;
  struct message {
    std::size_t to = 0;
    std::size_t from = 0;
    message_content content;
  };

  static instance_id Name(std::size_t copy) {
    return instance_id(std::to_string(copy));
  }

  void RecordChanges(std::size_t copy, const std::vector<fact>& changed) {
    for (const fact& row : changed) {
      revision& last = applied_[{copy, row.key}];
      has_version_decreased_ = has_version_decreased_ || row.version <= last;
      last = row.version;
    }
  }

  void Reply(const message& to, message_content content) {
    in_flight_.push_back(
        {.to = to.from, .from = to.to, .content = std::move(content)});
  }

  void On(const message& source, const poll_answer& answer) {
    auto& store = copies_[source.to].store();
    RecordChanges(
        source.to,
        answer.since == revision()
            ? store.ApplySnapshot(answer.rows, answer.version)
            : store.ApplyChanges(answer.rows, answer.since, answer.version));
  }

  void On(const message& source, const store_digest& digest) {
    if (const auto request =
            copies_[source.to].OnDigest(Name(source.from), digest, now_))
      Reply(source, *request);
  }

  void On(const message& source, const row_request& request) {
    Reply(source, copies_[source.to].store().MakePage(request, 20));
  }

  void On(const message& source, const fact_page& page) {
    const auto outcome =
        copies_[source.to].OnPage(Name(source.from), page, now_);
    RecordChanges(source.to, outcome.changed);
    if (outcome.next)
      Reply(source, *outcome.next);
  }

  int64_t version_ = 0;
  std::map<std::string, fact> table_;
  std::vector<row_exchange<std::string>> copies_;
  std::vector<message> in_flight_;
  std::map<std::pair<std::size_t, std::string>, revision> applied_;
  time_point now_ = time_point() + Seconds(100);
  bool has_version_decreased_ = false;
};

// Applies one step, which is decoded from the bytes of `step`.
void TakeStep(store_world& world, uint32_t step) {
  const uint32_t kind = step % 16;
  const std::size_t a = (step >> 8) % kCopyCount;
  const std::size_t b = (a + 1 + (step >> 16) % (kCopyCount - 1)) % kCopyCount;
  const int key = static_cast<int>((step >> 16) % kKeyCount);
  const std::size_t choice = step >> 8;
  if (kind < 3)
    world.Commit(key, kind == 0);
  else if (kind == 3)
    world.PushRow(a, key);
  else if (kind < 6)
    world.Poll(a);
  else if (kind < 9)
    world.Heartbeat(a, b);
  else if (kind == 9)
    world.Drop(choice);
  else if (kind == 10)
    world.Advance();
  else
    world.Deliver(choice, kind == 11);
}

BOOST_AUTO_TEST_CASE(CopyVersionsNeverDecreaseAndDigestsAreAccurate) {
  BOOST_TEST(CheckHistories(
      "row versions never decrease, digests are accurate, and copies converge",
      kHistoryCount, [](const std::vector<uint32_t>& history) {
        store_world world;
        for (const uint32_t step : history) {
          TakeStep(world, step);
          RC_ASSERT(!world.HasVersionDecreased());
          RC_ASSERT(world.AreDigestsAccurate());
        }
        world.DeliverAll();
        world.Poll(0);
        world.DeliverAll();
        for (int round = 0; round < 8; ++round) {
          world.Advance();
          world.Heartbeat(0, 1);
          world.Heartbeat(0, 2);
          world.DeliverAll();
        }
        RC_ASSERT(!world.HasVersionDecreased());
        RC_ASSERT(world.AreDigestsAccurate());
        RC_ASSERT(world.DoAllCopiesEqualTable());
      }));
}

BOOST_AUTO_TEST_CASE(SnapshotRemovesRowsDeletedBeyondTombstoneLimit) {
  versioned_store<std::string> source;
  const int64_t rows = versioned_store<std::string>::kMaxTombstones + 10;
  std::vector<fact> created;
  for (int64_t i = 1; i <= rows; ++i)
    created.push_back({.key = std::to_string(i),
                       .value = "x",
                       .version = revision(i),
                       .deleted = false});
  source.ApplyChanges(created, revision(), revision(rows));
  row_exchange<std::string> copy(row_topic::facts, fleet_limits());
  copy.store().ApplyChanges(created, revision(), revision(rows));
  std::vector<fact> deletions;
  for (int64_t i = 1; i <= rows; ++i)
    deletions.push_back({.key = std::to_string(i),
                         .value = "",
                         .version = revision(rows + i),
                         .deleted = true});
  source.ApplyChanges(deletions, revision(rows), revision(2 * rows));
  source.ApplyRows({});
  const instance_id peer("peer");
  time_point now = time_point() + Seconds(1);
  BOOST_TEST(!copy.OnDigest(peer, source.digest(), now).has_value());
  now += Seconds(2);
  auto request = copy.OnDigest(peer, source.digest(), now);
  BOOST_REQUIRE(request.has_value());
  std::size_t removed = 0;
  while (request) {
    const auto outcome =
        copy.OnPage(peer, source.MakePage(*request, 1000), now);
    removed += outcome.changed.size();
    request = outcome.next;
  }
  BOOST_TEST(removed == static_cast<std::size_t>(rows));
  BOOST_TEST((copy.store().digest().hash == source.digest().hash));
}

}  // namespace
}  // namespace jasminepath::decision
