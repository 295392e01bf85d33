#ifndef JASMINEPATH_GATEWAY_PORTS_H_
#define JASMINEPATH_GATEWAY_PORTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/gateway/endpoint_entry.h"
#include "jasminepath/gateway/site.h"
#include "jasminepath/http/message.h"

namespace jasminepath::gateway {

// Why something that came from outside cannot be read: the place and the
// fault, for a log line.
struct decode_error {
  std::string message;

  friend bool operator==(const decode_error&, const decode_error&) = default;
};

template <typename Value>
using decoded = result<Value, decode_error>;

// One part of a prompt. Requests that begin with the same parts share what an
// engine has read of them.
struct prompt_part {
  std::string id;
  int64_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// A caller's request with its fields read.
struct caller_request {
  request_id id;
  std::string method;
  std::string target;
  std::string host;
  // The team's key; never logged or forwarded.
  std::string key;
  // How long the caller waits.
  std::optional<duration> patience;
  // Empty for a plain service.
  model_id model;
  adapter_id adapter;
  // Tokens of the prompt and the most that may be generated, if it says so.
  std::optional<int64_t> prompt_tokens;
  std::optional<int64_t> output_tokens;
  std::vector<prompt_part> prompt;
  // The last event that the caller has, if it resumes a stream.
  std::optional<std::string> last_event;
  // Fields that are forwarded as they came.
  http::header_list forwarded;
  std::string body;

  friend bool operator==(const caller_request&,
                         const caller_request&) = default;
};

// What the node adds when it sends a request to an endpoint.
struct attempt_fields {
  endpoint_id endpoint;
  duration time_left{};
  // Empty on routes without a key.
  team_id team;
  // 0 is the highest, 9 the lowest; engines only.
  std::optional<int64_t> priority;
  // The last event that the caller has got.
  std::optional<std::string> last_event;

  friend bool operator==(const attempt_fields&,
                         const attempt_fields&) = default;
};

// What the head of an endpoint's answer says.
struct answer_fields {
  // The request that it answers, if it says so.
  std::optional<request_id> request;
  // The endpoint vouches that it has not run the request.
  bool not_run = false;
  // Another endpoint has this address.
  bool other_endpoint = false;
  // Carries the endpoint's signature.
  bool sealed = false;
  // The endpoint closes its connections.
  bool closing = false;

  friend bool operator==(const answer_fields&, const answer_fields&) = default;
};

// Names and formats of callers' requests and of answers.
class request_codec {
 public:
  virtual ~request_codec() = default;

  virtual decoded<caller_request> DecodeRequest(
      http::request message) const = 0;
  // The request as an endpoint gets it.
  virtual http::request EncodeAttempt(const caller_request& request,
                                      const attempt_fields& fields) const = 0;
  virtual answer_fields DecodeAnswer(const http::response_head& head) const = 0;
  // An answer of the node's own; `retry_after` asks the caller to come back.
  virtual http::response_head EncodeOwnAnswer(
      int status,
      const request_id& request,
      std::optional<duration> retry_after) const = 0;
  // Whether the balancer asks if this node takes connections.
  virtual bool IsReadinessCheck(const http::request& message) const = 0;
};

// What an engine may be told to do.
enum class order_kind { load, unload };

// An order to an engine, from the one node that may give it.
struct engine_order {
  order_kind kind = order_kind::load;
  endpoint_id endpoint;
  model_id model;
  // Set for orders that concern an adapter of the model.
  adapter_id adapter;
  // The node that gives the order, and the fencing token of its authority.
  std::string holder;
  epoch fencing;
  // Refused unless the engine has accepted just so many orders.
  std::optional<int64_t> if_order_count;

  friend bool operator==(const engine_order&, const engine_order&) = default;
};

// What an engine answers to an order.
enum class order_verdict {
  accepted,        // It is being carried out.
  already_holds,   // Nothing has to be done.
  conflict,        // Busy, or its count of orders differs.
  fenced,          // A higher fencing token was seen.
  other_endpoint,  // Another endpoint has this address.
  invalid,         // The order cannot be carried out at all.
  no_answer,       // Accepted or not; nobody knows.
};

// Names and formats of calls to engines.
class engine_codec {
 public:
  virtual ~engine_codec() = default;

  virtual http::request EncodeOrder(const engine_order& order) const = 0;
  virtual order_verdict DecodeOrderAnswer(
      const http::response& answer) const = 0;
  virtual http::request EncodeReportCall() const = 0;
  virtual decoded<engine_report> DecodeReport(
      const http::response& answer) const = 0;
};

// A row of a table; `value` is of no meaning if it was removed.
struct table_row {
  std::string key;
  std::string value;
  revision version;
  bool removed = false;

  friend bool operator==(const table_row&, const table_row&) = default;
};

// Some rows in the order of their keys or of their changes.
struct row_page {
  std::vector<table_row> rows;
  // The table as of this version.
  revision version;
  bool more = false;

  friend bool operator==(const row_page&, const row_page&) = default;
};

// How the store answers a read or a poll.
enum class store_status {
  done,
  conflict,      // A row had another version than expected; nothing was done.
  history_gone,  // Changes since that version are no longer known.
  unavailable,   // Nothing was done.
  unknown,       // No answer; a write may take effect, also later.
};

// One row to write if it still has the expected version; 0: does not exist.
struct conditional_write {
  std::string table;
  std::string key;
  std::string value;
  std::optional<revision> expected;

  friend bool operator==(const conditional_write&,
                         const conditional_write&) = default;
};

// Names and formats of calls to the platform's store.
class store_codec {
 public:
  virtual ~store_codec() = default;

  virtual http::request EncodeRead(const std::string& table,
                                   const std::string& from_key) const = 0;
  virtual http::request EncodePoll(const std::string& table,
                                   revision after,
                                   duration wait) const = 0;
  virtual http::request EncodeWrite(const conditional_write& write) const = 0;
  virtual store_status StatusOf(const http::response& answer) const = 0;
  virtual decoded<row_page> DecodeRows(const http::response& answer) const = 0;
  // Version that a write got.
  virtual decoded<revision> DecodeWritten(
      const http::response& answer) const = 0;

  // Tables and keys of the facts that others write.
  virtual std::string configuration_table() const = 0;
  virtual std::string configuration_key() const = 0;
  virtual std::string endpoint_table() const = 0;

  virtual decoded<site_pointer> DecodeSite(const std::string& value) const = 0;
  virtual decoded<endpoint_entry> DecodeEndpoint(
      const std::string& key,
      const std::string& value) const = 0;
};

// Everything that one way of speaking to the outside consists of.
class dialect : public request_codec,
                public engine_codec,
                public store_codec {};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PORTS_H_
