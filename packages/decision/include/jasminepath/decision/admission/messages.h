#ifndef JASMINEPATH_DECISION_ADMISSION_MESSAGES_H_
#define JASMINEPATH_DECISION_ADMISSION_MESSAGES_H_

#include <variant>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/quarantine_record.h"

namespace jasminepath::decision {

// One transfer of tokens between two nodes; unique over the fleet and never
// used again.
using transfer_id = strong_id<struct transfer_tag>;

// Asks a peer for tokens of a team. A lost or late request costs nothing.
struct borrow_request {
  transfer_id transfer;
  instance_id borrower;
  team_id team;
  // The most that the borrower can use.
  tokens amount;

  friend bool operator==(const borrow_request&,
                         const borrow_request&) = default;
};

// Answers a borrow_request. The lender has debited `amount` already, which may
// be less than asked and is 0 when it has nothing to lend. If the message is
// lost, so are the tokens.
struct token_loan {
  transfer_id transfer;
  instance_id lender;
  team_id team;
  tokens amount;
  // What the lender has left; a hint for the next request.
  tokens remaining;

  friend bool operator==(const token_loan&, const token_loan&) = default;
};

// Gives back tokens of a loan that were not used. `returned_total` counts from
// the start of the transfer, so a repeated or overtaken message has no effect.
struct token_return {
  transfer_id transfer;
  instance_id borrower;
  team_id team;
  tokens returned_total;

  friend bool operator==(const token_return&, const token_return&) = default;
};

// Tells a peer at once of a request that may crash endpoints, ahead of the
// committed fact and also while the platform is down.
struct suspect_notice {
  quarantine_record record;

  friend bool operator==(const suspect_notice&,
                         const suspect_notice&) = default;
};

// Every message that nodes exchange for admission.
using admission_message =
    std::variant<borrow_request, token_loan, token_return, suspect_notice>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_MESSAGES_H_
