#include "table_follower.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// How long the store holds a poll without changes. With the time limit on top
// of it this bounds how long a silent connection hides changes that no peer
// knows either; the site allows three seconds.
constexpr duration kPollWait = Seconds(2);
// The same after a failed call, so that a store that has come back is noticed
// soon.
constexpr duration kProbeWait = Milliseconds(100);
// First pause after a failed call; doubles up to the longest.
constexpr duration kFirstRetry = Milliseconds(100);
constexpr duration kLongestRetry = Milliseconds(800);
// Time that the first read gets before a peer is asked for its copy as well:
// after a restart of all nodes, those that have read first would have to serve
// the others.
constexpr duration kReadPatience = Milliseconds(1500);
// Time that the store gets to tell a change that a peer knows.
constexpr duration kBehindDelay = Milliseconds(300);

}  // namespace

table_follower::table_follower(http::event_loop& loop,
                               store_client& store,
                               std::string table,
                               duration spacing,
                               random_engine& random,
                               std::function<void()> on_change)
    : store_(store),
      spacing_(spacing),
      random_(random),
      on_change_(std::move(on_change)),
      timer_(loop),
      copy_(std::move(table)) {}

void table_follower::Start() {
  started_at_ = boot_clock::now();
  from_key_.clear();
  incoming_.clear();
  ReadNext();
}

void table_follower::ReadNext() {
  polling_ = false;
  call_ = store_.Read(copy_.table(), from_key_, kPageTimeout,
                      [this](const store_answer& a) { OnRead(a); });
}

void table_follower::OnRead(const store_answer& answer) {
  if (answer.status != store_status::done)
    return Retry();
  failures_ = 0;
  for (const table_row& row : answer.page.rows)
    incoming_[row.key] = row;
  if (answer.page.more && !answer.page.rows.empty()) {
    // The next page begins right after the last key of this one.
    from_key_ = answer.page.rows.back().key + '\x01';
    return ReadNext();
  }
  // A read over several pages is as of its first page at the earliest; changes
  // since then come with the polls.
  if (copy_.TakeRead(std::move(incoming_), answer.page.version))
    on_change_();
  incoming_.clear();
  from_key_.clear();
  Poll();
}

void table_follower::SetPolling(bool polls) {
  if (polls == polls_)
    return;
  polls_ = polls;
  if (!copy_.exists())
    return;
  if (polls_)
    return Poll();
  timer_.Cancel();
  call_.reset();
  polling_ = false;
}

void table_follower::Poll() {
  if (!polls_)
    return;
  polling_ = true;
  call_ = store_.Poll(copy_.table(), copy_.version(),
                      failures_ > 0 ? kProbeWait : kPollWait,
                      [this](const store_answer& a) { OnPolled(a); });
}

void table_follower::OnPolled(const store_answer& answer) {
  if (answer.status == store_status::history_gone)
    return Start();
  if (answer.status != store_status::done)
    return Retry();
  failures_ = 0;
  table_changes changes;
  changes.table = copy_.table();
  changes.previous_change = copy_.last_change().count();
  changes.rows = copy_.TakePolled(answer.page.rows, answer.page.version);
  if (!changes.rows.empty()) {
    behind_since_.reset();
    changes.last_change = copy_.last_change().count();
    changes.complete_to = copy_.version().count();
    if (on_changes_)
      on_changes_(changes);
    on_change_();
  }
  timer_.Start(spacing_, [this] { Poll(); });
}

bool table_follower::Take(const table_changes& changes) {
  // The first read is under way; digests show what it misses.
  if (!copy_.exists() && !changes.whole)
    return true;
  const table_copy::outcome outcome = copy_.Take(changes);
  if (outcome == table_copy::outcome::changed) {
    behind_since_.reset();
    on_change_();
  }
  return outcome != table_copy::outcome::lacks_earlier_changes;
}

void table_follower::Retry() {
  const duration longest =
      std::min(kFirstRetry * (1 << std::min(failures_, 6)), kLongestRetry);
  ++failures_;
  std::uniform_int_distribution<int64_t> pause(longest.count() / 2,
                                               longest.count());
  timer_.Start(duration(pause(random_)), [this] {
    if (copy_.exists())
      Poll();
    else
      Start();
  });
}

bool table_follower::IsBehind(revision last_change, time_point now) {
  if (last_change <= copy_.last_change())
    return false;
  if (!copy_.exists())
    return failures_ > 0 || now - started_at_ > kReadPatience;
  if (polls_ && failures_ > 0)
    return true;
  if (!behind_since_)
    behind_since_ = now;
  if (now - *behind_since_ < kBehindDelay)
    return false;
  behind_since_ = now;
  if (polling_)
    Poll();
  return true;
}

}  // namespace jasminepath::gateway
