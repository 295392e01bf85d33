#ifndef JASMINEPATH_NODE_CALLER_CONNECTION_H_
#define JASMINEPATH_NODE_CALLER_CONNECTION_H_

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

// The caller's side of one call: writes exactly one answer, either whole or as
// a stream. Used by the worker that holds the call. Write failures mean that
// the caller has gone; they are reported, never thrown.
class caller_connection {
 public:
  // Both references outlive this object.
  caller_connection(Poco::Net::HTTPServerRequest& request,
                    Poco::Net::HTTPServerResponse& response,
                    request_id call);

  // Whether the head of an answer has been written.
  bool has_started() const { return has_started_; }

  // Whether the caller has closed its side.
  bool IsCallerGone() const;

  // Sends a whole answer. False if the caller has gone.
  bool SendAnswer(int status,
                  const std::vector<endpoint::header>& headers,
                  std::string_view body);

  // Sends a refusal: as a JSON answer, or, once a stream has begun, as an
  // error event followed by the abrupt end of the connection.
  bool SendRefusal(const refusal& reason);

  // Begins a streamed answer.
  bool BeginStream(int status, const std::vector<endpoint::header>& headers);

  // Sends a part of the stream at once.
  bool WriteStream(std::string_view part);

  // Ends the stream so that the caller sees it as whole.
  bool EndStream();

  // Ends the connection so that the caller cannot take a begun answer for a
  // whole one.
  void Abort();

 private:
  void SetHead(int status, const std::vector<endpoint::header>& headers);

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  const request_id call_;
  std::ostream* stream_ = nullptr;
  bool has_started_ = false;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_CALLER_CONNECTION_H_
