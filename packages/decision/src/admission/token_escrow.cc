#include "jasminepath/decision/admission/token_escrow.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace jasminepath::decision {
namespace {

// A peer that has not answered within this time is skipped.
constexpr duration kLoanRequestTimeout = Milliseconds(25);
// A peer that is believed to be empty is asked again after this time.
constexpr duration kEstimateLifetime = Milliseconds(50);
// Interval of the shortage checks while calls wait for tokens.
constexpr duration kShortageCheckInterval = Milliseconds(10);
// A late loan is still returned to its lender if it arrives within this time of
// its request.
constexpr duration kRequestRetention = Seconds(10);
// Maximum number of loans remembered per team; the oldest are dropped first.
constexpr std::size_t kMaxGivenLoans = 8192;
// A peer whose estimate is recent is asked only if its estimated tokens cover
// the shortage, or at least its part of the rate over this many seconds.
constexpr double kMinUsefulRefillSeconds = 0.02;
constexpr double kMicroTokensPerToken = 1e6;
// Margin added to the refill time in `retry_after`.
constexpr duration kRetryMargin = Milliseconds(100);

}  // namespace

template <typename Policy>
token_escrow<Policy>::token_escrow(instance_id self) : self_(std::move(self)) {}

template <typename Policy>
bool token_escrow<Policy>::CanLend(tokens rate, tokens burst) {
  if (!Policy::kCanBorrow)
    return false;
  const double in_flight =
      static_cast<double>(rate.count()) * ToSeconds(kLoanLifetime);
  return static_cast<double>(burst.count()) >= 2 * in_flight;
}

template <typename Policy>
tokens token_escrow<Policy>::UsableBurst(tokens rate, tokens burst) {
  if (!CanLend(rate, burst))
    return burst;
  const int64_t milliseconds = ToMilliseconds(kLoanLifetime);
  const int64_t in_flight = (rate.count() * milliseconds + 999) / 1000;
  return burst - tokens(in_flight);
}

template <typename Policy>
void token_escrow<Policy>::SetTeam(const team_id& team,
                                   tokens rate_per_second,
                                   tokens burst,
                                   time_point now) {
  const tokens usable = UsableBurst(rate_per_second, burst);
  const auto found = teams_.find(team);
  if (found == teams_.end()) {
    teams_.emplace(team, team_state{.bucket = {rate_per_second, usable, now},
                                    .rate = rate_per_second,
                                    .burst = burst});
    return;
  }
  team_state& state = found->second;
  if (state.rate == rate_per_second && state.burst == burst)
    return;
  state.rate = rate_per_second;
  state.burst = burst;
  state.bucket.SetLimits(rate_per_second, usable, now);
}

template <typename Policy>
void token_escrow<Policy>::SetFraction(const team_id& team,
                                       int64_t fraction_ppm,
                                       time_point now) {
  team_state* state = FindTeam(team);
  if (state == nullptr) {
    SetTeam(team, tokens(0), tokens(0), now);
    state = FindTeam(team);
  }
  if (state->fraction_ppm == fraction_ppm)
    return;
  state->fraction_ppm = fraction_ppm;
  state->bucket.SetFraction(fraction_ppm, now);
}

template <typename Policy>
void token_escrow<Policy>::SetPeers(std::vector<instance_id> peers) {
  std::erase(peers, self_);
  peers_ = std::move(peers);
  for (auto& [team, state] : teams_) {
    std::erase_if(state.estimates, [this](const auto& entry) {
      return std::find(peers_.begin(), peers_.end(), entry.first) ==
             peers_.end();
    });
  }
}

template <typename Policy>
void token_escrow<Policy>::Reserve(const request_id& call,
                                   const team_id& team,
                                   tokens amount,
                                   time_point latest,
                                   time_point now,
                                   escrow_output& output) {
  last_event_ = now;
  team_state* state = FindTeam(team);
  if (state == nullptr || amount > UsableBurst(state->rate, state->burst)) {
    output.refused.push_back({.call = call, .exceeds_burst = true});
    return;
  }
  const time_point expires_at = std::min(latest, now + kLoanLifetime);
  state->waiting.push_back({call, amount, expires_at});
  state->waiting_total += amount;
  waiting_calls_[call] = team;
  ServeWaiting(team, now, output);
}

