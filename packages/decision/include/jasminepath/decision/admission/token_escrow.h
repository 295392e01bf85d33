#ifndef JASMINEPATH_DECISION_ADMISSION_TOKEN_ESCROW_H_
#define JASMINEPATH_DECISION_ADMISSION_TOKEN_ESCROW_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/messages.h"
#include "jasminepath/decision/admission/team_bucket.h"

namespace jasminepath::decision {

// Time after the request during which a loan may be used. The team's usable
// burst is reduced by its rate over this time, which covers tokens that have
// left one bucket and not yet reached another.
inline constexpr duration kLoanLifetime = Milliseconds(100);

// Escrow policy: nodes lend tokens to each other.
struct peer_borrowing {
  static constexpr bool kCanBorrow = true;
};

// Escrow policy: each node only has its own fraction (baseline).
struct static_split {
  static constexpr bool kCanBorrow = false;
};

// A reservation that was refused.
struct reservation_refusal {
  request_id call;
  // The amount exceeds the team's burst, so it can never be reserved.
  bool exceeds_burst = false;
  // Time after which the reservation succeeds if the team sends nothing else;
  // nullopt if it cannot be determined.
  std::optional<duration> retry_after = {};

  friend bool operator==(const reservation_refusal&,
                         const reservation_refusal&) = default;
};

// A message to send to a peer.
struct escrow_message {
  instance_id to;
  admission_message message;

  friend bool operator==(const escrow_message&,
                         const escrow_message&) = default;
};

// Results of one event.
struct escrow_output {
  std::vector<request_id> granted;
  std::vector<reservation_refusal> refused;
  std::vector<escrow_message> messages;

  friend bool operator==(const escrow_output&, const escrow_output&) = default;
};

// The tokens that this node may spend for each team. Over all nodes, the net
// tokens reserved in any window stay below burst + rate x window, even if
// messages are lost, duplicated or late, as long as the fractions of the nodes
// add up to at most the whole.
template <typename Policy>
class token_escrow {
 public:
  // `self` must not have been used by an earlier run, since transfer ids are
  // derived from it.
  explicit token_escrow(instance_id self);

  // Sets a team's rate and burst over the whole fleet.
  void SetTeam(const team_id& team,
               tokens rate_per_second,
               tokens burst,
               time_point now);

  // Sets this node's fraction. A smaller fraction takes effect immediately, so
  // it must be set before the difference is assigned to another node.
  void SetFraction(const team_id& team, int64_t fraction_ppm, time_point now);

  // Sets the other nodes of the fleet.
  void SetPeers(std::vector<instance_id> peers);

  // Reserves tokens for a call. The answer is in this output or in a later one,
  // no later than `latest` and no later than kLoanLifetime from now.
  void Reserve(const request_id& call,
               const team_id& team,
               tokens amount,
               time_point latest,
               time_point now,
               escrow_output& output);

  // Ends a reservation: `used` tokens were used, the rest is returned. Also
  // cancels a reservation that is still waiting. Later calls for the same
  // reservation have no effect.
  void Settle(const request_id& call,
              tokens used,
              time_point now,
              escrow_output& output);

  void OnMessage(const instance_id& from,
                 const admission_message& message,
                 time_point now,
                 escrow_output& output);

  void OnTick(time_point now, escrow_output& output);

  // Time at which the next OnTick is needed; nullopt if no reservation waits.
  std::optional<time_point> NextDeadline() const;

  // Tokens that can be reserved immediately without borrowing.
  tokens Available(const team_id& team, time_point now);

  // This node's fraction for a team in parts per million.
  int64_t fraction_ppm(const team_id& team) const;

