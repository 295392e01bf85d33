#include "table_copy.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::gateway {
namespace {

table_row Row(const char* key, const char* value, int64_t version) {
  return {key, value, revision(version), false};
}

table_row Removal(const char* key, int64_t version) {
  return {key, "", revision(version), true};
}

std::map<std::string, table_row> Rows(const std::vector<table_row>& rows) {
  std::map<std::string, table_row> by_key;
  for (const table_row& row : rows)
    by_key[row.key] = row;
  return by_key;
}

// A reader and a peer that both know rows a and b as of version 10.
struct copies_fixture {
  copies_fixture() : reader("t"), peer("t") {
    const auto rows = Rows({Row("a", "1", 8), Row("b", "1", 9)});
    reader.ApplyRead(rows, revision(10));
    peer.ApplyRead(rows, revision(10));
  }
  table_copy reader;
  table_copy peer;
};

BOOST_FIXTURE_TEST_CASE(PeersReceiveOnlyMissingChanges, copies_fixture) {
  reader.ApplyPolled({Row("c", "1", 11), Removal("a", 12), Row("b", "2", 13)},
                     revision(14));
  // The peer has only received the first change.
  reader.ApplyPolled({}, revision(15));
  peer.ApplyPolled({Row("c", "1", 11)}, revision(11));
  const table_changes changes = reader.ChangesSince(peer.last_change());
  BOOST_TEST(!changes.is_snapshot);
  BOOST_TEST(changes.rows.size() == 2U);
  BOOST_TEST((peer.ApplyChanges(changes) == table_copy::outcome::changed));
  BOOST_TEST((peer.rows() == reader.rows()));
  BOOST_TEST((peer.last_change() == revision(13)));
  BOOST_TEST((peer.version() == revision(15)));
}

BOOST_FIXTURE_TEST_CASE(NewPeersReceiveSnapshot, copies_fixture) {
  reader.ApplyPolled({Removal("a", 12)}, revision(12));
  table_copy fresh("t");
  const table_changes changes = reader.ChangesSince(fresh.last_change());
  BOOST_TEST(changes.is_snapshot);
  BOOST_TEST((fresh.ApplyChanges(changes) == table_copy::outcome::changed));
  BOOST_TEST(fresh.is_initialized());
  BOOST_TEST((fresh.rows() == reader.rows()));
}

// A peer that knows only older changes would keep a row that was removed before
// the history of the reader's copy begins.
BOOST_FIXTURE_TEST_CASE(RemovalsBeforeHistoryRequireSnapshot, copies_fixture) {
  table_copy late("t");
  late.ApplyRead(Rows({Row("b", "1", 9)}), revision(20));
  const table_changes changes = late.ChangesSince(peer.last_change());
  BOOST_TEST(changes.is_snapshot);
}

BOOST_FIXTURE_TEST_CASE(CopiesNeverRevertToOlderVersions, copies_fixture) {
  const table_changes old = reader.ChangesSince(revision(0));
  peer.ApplyPolled({Row("a", "2", 11)}, revision(11));
  BOOST_TEST((peer.ApplyChanges(old) == table_copy::outcome::unchanged));
  BOOST_TEST(!peer.ApplyRead(Rows({Row("a", "1", 8)}), revision(10)));
  BOOST_TEST(peer.rows().at("a").value == "2");
}

BOOST_FIXTURE_TEST_CASE(GapsAreReportedForFetching, copies_fixture) {
  reader.ApplyPolled({Row("c", "1", 11)}, revision(11));
  table_changes changes;
  changes.table = "t";
  changes.valid_from = 11;
  changes.last_change = changes.valid_to = changes.complete_to = 12;
  changes.rows = {{"d", "1", 12, false}};
  BOOST_TEST((peer.ApplyChanges(changes) ==
              table_copy::outcome::lacks_earlier_changes));
  BOOST_TEST((reader.ApplyChanges(changes) == table_copy::outcome::changed));
}

BOOST_FIXTURE_TEST_CASE(EvictedRemovalsRequireSnapshot, copies_fixture) {
  std::vector<table_row> changes;
  for (int64_t i = 0; i < 1000; ++i) {
    const std::string key = "k" + std::to_string(i);
    changes.push_back(Row(key.c_str(), "1", 20 + 2 * i));
    changes.push_back(Removal(key.c_str(), 21 + 2 * i));
  }
  reader.ApplyPolled(changes, revision(5000));
  BOOST_TEST(reader.ChangesSince(peer.last_change()).is_snapshot);
  BOOST_TEST(!reader.ChangesSince(revision(2000)).is_snapshot);
}

// Guards against peers that keep a row whose removal was only seen as a row
// that a read of the whole table lacked.
BOOST_FIXTURE_TEST_CASE(PeersLearnWhatAWholeReadLacks, copies_fixture) {
  const auto changes = reader.ApplyRead(Rows({Row("b", "1", 9)}), revision(30));
  BOOST_TEST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->rows.size() == 1U);
  BOOST_TEST((peer.ApplyChanges(*changes) == table_copy::outcome::changed));
  BOOST_TEST((peer.rows() == reader.rows()));
  BOOST_TEST((peer.version() == revision(30)));
}