template <typename Policy>
void token_escrow<Policy>::Settle(const request_id& call,
                                  tokens used,
                                  time_point now,
                                  escrow_output& output) {
  last_event_ = now;
  const auto waiting = waiting_calls_.find(call);
  if (waiting != waiting_calls_.end()) {
    const team_id team = waiting->second;
    waiting_calls_.erase(waiting);
    team_state& state = *FindTeam(team);
    const auto item =
        std::find_if(state.waiting.begin(), state.waiting.end(),
                     [&](const auto& entry) { return entry.call == call; });
    state.waiting_total -= item->amount;
    state.waiting.erase(item);
    ServeWaiting(team, now, output);
    return;
  }
  const auto found = reservations_.find(call);
  if (found == reservations_.end())
    return;
  const reservation settled = std::move(found->second);
  reservations_.erase(found);
  team_state& state = *FindTeam(settled.team);
  tokens unused = settled.amount - std::min(used, settled.amount);
  if (used > settled.amount)
    state.bucket.Overdraw(used - settled.amount, now);
  if (unused > tokens(0))
    unused -= state.bucket.Restore(settled.debit, unused, now);
  for (const loan_part& part : settled.loans) {
    const tokens back = std::min(unused, part.amount);
    unused -= back;
    ReduceOutstanding(state, part.transfer, part.amount - back);
    ReturnLoan(settled.team, state, part.transfer, back, output);
  }
  ServeWaiting(settled.team, now, output);
}

template <typename Policy>
void token_escrow<Policy>::OnMessage(const instance_id& from,
                                     const admission_message& message,
                                     time_point now,
                                     escrow_output& output) {
  last_event_ = now;
  if (const auto* request = std::get_if<borrow_request>(&message)) {
    if (request->borrower == from)
      OnBorrowRequest(*request, now, output);
  } else if (const auto* loan = std::get_if<token_loan>(&message)) {
    if (loan->lender == from)
      OnLoan(*loan, now, output);
  } else if (const auto* back = std::get_if<token_return>(&message)) {
    if (back->borrower == from)
      OnReturn(*back, now);
  }
}

template <typename Policy>
void token_escrow<Policy>::OnTick(time_point now, escrow_output& output) {
  last_event_ = now;
  for (auto& [team, state] : teams_) {
    if (!state.waiting.empty() || !state.held.empty())
      ServeWaiting(team, now, output);
  }
}