 private:
  struct waiting_reservation {
    request_id call;
    tokens amount;
    time_point expires_at;
  };
  // Part of a loan that is used by a reservation.
  struct loan_part {
    transfer_id transfer;
    tokens amount;
  };
  struct reservation {
    team_id team;
    tokens amount;
    debit_number debit;
    std::vector<loan_part> loans;
  };
  // A received loan that is available for waiting calls.
  struct held_loan {
    transfer_id transfer;
    tokens amount;
    time_point usable_until;
  };
  // A request for a loan that has not been answered.
  struct open_request {
    instance_id lender;
    tokens amount;
    time_point requested_at;
  };
  // Accounting of a loan that this node received.
  struct borrowed_loan {
    instance_id lender;
    tokens returned;
    tokens outstanding;
  };
  // Accounting of a loan that this node gave.
  struct given_loan {
    instance_id borrower;
    debit_number debit;
    tokens amount;
    tokens returned;
  };
  // Estimated content of a peer's bucket.
  struct peer_estimate {
    double tokens_at_observation = 0;
    time_point observed_at;
    time_point answered_at;
    bool is_known = false;
  };
  struct team_state {
    team_bucket bucket;
    tokens rate;
    tokens burst;
    int64_t fraction_ppm = 0;
    std::deque<waiting_reservation> waiting = {};
    tokens waiting_total = {};
    std::vector<held_loan> held = {};
    std::map<transfer_id, open_request> requests = {};
    std::map<transfer_id, borrowed_loan> borrowed = {};
    std::map<transfer_id, given_loan> given = {};
    std::deque<transfer_id> given_order = {};
    std::map<instance_id, peer_estimate> estimates = {};
  };

  static bool CanLend(tokens rate, tokens burst);
  static tokens UsableBurst(tokens rate, tokens burst);

  team_state* FindTeam(const team_id& team);
  void ServeWaiting(const team_id& team, time_point now, escrow_output& output);
  bool TryGrantFirst(const team_id& team,
                     team_state& state,
                     time_point now,
                     escrow_output& output);
  void RefuseFirst(const team_id& team,
                   team_state& state,
                   time_point now,
                   escrow_output& output);
  bool IsUnsatisfiable(team_state& state, time_point now);
  tokens SumHeldLoans(const team_state& state) const;
  tokens SumOpenRequests(const team_state& state, time_point now) const;
  void ReturnExpiredLoans(const team_id& team,
                          team_state& state,
                          time_point now,
                          escrow_output& output);
  void ReleaseHeldLoans(const team_id& team,
                        team_state& state,
                        time_point now,
                        escrow_output& output);
  void ReturnLoan(const team_id& team,
                  team_state& state,
                  const transfer_id& transfer,
                  tokens amount,
                  escrow_output& output);
  void ReduceOutstanding(team_state& state,
                         const transfer_id& transfer,
                         tokens amount);
  void Borrow(const team_id& team,
              team_state& state,
              time_point now,
              escrow_output& output);
  void RequestLoan(const team_id& team,
                   team_state& state,
                   const instance_id& peer,
                   tokens amount,
                   time_point now,
                   escrow_output& output);
  double EstimatePeerTokens(const team_state& state,
                            const instance_id& peer,
                            time_point now) const;
  double EstimatePeerFraction(const team_state& state) const;
  bool HasOpenRequest(const team_state& state,
                      const instance_id& peer,
                      time_point now) const;
  bool ShouldAskPeer(const team_state& state,
                     const instance_id& peer,
                     tokens shortage,
                     time_point now) const;
  void ExpireOldRequests(team_state& state, time_point now);
  std::optional<duration> ComputeRetryAfter(team_state& state,
                                            tokens amount,
                                            time_point now);

  void OnBorrowRequest(const borrow_request& request,
                       time_point now,
                       escrow_output& output);
  void OnLoan(const token_loan& loan, time_point now, escrow_output& output);
  void OnReturn(const token_return& message, time_point now);

  instance_id self_;
  int64_t last_transfer_ = 0;
  std::vector<instance_id> peers_;
  std::map<team_id, team_state> teams_;
  std::unordered_map<request_id, reservation> reservations_;
  // Team of each waiting call.
  std::unordered_map<request_id, team_id> waiting_calls_;
  // Time of the last event; the next check of a shortage is scheduled from it.
  time_point last_event_;
};

extern template class token_escrow<peer_borrowing>;
extern template class token_escrow<static_split>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_TOKEN_ESCROW_H_