// As above, for a peer that missed the datagram.
BOOST_FIXTURE_TEST_CASE(PeersFetchWhatAWholeReadLacks, copies_fixture) {
  reader.ApplyRead(Rows({Row("b", "1", 9)}), revision(30));
  BOOST_TEST(!peer.AdvanceTo(reader.status()));
  BOOST_TEST(reader.status().last_change > peer.version().count());
  const table_changes changes = reader.ChangesSince(peer.version());
  BOOST_TEST(!changes.is_snapshot);
  BOOST_TEST((peer.ApplyChanges(changes) == table_copy::outcome::changed));
  BOOST_TEST((peer.rows() == reader.rows()));
}

// A row that was added and removed between the two reads is in neither, so that
// a peer that has it needs all rows.
BOOST_FIXTURE_TEST_CASE(DifferencesApplyToTheSameRowsOnly, copies_fixture) {
  peer.ApplyPolled({Row("c", "1", 15)}, revision(16));
  const auto changes = reader.ApplyRead(Rows({Row("b", "1", 9)}), revision(30));
  BOOST_TEST_REQUIRE(changes.has_value());
  BOOST_TEST((peer.ApplyChanges(*changes) ==
              table_copy::outcome::lacks_earlier_changes));
  BOOST_TEST(!peer.AdvanceTo(reader.status()));
  const table_changes all = reader.ChangesSince(peer.version());
  BOOST_TEST(all.is_snapshot);
  BOOST_TEST((peer.ApplyChanges(all) == table_copy::outcome::changed));
  BOOST_TEST((peer.rows() == reader.rows()));
}

// A node that has just started cannot know which rows were removed before.
BOOST_FIXTURE_TEST_CASE(NewCopiesProveNothingAboutOlderOnes, copies_fixture) {
  table_copy fresh("t");
  fresh.ApplyRead(Rows({Row("b", "1", 9)}), revision(12));
  BOOST_TEST(!peer.AdvanceTo(fresh.status()));
  BOOST_TEST((peer.version() == revision(10)));
}

BOOST_FIXTURE_TEST_CASE(CopiesWithoutChangesAreConfirmed, copies_fixture) {
  reader.ApplyPolled({}, revision(20));
  BOOST_TEST(peer.AdvanceTo(reader.status()));
  BOOST_TEST((peer.version() == revision(20)));
  reader.ApplyPolled({Row("c", "1", 21)}, revision(22));
  BOOST_TEST(!peer.AdvanceTo(reader.status()));
  BOOST_TEST((peer.version() == revision(20)));
}

// Rows that a transaction writes together share a version.
BOOST_FIXTURE_TEST_CASE(RowsOfOneTransactionAreAllApplied, copies_fixture) {
  const table_changes changes = reader.ApplyPolled(
      {Row("c", "1", 11), Row("d", "1", 11), Removal("a", 11)}, revision(11));
  BOOST_TEST(changes.rows.size() == 3U);
  BOOST_TEST(reader.rows().size() == 3U);
  BOOST_TEST((peer.ApplyChanges(changes) == table_copy::outcome::changed));
  BOOST_TEST((peer.rows() == reader.rows()));
}

// Users of the copy only look at rows that may have changed.
BOOST_AUTO_TEST_CASE(ReportsKeysOfChangedRows) {
  table_copy copy("servers");
  const auto row = [](const char* key, int64_t version, bool removed = false) {
    return table_row{key, "v", revision(version), removed};
  };
  copy.ApplyRead({{"e1", row("e1", 1)}, {"e2", row("e2", 2)}}, revision(2));
  BOOST_TEST((copy.TakeChangedKeys() == std::set<std::string>{"e1", "e2"}));
  BOOST_TEST(copy.TakeChangedKeys().empty());
  copy.ApplyPolled({row("e2", 3), row("e1", 4, true)}, revision(4));
  BOOST_TEST((copy.TakeChangedKeys() == std::set<std::string>{"e1", "e2"}));
  // An outage has removed rows from the list.
  copy.ApplyRead({{"e3", row("e3", 5)}}, revision(6));
  BOOST_TEST((copy.TakeChangedKeys() == std::set<std::string>{"e2", "e3"}));
}

}  // namespace
}  // namespace jasminepath::gateway
