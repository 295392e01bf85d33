#include "connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace jasminepath::endpoint {
namespace {

constexpr std::size_t kReceiveBytes = 16 * 1024;
// Poll interval if the cancellation has no descriptor to wake the thread.
constexpr duration kPollIntervalWithoutWakeup = Milliseconds(20);
// Bounds the timeout argument of poll(2).
constexpr duration kMaxPollWait = Seconds(60);

// Milliseconds for poll(2), rounded up so that the caller does not spin.
int PollTimeoutMs(duration left) {
  return static_cast<int>(ToMilliseconds(std::min(left, kMaxPollWait))) + 1;
}

}  // namespace

connection::connection(const cancellation& cancel,
                       const exchange_deadlines& deadlines)
    : cancel_(cancel), deadlines_(deadlines) {}

exchange_failure connection::Fail(exchange_failure_kind kind,
                                  std::string detail) const {
  const run_state run = sent_any_ ? run_state::unknown : run_state::not_run;
  return {kind, run, std::move(detail)};
}

result<void, exchange_failure> connection::WaitFor(
    short events,
    time_point limit,
    exchange_failure_kind on_limit) {
  const int wake = cancel_.wake_descriptor();
  std::array<pollfd, 2> watched{pollfd{socket_.impl()->sockfd(), events, 0},
                                pollfd{wake, POLLIN, 0}};
  while (true) {
    if (cancel_.cancelled())
      return Fail(exchange_failure_kind::cancelled, "cancelled");
    const time_point now = boot_clock::now();
    if (now >= deadlines_.overall)
      return Fail(exchange_failure_kind::deadline,
                  "the overall deadline passed");
    if (now >= limit)
      return Fail(on_limit, "no progress within the connect or idle limit");
    duration left = std::min(limit, deadlines_.overall) - now;
    if (wake < 0)
      left = std::min(left, kPollIntervalWithoutWakeup);
    const int ready =
        ::poll(watched.data(), watched.size(), PollTimeoutMs(left));
    if (ready < 0 && errno != EINTR)
      return Fail(exchange_failure_kind::cut, "poll failed");
    if (ready > 0 && watched[0].revents != 0)
      return success();
  }
}

result<void, exchange_failure> connection::Connect(
    const endpoint_address& address) {
  try {
    socket_.connectNB(Poco::Net::SocketAddress(address.host, address.port));
  } catch (const Poco::Exception& error) {
    return Fail(exchange_failure_kind::connect_failed, error.displayText());
  }
  const time_point limit = boot_clock::now() + deadlines_.connect_timeout;
  auto ready = WaitFor(POLLOUT, limit, exchange_failure_kind::connect_failed);
  if (!ready)
    return ready.error();
  if (socket_.impl()->socketError() != 0)
    return Fail(exchange_failure_kind::connect_failed, "connection refused");
  socket_.setNoDelay(true);
  return success();
}

result<void, exchange_failure> connection::Send(std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent = ::send(socket_.impl()->sockfd(), data.data(),
                                data.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      sent_any_ = true;
      data.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      return Fail(exchange_failure_kind::cut, "connection ended while sending");
    auto ready = WaitFor(POLLOUT, boot_clock::now() + deadlines_.idle_limit,
                         exchange_failure_kind::silent);
    if (!ready)
      return ready.error();
  }
  return success();
}

result<bool, exchange_failure> connection::Receive(std::string& buffer) {
  const time_point limit = boot_clock::now() + deadlines_.idle_limit;
  while (true) {
    auto ready = WaitFor(POLLIN, limit, exchange_failure_kind::silent);
    if (!ready)
      return ready.error();
    std::array<char, kReceiveBytes> bytes;
    const ssize_t received =
        ::recv(socket_.impl()->sockfd(), bytes.data(), bytes.size(), 0);
    if (received > 0) {
      buffer.append(bytes.data(), static_cast<std::size_t>(received));
      return true;
    }
    if (received == 0)
      return false;
    if (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK)
      return Fail(exchange_failure_kind::cut, "connection reset");
  }
}

}  // namespace jasminepath::endpoint
