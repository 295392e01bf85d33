#ifndef JASMINEPATH_DECISION_ADMISSION_MESSAGES_H_
#define JASMINEPATH_DECISION_ADMISSION_MESSAGES_H_

#include <variant>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/units.h"
#include "jasminepath/decision/admission/quarantine_record.h"

namespace jasminepath::decision {

// Identifies one transfer of tokens between two nodes; unique over the fleet
// and never reused.
using transfer_id = strong_id<struct transfer_tag>;

// Requests tokens of a team from a peer. A lost or late request has no cost.
struct borrow_request {
  transfer_id transfer;
  instance_id borrower;
  team_id team;
  // Maximum amount that the borrower can use.
  tokens amount;

  friend bool operator==(const borrow_request&,
                         const borrow_request&) = default;
};

// Answers a borrow_request. The lender has already debited `amount`, which may
// be less than requested and is 0 if it has no spare tokens. If the message is
// lost, the tokens are lost too.
struct token_loan {
  transfer_id transfer;
  instance_id lender;
  team_id team;
  tokens amount;
  // Tokens left at the lender, as a hint for the next request.
  tokens remaining;

  friend bool operator==(const token_loan&, const token_loan&) = default;
};

// Returns unused tokens of a loan. `returned_total` is cumulative over the
// transfer, so duplicated or reordered messages have no effect.
struct token_return {
  transfer_id transfer;
  instance_id borrower;
  team_id team;
  tokens returned_total;

  friend bool operator==(const token_return&, const token_return&) = default;
};

// Notifies a peer immediately of a request that may crash endpoints, before the
// committed fact arrives and also while the platform is down.
struct suspect_notice {
  quarantine_record record;

  friend bool operator==(const suspect_notice&,
                         const suspect_notice&) = default;
};

// Messages that nodes exchange for admission.
using admission_message =
    std::variant<borrow_request, token_loan, token_return, suspect_notice>;

}  // namespace jasminepath::decision

#endif  // JASMINEPATH_DECISION_ADMISSION_MESSAGES_H_
