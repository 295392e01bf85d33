#include "table_follower.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Time that the store holds a poll without changes. Together with the poll's
// timeout margin, it limits how long a silent connection hides changes that no
// peer knows either; the site allows three seconds.
constexpr duration kPollWait = Seconds(2);
// The same after a failed call, shorter so that the store's recovery is noticed
// soon.
constexpr duration kRecoveryPollWait = Milliseconds(100);
// Delay before the first retry of a failed call, and the maximum; the delay
// doubles with each failure.
constexpr duration kInitialRetryDelay = Milliseconds(100);
constexpr duration kMaxRetryDelay = Milliseconds(800);
// Time without a completed first read after which a peer is asked for its copy.
// Shorter times would, after a restart of all nodes, make those that have read
// first serve all others.
constexpr duration kFirstReadTimeout = Milliseconds(1500);
// Time that the store has to deliver a change that a peer already knows.
constexpr duration kBehindTimeout = Milliseconds(300);

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
  // A read of several pages is only as recent as its first page; later changes
  // arrive with the polls.
  const bool is_first_read = !copy_.is_initialized();
  const auto changes =
      copy_.ApplyRead(std::move(incoming_), answer.page.version);
  if (changes && (is_first_read || !changes->rows.empty()))
    on_change_();
  // Peers need to know which rows the read lacked.
  if (changes && !is_first_read)
    Publish(*changes);
  incoming_.clear();
  from_key_.clear();
  Poll();
}

void table_follower::SetPolling(bool should_poll) {
  if (should_poll == should_poll_)
    return;
  should_poll_ = should_poll;
  if (!copy_.is_initialized())
    return;
  if (should_poll_)
    return Poll();
  timer_.Cancel();
  call_.reset();
  polling_ = false;
}

void table_follower::Poll() {
  if (!should_poll_)
    return;
  polling_ = true;
  call_ = store_.Poll(copy_.table(), copy_.version(),
                      failures_ > 0 ? kRecoveryPollWait : kPollWait,
                      [this](const store_answer& a) { OnPolled(a); });
}

void table_follower::OnPolled(const store_answer& answer) {
  if (answer.status == store_status::history_gone)
    return Start();
  if (answer.status != store_status::done)
    return Retry();
  failures_ = 0;
  const table_changes changes =
      copy_.ApplyPolled(answer.page.rows, answer.page.version);
  if (!changes.rows.empty()) {
    behind_since_.reset();
    Publish(changes);
    on_change_();
  }
  timer_.Start(spacing_, [this] { Poll(); });
}

void table_follower::Publish(const table_changes& changes) {
  if (on_changes_)
    on_changes_(changes);
}

bool table_follower::ApplyChanges(const table_changes& changes) {
  // The first read is in progress; later digests show what it misses.
  if (!copy_.is_initialized() && !changes.is_snapshot)
    return true;
  const table_copy::outcome outcome = copy_.ApplyChanges(changes);
  if (outcome == table_copy::outcome::changed) {
    behind_since_.reset();
    on_change_();
  }
  return outcome != table_copy::outcome::lacks_earlier_changes;
}

void table_follower::Retry() {
  const duration max_delay = std::min(
      kInitialRetryDelay * (1 << std::min(failures_, 6)), kMaxRetryDelay);
  ++failures_;
  std::uniform_int_distribution<int64_t> delay(max_delay.count() / 2,
                                               max_delay.count());
  timer_.Start(duration(delay(random_)), [this] {
    if (copy_.is_initialized())
      Poll();
    else
      Start();
  });
}

bool table_follower::IsBehind(const table_status& peer, time_point now) {
  if (!copy_.is_initialized())
    return peer.complete_to > 0 &&
           (failures_ > 0 || now - started_at_ > kFirstReadTimeout);
  copy_.AdvanceTo(peer);
  if (revision(peer.last_change) <= copy_.version())
    return false;
  if (should_poll_ && failures_ > 0)
    return true;
  if (!behind_since_)
    behind_since_ = now;
  if (now - *behind_since_ < kBehindTimeout)
    return false;
  behind_since_ = now;
  if (polling_)
    Poll();
  return true;
}

}  // namespace jasminepath::gateway
