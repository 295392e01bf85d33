#ifndef JASMINEPATH_NODE_CALLER_CONNECTION_H_
#define JASMINEPATH_NODE_CALLER_CONNECTION_H_

#include <atomic>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/base/ids.h"
#include "jasminepath/base/refusal.h"
#include "jasminepath/endpoint/http_types.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}  // namespace Poco::Net

namespace jasminepath::node {

// The connection to the caller of one call. Writes exactly one answer, either
// in one piece or as a stream. Used only by the worker that handles the call. A
// write failure means that the caller has disconnected; it is reported by the
// return value and never thrown.
class caller_connection {
 public:
  // Both references must outlive this object.
  caller_connection(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response,
                    request_id call);

  const request_id& id() const { return call_; }

  // Whether writing of an answer has started. Any thread may ask.
  bool has_started() const { return has_started_; }

  // The reason why an answer that had started was aborted, unless the caller
  // had disconnected before.
  const std::optional<refusal_code>& cut_cause() const { return cut_cause_; }

  // Whether the caller has closed its side of the connection.
  bool IsCallerGone() const;

  // Sends an answer in one piece. Returns false if the caller has disconnected.
  bool SendAnswer(int status,
                  const std::vector<endpoint::header>& headers,
                  std::string_view body);

  // Sends a refusal: a JSON answer or, if an answer has started, nothing but an
  // error event in a stream of events, after which the connection is aborted.
  bool SendRefusal(const refusal& reason);

  // Starts a streamed answer, of whole events or of any parts. Returns false if
  // the caller has disconnected.
  bool BeginStream(int status,
                   const std::vector<endpoint::header>& headers,
                   bool has_events);

  // Writes and flushes a part of the stream.
  bool WriteStream(std::string_view part);

  // Completes the stream.
  bool EndStream();

  // Aborts the connection, so that the caller cannot mistake a partial answer
  // for a complete one.
  void Abort();

 private:
  void SetHead(int status, const std::vector<endpoint::header>& headers);

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  const request_id call_;
  std::ostream* stream_ = nullptr;
  std::atomic<bool> has_started_ = false;
  bool has_events_ = false;
  std::optional<refusal_code> cut_cause_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALLER_CONNECTION_H_