template <typename Policy>
std::optional<time_point> token_escrow<Policy>::NextDeadline() const {
  std::optional<time_point> next;
  for (const auto& [team, state] : teams_) {
    if (state.waiting.empty())
      continue;
    time_point due = last_event_ + kShortageCheckInterval;
    for (const waiting_reservation& item : state.waiting)
      due = std::min(due, item.expires_at);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

template <typename Policy>
tokens token_escrow<Policy>::Available(const team_id& team, time_point now) {
  team_state* state = FindTeam(team);
  return state == nullptr ? tokens(0) : state->bucket.Available(now);
}

template <typename Policy>
int64_t token_escrow<Policy>::fraction_ppm(const team_id& team) const {
  const auto found = teams_.find(team);
  return found == teams_.end() ? 0 : found->second.fraction_ppm;
}

template <typename Policy>
auto token_escrow<Policy>::FindTeam(const team_id& team) -> team_state* {
  const auto found = teams_.find(team);
  return found == teams_.end() ? nullptr : &found->second;
}

template <typename Policy>
void token_escrow<Policy>::ServeWaiting(const team_id& team,
                                        time_point now,
                                        escrow_output& output) {
  team_state& state = *FindTeam(team);
  ReturnExpiredLoans(team, state, now, output);
  ExpireOldRequests(state, now);
  while (!state.waiting.empty()) {
    if (TryGrantFirst(team, state, now, output))
      continue;
    Borrow(team, state, now, output);
    const bool is_expired = now >= state.waiting.front().expires_at;
    if (!is_expired && !IsUnsatisfiable(state, now))
      return;
    RefuseFirst(team, state, now, output);
  }
  ReleaseHeldLoans(team, state, now, output);
}

// Grants the first waiting reservation if there are enough tokens. Loans are
// used before the node's own tokens, which do not expire.
template <typename Policy>
bool token_escrow<Policy>::TryGrantFirst(const team_id& team,
                                         team_state& state,
                                         time_point now,
                                         escrow_output& output) {
  const waiting_reservation first = state.waiting.front();
  const tokens held = SumHeldLoans(state);
  const tokens own = first.amount > held ? first.amount - held : tokens(0);
  const auto debit = state.bucket.Take(own, now);
  if (!debit)
    return false;
  reservation made{team, first.amount, *debit, {}};
  tokens borrowed = first.amount - own;
  while (borrowed > tokens(0)) {
    held_loan& loan = state.held.front();
    const tokens part = std::min(borrowed, loan.amount);
    made.loans.push_back({loan.transfer, part});
    loan.amount -= part;
    borrowed -= part;
    if (loan.amount == tokens(0))
      state.held.erase(state.held.begin());
  }
  reservations_.emplace(first.call, std::move(made));
  state.waiting.pop_front();
  state.waiting_total -= first.amount;
  waiting_calls_.erase(first.call);
  output.granted.push_back(first.call);
  return true;
}

template <typename Policy>
void token_escrow<Policy>::RefuseFirst(const team_id& team,
                                       team_state& state,
                                       time_point now,
                                       escrow_output& output) {
  const waiting_reservation first = state.waiting.front();
  state.waiting.pop_front();
  state.waiting_total -= first.amount;
  waiting_calls_.erase(first.call);
  if (state.waiting.empty())
    ReleaseHeldLoans(team, state, now, output);
  output.refused.push_back(
      {.call = first.call,
       .retry_after = ComputeRetryAfter(state, first.amount, now)});
}

// Whether the first waiting reservation cannot be granted before it expires:
// all peers have answered, and the refill of the whole fleet is too slow.
template <typename Policy>
bool token_escrow<Policy>::IsUnsatisfiable(team_state& state, time_point now) {
  for (const auto& [transfer, request] : state.requests) {
    if (now < request.requested_at + kLoanRequestTimeout)
      return false;
  }
  const waiting_reservation& first = state.waiting.front();
  const tokens available = state.bucket.Available(now) + SumHeldLoans(state);
  const tokens missing = first.amount - available;
  const double refill_per_second =
      CanLend(state.rate, state.burst) && !peers_.empty()
          ? static_cast<double>(state.rate.count())
          : static_cast<double>(state.bucket.refill_micro_per_second()) /
                kMicroTokensPerToken;
  const double gained = refill_per_second * ToSeconds(first.expires_at - now);
  return gained < static_cast<double>(missing.count());
}

template <typename Policy>
tokens token_escrow<Policy>::SumHeldLoans(const team_state& state) const {
  tokens total;
  for (const held_loan& loan : state.held)
    total += loan.amount;
  return total;
}

template <typename Policy>
tokens token_escrow<Policy>::SumOpenRequests(const team_state& state,
                                             time_point now) const {
  tokens total;
  for (const auto& [transfer, request] : state.requests) {
    if (now < request.requested_at + kLoanRequestTimeout)
      total += request.amount;
  }
  return total;
}

template <typename Policy>
void token_escrow<Policy>::ReturnExpiredLoans(const team_id& team,
                                              team_state& state,
                                              time_point now,
                                              escrow_output& output) {
  std::vector<held_loan> expired;
  std::erase_if(state.held, [&](const held_loan& loan) {
    if (now <= loan.usable_until)
      return false;
    expired.push_back(loan);
    return true;
  });
  for (const held_loan& loan : expired)
    ReturnLoan(team, state, loan.transfer, loan.amount, output);
}

// Deposits loans that no call needs in the node's own bucket and returns what
// does not fit.
template <typename Policy>
void token_escrow<Policy>::ReleaseHeldLoans(const team_id& team,
                                            team_state& state,
                                            time_point now,
                                            escrow_output& output) {
  for (const held_loan& loan : std::exchange(state.held, {})) {
    const tokens kept = state.bucket.Deposit(loan.amount, now);
    ReduceOutstanding(state, loan.transfer, kept);
    ReturnLoan(team, state, loan.transfer, loan.amount - kept, output);
  }
}

template <typename Policy>
void token_escrow<Policy>::ReturnLoan(const team_id& team,
                                      team_state& state,
                                      const transfer_id& transfer,
                                      tokens amount,
                                      escrow_output& output) {
  const auto found = state.borrowed.find(transfer);
  if (found == state.borrowed.end() || amount == tokens(0))
    return;
  borrowed_loan& loan = found->second;
  loan.returned += amount;
  output.messages.push_back(
      {loan.lender, token_return{transfer, self_, team, loan.returned}});
  ReduceOutstanding(state, transfer, amount);
}

// Reduces the outstanding amount of a loan and removes the loan when the amount
// reaches 0.
template <typename Policy>
void token_escrow<Policy>::ReduceOutstanding(team_state& state,
                                             const transfer_id& transfer,
                                             tokens amount) {
  const auto found = state.borrowed.find(transfer);
  if (found == state.borrowed.end())
    return;
  found->second.outstanding -= amount;
  if (found->second.outstanding <= tokens(0))
    state.borrowed.erase(found);
}

// Requests the missing tokens from the peers with the largest estimates first.
template <typename Policy>
void token_escrow<Policy>::Borrow(const team_id& team,
                                  team_state& state,
                                  time_point now,
                                  escrow_output& output) {
  if (!CanLend(state.rate, state.burst))
    return;
  tokens shortage = state.waiting_total - state.bucket.Available(now) -
                    SumHeldLoans(state) - SumOpenRequests(state, now);
  std::vector<std::pair<double, instance_id>> candidates;
  for (const instance_id& peer : peers_) {
    if (ShouldAskPeer(state, peer, shortage, now))
      candidates.emplace_back(EstimatePeerTokens(state, peer, now), peer);
  }
  std::sort(candidates.begin(), candidates.end(), std::greater<>());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (shortage <= tokens(0))
      return;
    const int64_t peers_left = static_cast<int64_t>(candidates.size() - i);
    const int64_t even_part = (shortage.count() + peers_left - 1) / peers_left;
    const int64_t estimated = static_cast<int64_t>(candidates[i].first);
    const int64_t requested =
        std::min(shortage.count(), std::max(estimated, even_part));
    RequestLoan(team, state, candidates[i].second, tokens(requested), now,
                output);
    shortage -= tokens(std::min(requested, std::max<int64_t>(estimated, 1)));
  }
}

template <typename Policy>
void token_escrow<Policy>::RequestLoan(const team_id& team,
                                       team_state& state,
                                       const instance_id& peer,
                                       tokens amount,
                                       time_point now,
                                       escrow_output& output) {
  ++last_transfer_;
  const transfer_id transfer(self_.value() + "/" +
                             std::to_string(last_transfer_));
  state.requests[transfer] = {peer, amount, now};
  output.messages.push_back(
      {peer, borrow_request{transfer, self_, team, amount}});
}

template <typename Policy>
double token_escrow<Policy>::EstimatePeerFraction(
    const team_state& state) const {
  if (peers_.empty())
    return 0;
  const double rest =
      static_cast<double>(kWholeFractionPpm - state.fraction_ppm);
  return rest / static_cast<double>(kWholeFractionPpm) /
         static_cast<double>(peers_.size());
}

// Estimated tokens of a peer: its last reported amount plus refill at an even
// part of the rate, or a full bucket if it has never been asked.
template <typename Policy>
double token_escrow<Policy>::EstimatePeerTokens(const team_state& state,
                                                const instance_id& peer,
                                                time_point now) const {
  const double fraction = EstimatePeerFraction(state);
  const double full = fraction * static_cast<double>(state.burst.count());
  const auto found = state.estimates.find(peer);
  if (found == state.estimates.end() || !found->second.is_known)
    return full;
  const double refill_per_second =
      fraction * static_cast<double>(state.rate.count());
  const double refilled =
      refill_per_second * ToSeconds(now - found->second.observed_at);
  return std::min(full, found->second.tokens_at_observation + refilled);
}

template <typename Policy>
bool token_escrow<Policy>::HasOpenRequest(const team_state& state,
                                          const instance_id& peer,
                                          time_point now) const {
  return std::any_of(
      state.requests.begin(), state.requests.end(), [&](const auto& entry) {
        return entry.second.lender == peer &&
               now < entry.second.requested_at + kLoanRequestTimeout;
      });
}

template <typename Policy>
bool token_escrow<Policy>::ShouldAskPeer(const team_state& state,
                                         const instance_id& peer,
                                         tokens shortage,
                                         time_point now) const {
  if (HasOpenRequest(state, peer, now))
    return false;
  const auto found = state.estimates.find(peer);
  if (found == state.estimates.end())
    return true;
  if (now >= found->second.answered_at + kEstimateLifetime)
    return true;
  const double min_useful = std::min(
      static_cast<double>(shortage.count()),
      EstimatePeerFraction(state) * static_cast<double>(state.rate.count()) *
          kMinUsefulRefillSeconds);
  return EstimatePeerTokens(state, peer, now) >= std::max(1.0, min_useful);
}

// Treats a peer that has not answered in time as empty, and drops requests that
// are so old that their loans would no longer be returned.
template <typename Policy>
void token_escrow<Policy>::ExpireOldRequests(team_state& state,
                                             time_point now) {
  for (const auto& [transfer, request] : state.requests) {
    if (now < request.requested_at + kLoanRequestTimeout)
      continue;
    peer_estimate& estimate = state.estimates[request.lender];
    if (estimate.answered_at < request.requested_at)
      estimate = {0, now, now, true};
  }
  std::erase_if(state.requests, [&](const auto& entry) {
    return now > entry.second.requested_at + kRequestRetention;
  });
}

template <typename Policy>
std::optional<duration> token_escrow<Policy>::ComputeRetryAfter(
    team_state& state,
    tokens amount,
    time_point now) {
  const bool can_borrow = CanLend(state.rate, state.burst) && !peers_.empty();
  if (!can_borrow) {
    const auto wait = state.bucket.TimeUntil(amount, now);
    return wait ? std::optional(*wait + kRetryMargin) : std::nullopt;
  }
  if (state.rate <= tokens(0))
    return std::nullopt;
  const tokens missing = amount - state.bucket.Available(now);
  const double seconds = static_cast<double>(missing.count()) /
                         static_cast<double>(state.rate.count());
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::max(seconds, 0.0)));
  return wait + kRetryMargin;
}

