#include "table_follower.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Time that the store holds a poll after a failed call, short so that its
// recovery is noticed soon.
constexpr duration kRecoveryPollWait = Milliseconds(100);
// Delay before the first retry of a failed call, and the maximum; the delay
// doubles with each failure.
constexpr duration kInitialRetryDelay = Milliseconds(100);
constexpr duration kMaxRetryDelay = Milliseconds(800);
// Time without a completed first read after which a peer is asked for its copy.
// Shorter times would, after a restart of all nodes, make those that have read
// first serve all others.
constexpr duration kFirstReadTimeout = Milliseconds(1500);
// Additional delay of a node's own read for each node of its zone that ranks
// before it, and the highest rank that counts.
constexpr duration kReadDelayPerRank = Milliseconds(80);
constexpr int64_t kMaxReadRank = 5;
// Time that the store has to deliver a change that a peer already knows.
constexpr duration kBehindTimeout = Milliseconds(300);

}  // namespace

table_follower::table_follower(http::event_loop& loop,
                               store_client& store,
                               std::string table,
                               const follower_timing& timing,
                               random_engine& random,
                               std::function<void()> on_change)
    : store_(store),
      timing_(timing),
      random_(random),
      on_change_(std::move(on_change)),
      timer_(loop),
      copy_(std::move(table)) {}

void table_follower::Start() {
  started_at_ = boot_clock::now();
  from_key_.clear();
  incoming_.clear();
  read_version_.reset();
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
  if (!read_version_)
    read_version_ = answer.page.version;
  if (read_version_->era() != answer.page.version.era())
    return Start();
  for (const table_row& row : answer.page.rows)
    incoming_[row.key] = row;
  if (answer.page.more && !answer.page.rows.empty()) {
    // The next page begins right after the last key of this one.
    from_key_ = answer.page.rows.back().key + '\x01';
    return ReadNext();
  }
  // A read of several pages is only as recent as its first page: changes of the
  // rows on earlier pages are missing. They arrive with the polls.
  const bool is_first_read = !copy_.is_initialized();
  reading_ = false;
  const auto changes = copy_.ApplyRead(std::move(incoming_), *read_version_);
  // The store shows less than a peer has read from it before.
  if (!changes)
    return Retry();
  failures_ = 0;
  RecordRead(started_at_);
  if (is_first_read || !changes->rows.empty())
    on_change_();
  // Peers need to know which rows the read lacked. The read may have taken
  // long, so it does not show that their copies are up to date.
  if (!is_first_read)
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
  reading_ = false;
}

void table_follower::Poll() {
  if (!should_poll_)
    return;
  polling_ = true;
  call_ = store_.Poll(copy_.table(), copy_.version(),
                      failures_ > 0 ? kRecoveryPollWait : timing_.poll_wait,
                      [this](const store_answer& a) { OnPolled(a); });
}

bool table_follower::ReadIfUnconfirmed(int64_t rank, time_point now) {
  if (should_poll_ || reading_ || !copy_.is_initialized() ||
      now < next_read_at_)
    return false;
  const duration delay = std::min(rank, kMaxReadRank) * kReadDelayPerRank;
  if (!IsUnconfirmed(now - delay))
    return false;
  reading_ = true;
  call_ = store_.Poll(copy_.table(), copy_.version(), duration::zero(),
                      [this](const store_answer& a) { OnPolled(a); });
  return true;
}

void table_follower::OnPolled(const store_answer& answer) {
  if (answer.status == store_status::history_gone)
    return Start();
  if (answer.status != store_status::done)
    return Retry();
  // The changes do not follow this copy's version.
  if (answer.page.version.era() != copy_.version().era())
    return Start();
  failures_ = 0;
  reading_ = false;
  RecordRead(boot_clock::now());
  table_changes changes =
      copy_.ApplyPolled(answer.page.rows, answer.page.version);
  changes.is_current = true;
  // A node that does not poll has read because the zone lacks a confirmation.
  if (!changes.rows.empty() || !should_poll_)
    Publish(changes);
  if (!changes.rows.empty()) {
    behind_since_.reset();
    on_change_();
  }
  timer_.Start(timing_.spacing, [this] { Poll(); });
}

void table_follower::Publish(const table_changes& changes) {
  if (on_changes_)
    on_changes_(changes);
}

void table_follower::RecordRead(time_point at) {
  read_at_ = std::max(read_at_, at);
  confirmed_at_ = std::max(confirmed_at_, at);
}

void table_follower::OnStoreEra() {
  if (should_poll_ && copy_.version().era() < store_.era())
    Start();
}

table_status table_follower::Status(store_era era, time_point now) const {
  if (copy_.version().era() != era)
    return {};
  table_status status = copy_.status();
  status.age_ms = ToMilliseconds(now - read_at_);
  return status;
}

bool table_follower::ApplyChanges(const table_changes& changes,
                                  time_point now) {
  // The first read is in progress; later digests show what it misses.
  if (!copy_.is_initialized() && !changes.is_snapshot)
    return true;
  const table_copy::outcome outcome = copy_.ApplyChanges(changes);
  const store_version current = changes.At(changes.complete_to);
  if (changes.is_current && copy_.version() >= current &&
      copy_.version().era() == current.era())
    confirmed_at_ = now;
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
  std::uniform_int_distribution<int64_t> random_delay(max_delay.count() / 2,
                                                      max_delay.count());
  const duration delay(random_delay(random_));
  if (copy_.is_initialized() && !should_poll_) {
    reading_ = false;
    next_read_at_ = boot_clock::now() + delay;
    return;
  }
  timer_.Start(delay, [this] {
    if (copy_.is_initialized())
      Poll();
    else
      Start();
  });
}

bool table_follower::IsBehind(const table_status& peer,
                              store_era era,
                              time_point now) {
  if (!copy_.is_initialized())
    return peer.complete_to > 0 &&
           (failures_ > 0 || now - started_at_ > kFirstReadTimeout);
  if (peer.complete_to == 0 || era < copy_.version().era())
    return false;
  if (copy_.AdvanceTo(peer, era)) {
    confirmed_at_ = std::max(confirmed_at_, now - Milliseconds(peer.age_ms));
    return false;
  }
  const bool lacks_change =
      store_version(era, peer.last_change) > copy_.version();
  const bool is_cut_off = failures_ > 0 && IsUnconfirmed(now);
  if (!lacks_change && !is_cut_off)
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
