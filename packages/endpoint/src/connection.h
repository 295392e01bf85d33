#ifndef JASMINEPATH_ENDPOINT_CONNECTION_H_
#define JASMINEPATH_ENDPOINT_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <string>
#include <string_view>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/result.h"
#include "jasminepath/endpoint/cancellation.h"
#include "jasminepath/endpoint/exchange.h"

namespace jasminepath::endpoint {

// A TCP connection. Every blocking operation ends on cancellation, at the
// overall deadline or at the idle limit, whichever comes first.
class connection {
 public:
  connection(const cancellation& cancel, const exchange_deadlines& deadlines);

  result<void, exchange_failure> Connect(const endpoint_address& address);

  // Sends all of `data`.
  result<void, exchange_failure> Send(std::string_view data);

  // Waits for at least one byte and appends the received bytes to `buffer`.
  // Returns false at the end of the connection.
  result<bool, exchange_failure> Receive(std::string& buffer);

  // Returns a failure whose `run` is `not_run` if no byte has been sent.
  exchange_failure Fail(exchange_failure_kind kind, std::string detail) const;

 private:
  // Waits until the socket is ready for the poll(2) events in `events`.
  result<void, exchange_failure> WaitFor(short events,
                                         time_point limit,
                                         exchange_failure_kind on_limit);

  const cancellation& cancel_;
  exchange_deadlines deadlines_;
  Poco::Net::StreamSocket socket_;
  bool sent_any_ = false;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_CONNECTION_H_