template <typename Policy>
void token_escrow<Policy>::OnBorrowRequest(const borrow_request& request,
                                           time_point now,
                                           escrow_output& output) {
  team_state* state = FindTeam(request.team);
  token_loan answer{request.transfer, self_, request.team, {}, {}};
  if (state == nullptr || !CanLend(state->rate, state->burst)) {
    output.messages.push_back({request.borrower, answer});
    return;
  }
  if (state->given.contains(request.transfer))
    return;
  const tokens spare = state->bucket.Available(now) - state->waiting_total;
  answer.amount =
      std::clamp(request.amount, tokens(0), std::max(spare, tokens(0)));
  if (answer.amount > tokens(0)) {
    const auto debit = state->bucket.Take(answer.amount, now);
    state->given[request.transfer] = {request.borrower, *debit, answer.amount,
                                      tokens(0)};
    state->given_order.push_back(request.transfer);
    if (state->given_order.size() > kMaxGivenLoans) {
      state->given.erase(state->given_order.front());
      state->given_order.pop_front();
    }
  }
  answer.remaining = std::max(spare - answer.amount, tokens(0));
  output.messages.push_back({request.borrower, answer});
}

template <typename Policy>
void token_escrow<Policy>::OnLoan(const token_loan& loan,
                                  time_point now,
                                  escrow_output& output) {
  team_state* state = FindTeam(loan.team);
  if (state == nullptr)
    return;
  const auto found = state->requests.find(loan.transfer);
  if (found == state->requests.end() || found->second.lender != loan.lender)
    return;
  const time_point usable_until = found->second.requested_at + kLoanLifetime;
  state->requests.erase(found);
  state->estimates[loan.lender] = {static_cast<double>(loan.remaining.count()),
                                   now, now, true};
  if (loan.amount > tokens(0)) {
    state->borrowed[loan.transfer] = {loan.lender, tokens(0), loan.amount};
    state->held.push_back({loan.transfer, loan.amount, usable_until});
  }
  ServeWaiting(loan.team, now, output);
}

template <typename Policy>
void token_escrow<Policy>::OnReturn(const token_return& message,
                                    time_point now) {
  team_state* state = FindTeam(message.team);
  if (state == nullptr)
    return;
  const auto found = state->given.find(message.transfer);
  if (found == state->given.end() || found->second.borrower != message.borrower)
    return;
  given_loan& loan = found->second;
  const tokens total = std::min(message.returned_total, loan.amount);
  if (total <= loan.returned)
    return;
  state->bucket.Restore(loan.debit, total - loan.returned, now);
  loan.returned = total;
}

template class token_escrow<peer_borrowing>;
template class token_escrow<static_split>;

}  // namespace jasminepath::decision
