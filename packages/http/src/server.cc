#include "jasminepath/http/server.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <unordered_set>

#include "server_connection.h"

namespace jasminepath::http {
namespace {

// Length of the kernel's queue of connections that wait to be accepted.
constexpr int kAcceptBacklog = 1024;
// Delay after a failed accept, for example for lack of file descriptors.
constexpr duration kAcceptRetryDelay = Milliseconds(50);

using boost::asio::ip::tcp;

}  // namespace

result<tcp::endpoint, std::string> ParseEndpoint(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), error);
  unsigned port = 0;
  if (!error && colon != std::string_view::npos) {
    const char* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (parsed.ec == std::errc() && parsed.ptr == end && port <= 65535)
      return tcp::endpoint(ip, static_cast<unsigned short>(port));
  }
  return failure("\"" + std::string(address) + "\" is not an IP:PORT address");
}

struct server::implementation
    : std::enable_shared_from_this<server::implementation> {
  implementation(event_loop& shared_loop, request_handler on_request)
      : loop(shared_loop),
        acceptor(shared_loop),
        retry(shared_loop),
        shared(std::make_shared<server_shared>()) {
    shared->handler = std::move(on_request);
  }

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const boost::system::error_code& error,
                                    tcp::socket socket) {
          if (!self->acceptor.is_open())
            return;
          if (error) {
            self->retry.Start(kAcceptRetryDelay, [self] { self->Accept(); });
            return;
          }
          auto connection = std::make_shared<server_connection>(
              self->loop, std::move(socket), self->shared);
          connection->Start();
          self->Accept();
        });
  }

  event_loop& loop;
  tcp::acceptor acceptor;
  timer retry;
  std::shared_ptr<server_shared> shared;
};

server::server(event_loop& loop, request_handler handler)
    : implementation_(
          std::make_shared<implementation>(loop, std::move(handler))) {}

server::~server() {
  StopAccepting();
  const auto connections = implementation_->shared->connections;
  for (server_connection* connection : connections)
    connection->Close();
}

result<void, std::string> server::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint)
    return failure(endpoint.error());
  boost::system::error_code error;
  auto& acceptor = implementation_->acceptor;
  acceptor.open(endpoint.value().protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(endpoint.value(), error);
  if (!error)
    acceptor.listen(kAcceptBacklog, error);
  if (error)
    return failure("cannot listen at " + address + ": " + error.message());
  implementation_->Accept();
  return success();
}

unsigned short server::port() const {
  boost::system::error_code error;
  return implementation_->acceptor.local_endpoint(error).port();
}

void server::SetLimits(const server_limits& limits) {
  implementation_->shared->limits = limits;
}

void server::BeginDrain() {
  implementation_->shared->draining = true;
}

void server::StopAccepting() {
  BeginDrain();
  boost::system::error_code ignored;
  implementation_->retry.Cancel();
  implementation_->acceptor.close(ignored);
  const auto connections = implementation_->shared->connections;
  for (server_connection* connection : connections)
    connection->CloseIfIdle();
}

std::size_t server::connection_count() const {
  return implementation_->shared->connections.size();
}

std::size_t server::busy_count() const {
  return implementation_->shared->busy;
}

}  // namespace jasminepath::http
