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
#include "jasminepath/gateway/store_version.h"
#include "jasminepath/http/message.h"

namespace jasminepath::gateway {

// Reason why external input cannot be decoded: the location and the error, for
// a log line.
struct decode_error {
  std::string message;

  friend bool operator==(const decode_error&, const decode_error&) = default;
};

template <typename Value>
using decoded = result<Value, decode_error>;

// One part of a prompt. Requests whose prompts begin with the same parts share
// the engine's cache of these parts.
struct prompt_part {
  std::string id;
  int64_t tokens = 0;

  friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

// A decoded request of a caller.
struct caller_request {
  request_id id;
  std::string method;
  std::string target;
  std::string host;
  // The team's API key. Never logged or forwarded.
  std::string key;
  // Maximum time that the caller waits for an answer.
  std::optional<duration> max_wait;
  // Empty for a service without models.
  model_id model;
  adapter_id adapter;
  // Tokens of the prompt and the maximum number of generated tokens, if the
  // request states them.
  std::optional<int64_t> prompt_tokens;
  std::optional<int64_t> output_tokens;
  std::vector<prompt_part> prompt;
  // Id of the last event that the caller has received, if it resumes a stream.
  std::optional<std::string> last_event_id;
  // The caller's request that brought the first event of that stream.
  std::optional<request_id> resumed_request;
  // Header fields that are forwarded unchanged.
  http::header_list forwarded;
  std::string body;

  friend bool operator==(const caller_request&,
                         const caller_request&) = default;
};

// Fields that the node adds to a request that it sends to an endpoint.
struct attempt_fields {
  endpoint_id endpoint;
  duration time_left{};
  // Empty on routes that need no key.
  team_id team;
  // From 0 (highest) to 9 (lowest). Set for engines only.
  std::optional<int64_t> priority;
  // Id of the last event that the caller has received.
  std::optional<std::string> last_event_id;

  friend bool operator==(const attempt_fields&,
                         const attempt_fields&) = default;
};

// Decoded fields of the head of an endpoint's answer.
struct answer_fields {
  // Id of the answered request, if the answer states it.
  std::optional<request_id> request;
  // The endpoint guarantees that it has not run the request.
  bool not_run = false;
  // A different endpoint now uses this address.
  bool other_endpoint = false;
  // The answer carries the endpoint's signature.
  bool sealed = false;
  // The endpoint is about to close its connections.
  bool closing = false;

  friend bool operator==(const answer_fields&, const answer_fields&) = default;
};

// Wire format of callers' requests and of answers.
class request_codec {
 public:
  virtual ~request_codec() = default;

  virtual decoded<caller_request> DecodeRequest(
      http::request message) const = 0;
  // Encodes the request that is sent to an endpoint.
  virtual http::request EncodeAttempt(const caller_request& request,
                                      const attempt_fields& fields) const = 0;
  virtual answer_fields DecodeAnswer(const http::response_head& head) const = 0;
  // Encodes an answer that the node itself gives. `retry_after` asks the caller
  // to retry after that time.
  virtual http::response_head EncodeOwnAnswer(
      int status,
      const request_id& request,
      std::optional<duration> retry_after) const = 0;
  // Whether the message is a readiness check of the load balancer.
  virtual bool IsReadinessCheck(const http::request& message) const = 0;
};

// Kinds of orders to an engine.
enum class order_kind { load, unload };

// An order to an engine, sent by the holder of the placement authority.
struct engine_order {
  order_kind kind = order_kind::load;
  endpoint_id endpoint;
  model_id model;
  // Set if the order loads or unloads an adapter of the model.
  adapter_id adapter;
  // The node that sends the order, and the fencing token of its authority.
  std::string holder;
  epoch fencing;
  // If set, the engine rejects the order unless it has accepted exactly this
  // many orders.
  std::optional<int64_t> if_order_count;

  friend bool operator==(const engine_order&, const engine_order&) = default;
};

// Outcome of an order.
enum class order_verdict {
  accepted,        // The engine executes the order.
  already_holds,   // The engine is already in the ordered state.
  conflict,        // The engine is busy or its order count differs.
  fenced,          // The engine has seen a higher fencing token.
  other_endpoint,  // A different endpoint uses this address.
  invalid,         // The order can never be executed.
  no_answer,       // It is unknown whether the order was accepted.
};

// Wire format of calls to engines.
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

// A row of a table. `value` is unspecified if the row was removed.
struct table_row {
  std::string key;
  std::string value;
  store_version version;
  bool removed = false;

  friend bool operator==(const table_row&, const table_row&) = default;
};

// A page of rows, ordered by key (read) or by version (poll).
struct row_page {
  std::vector<table_row> rows;
  // Version of the table that the page reflects.
  store_version version;
  bool more = false;
  // The store's clock, in milliseconds; 0 if it does not state it.
  int64_t store_time_ms = 0;

  friend bool operator==(const row_page&, const row_page&) = default;
};

// Outcome of a call to the store.
enum class store_status {
  done,
  conflict,      // A row had an unexpected version; nothing was written.
  history_gone,  // Changes since that version are no longer stored.
  unavailable,   // The call had no effect.
  unknown,       // No answer; a write may take effect, even later.
};

// A row to write if it still has the expected version; number 0: the row must
// not exist. The store compares the number only.
struct conditional_write {
  std::string table;
  std::string key;
  std::string value;
  std::optional<store_version> expected;

  friend bool operator==(const conditional_write&,
                         const conditional_write&) = default;
};

// Wire format of calls to the platform's store.
class store_codec {
 public:
  virtual ~store_codec() = default;

  virtual http::request EncodeRead(const std::string& table,
                                   const std::string& from_key) const = 0;
  virtual http::request EncodePoll(const std::string& table,
                                   const store_version& after,
                                   duration wait) const = 0;
  virtual http::request EncodeWrite(const conditional_write& write) const = 0;
  virtual store_status StatusOf(const http::response& answer) const = 0;
  // The era that the answer states; nullopt if it states none that is valid.
  virtual std::optional<store_era> EraOf(
      const http::response& answer) const = 0;
  // `era` is the era of the answer.
  virtual decoded<row_page> DecodeRows(const http::response& answer,
                                       store_era era) const = 0;
  // Version that the write assigned to the row.
  virtual decoded<store_version> DecodeWritten(const http::response& answer,
                                               store_era era) const = 0;

  // Tables and keys of the rows that the operators and endpoints write.
  virtual std::string configuration_table() const = 0;
  virtual std::string configuration_key() const = 0;
  virtual std::string endpoint_table() const = 0;

  virtual decoded<site_pointer> DecodeSite(const std::string& value) const = 0;
  virtual decoded<endpoint_entry> DecodeEndpoint(
      const std::string& key,
      const std::string& value) const = 0;
};

// Wire formats of all external protocols of one platform.
class protocol_codec : public request_codec,
                       public engine_codec,
                       public store_codec {};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_PORTS_H_
