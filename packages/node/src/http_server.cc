#include "http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timestamp.h>
#include <sys/socket.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <utility>

#include "connection_watchdog.h"

namespace jasminepath::node {
namespace {

constexpr int kReserveThreads = 64;
constexpr int kListenBacklog = 1024;
constexpr int kThreadStackBytes = 256 * 1024;
constexpr int kThreadIdleSeconds = 30;
constexpr duration kWatchdogInterval = Milliseconds(500);
constexpr duration kStopPollInterval = Milliseconds(20);

Poco::Timespan ToTimespan(duration value) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

// Increments the count of requests in progress for its lifetime.
class in_progress_counter {
 public:
  explicit in_progress_counter(std::atomic<int64_t>& count) : count_(count) {
    ++count_;
  }
  in_progress_counter(const in_progress_counter&) = delete;
  in_progress_counter& operator=(const in_progress_counter&) = delete;
  ~in_progress_counter() { --count_; }

 private:
  std::atomic<int64_t>& count_;
};

// State shared by the handlers and the server.
struct server_state {
  server_state(const http_server_settings& settings,
               http_handler handler,
               http_handler refuse_handler)
      : handle(std::move(handler)),
        refuse(std::move(refuse_handler)),
        max_connections(settings.max_connections),
        max_requests(settings.max_requests),
        header_timeout(settings.header_timeout),
        idle_timeout(settings.idle_timeout),
        watchdog([](int descriptor) { ::shutdown(descriptor, SHUT_RDWR); }) {}

  const http_handler handle;
  const http_handler refuse;
  const int64_t max_connections;
  const int64_t max_requests;
  const duration header_timeout;
  const duration idle_timeout;
  connection_watchdog watchdog;
  std::atomic<int64_t> in_progress{0};
  std::atomic<bool> is_stopping{false};
  // Whether connections end for reading because this node ends them.
  std::atomic<bool> is_ending_idle{false};
};

// Tells whether bytes of the caller wait to be parsed.
class readable_session : public Poco::Net::HTTPServerSession {
 public:
  using HTTPServerSession::HTTPServerSession;

  bool HasBufferedBytes() const { return buffered() > 0; }
};

// Announces in the head of each answer whether the connection closes after it.
class announced_response : public Poco::Net::HTTPServerResponseImpl {
 public:
  announced_response(Poco::Net::HTTPServerSession& session,
                     const server_state& state)
      : HTTPServerResponseImpl(session), state_(state) {}

  std::ostream& send() override {
    AnnounceClose();
    return HTTPServerResponseImpl::send();
  }

  void sendBuffer(const void* data, std::size_t size) override {
    AnnounceClose();
    HTTPServerResponseImpl::sendBuffer(data, size);
  }

 private:
  void AnnounceClose() {
    if (state_.is_stopping)
      setKeepAlive(false);
  }

  const server_state& state_;
};

// A connection that is registered with the watchdog while it is open. It closes
// after an answer only if the head of that answer has said so.
class watched_connection : public Poco::Net::TCPServerConnection {
 public:
  watched_connection(const Poco::Net::StreamSocket& socket,
                     Poco::Net::HTTPServerParams::Ptr params,
                     server_state& state)
      : TCPServerConnection(socket),
        params_(std::move(params)),
        state_(state),
        descriptor_(socket.impl()->sockfd()) {
    state_.watchdog.OnWaiting(descriptor_,
                              boot_clock::now() + state_.header_timeout);
  }
  ~watched_connection() override { state_.watchdog.OnClosed(descriptor_); }

  void run() override {
    readable_session session(socket(), params_);
    while (session.hasMoreRequests()) {
      state_.watchdog.OnArriving(descriptor_);
      try {
        ServeRequest(session);
      } catch (const Poco::Net::NoMessageException&) {
        return;
      } catch (const Poco::Net::MessageException&) {
        SendError(session, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
      }
    }
  }

 private:
  void ServeRequest(readable_session& session) {
    announced_response response(session, state_);
    // Reads the head.
    Poco::Net::HTTPServerRequestImpl request(response, session, params_.get());
    if (IsBrokenOff(session, request))
      throw Poco::Net::NoMessageException();
    response.setDate(Poco::Timestamp());
    response.setVersion(request.getVersion());
    response.setKeepAlive(request.getKeepAlive() && session.canKeepAlive());
    if (request.getExpectContinue())
      response.sendContinue();
    Handle(request, response);
    session.setKeepAlive(response.getKeepAlive());
  }

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    state_.watchdog.OnRequest(descriptor_);
    const in_progress_counter count(state_.in_progress);
    if (IsOverloaded()) {
      response.setKeepAlive(false);
      state_.refuse(request, response);
    } else {
      state_.handle(request, response);
    }
    state_.watchdog.OnWaiting(
        descriptor_,
        boot_clock::now() + state_.idle_timeout + state_.header_timeout);
  }

  // Whether the caller has closed its side after the head. POCO takes a head
  // that broke off for a whole one, without the fields that are missing.
  bool IsBrokenOff(const readable_session& session,
                   const Poco::Net::HTTPServerRequest& request) const {
    if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_GET ||
        session.HasBufferedBytes() || state_.is_ending_idle)
      return false;
    char byte = 0;
    return recv(descriptor_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  bool IsOverloaded() const {
    return state_.in_progress > state_.max_requests ||
           static_cast<int64_t>(state_.watchdog.size()) >
               state_.max_connections;
  }

  static void SendError(Poco::Net::HTTPServerSession& session,
                        Poco::Net::HTTPResponse::HTTPStatus status) {
    Poco::Net::HTTPServerResponseImpl response(session);
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setStatusAndReason(status);
    response.setKeepAlive(false);
    response.send();
    session.setKeepAlive(false);
  }

  Poco::Net::HTTPServerParams::Ptr params_;
  server_state& state_;
  const int descriptor_;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
 public:
  connection_factory(server_state& state,
                     Poco::Net::HTTPServerParams::Ptr params)
      : state_(state), params_(std::move(params)) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new watched_connection(socket, params_, state_);
  }

 private:
  server_state& state_;
  const Poco::Net::HTTPServerParams::Ptr params_;
};

Poco::Net::ServerSocket Listen(const http_server_settings& settings) {
  const Poco::Net::SocketAddress address(settings.listen);
  if (!settings.tls) {
    Poco::Net::ServerSocket socket;
    socket.bind(address, true);
    socket.listen(kListenBacklog);
    return socket;
  }
  Poco::Net::Context::Ptr context = new Poco::Net::Context(
      Poco::Net::Context::TLS_SERVER_USE, settings.tls->key_file,
      settings.tls->certificate_file, "", Poco::Net::Context::VERIFY_NONE);
  context->requireMinimumProtocol(Poco::Net::Context::PROTO_TLSV1_2);
  Poco::Net::SecureServerSocket socket(context);
  socket.bind(address, true);
  socket.listen(kListenBacklog);
  return socket;
}

Poco::Net::HTTPServerParams::Ptr MakeParams(
    const http_server_settings& settings) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  const int connections = static_cast<int>(settings.max_connections);
  params->setMaxThreads(connections + kReserveThreads);
  params->setMaxQueued(connections + kReserveThreads);
  params->setThreadIdleTime(Poco::Timespan(kThreadIdleSeconds, 0));
  params->setTimeout(ToTimespan(settings.read_timeout));
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(ToTimespan(settings.idle_timeout));
  return params;
}

}  // namespace

struct http_server::implementation {
  implementation(const http_server_settings& settings,
                 http_handler handle,
                 http_handler refuse)
      : state(settings, std::move(handle), std::move(refuse)),
        pool(2,
             static_cast<int>(settings.max_connections) + kReserveThreads + 1,
             kThreadIdleSeconds,
             kThreadStackBytes),
        params(MakeParams(settings)),
        listener(Listen(settings)),
        address(listener.address().toString()),
        server(new connection_factory(state, params), pool, listener, params) {
    server.start();
    watchdog_thread = std::thread([this] { MonitorConnections(); });
  }

  // Callers are refused from then on; those that nobody has accepted are reset.
  void StopListening() {
    server.stop();
    listener.close();
  }

  void MonitorConnections() {
    while (!is_closing) {
      state.watchdog.ShutDownOverdue(boot_clock::now());
      std::this_thread::sleep_for(kWatchdogInterval);
    }
  }

  server_state state;
  Poco::ThreadPool pool;
  Poco::Net::HTTPServerParams::Ptr params;
  // Shares its descriptor with `server`, which never closes it.
  Poco::Net::ServerSocket listener;
  const std::string address;
  Poco::Net::TCPServer server;
  std::atomic<bool> is_closing{false};
  std::thread watchdog_thread;
};

http_server::http_server(const http_server_settings& settings,
                         http_handler handle,
                         http_handler refuse)
    : implementation_(std::make_unique<implementation>(settings,
                                                       std::move(handle),
                                                       std::move(refuse))) {}

http_server::~http_server() {
  implementation_->is_closing = true;
  implementation_->watchdog_thread.join();
  implementation_->server.stop();
  implementation_->state.watchdog.ShutDownAll();
  implementation_->pool.joinAll();
}

std::string http_server::address() const {
  return implementation_->address;
}

int64_t http_server::connections() const {
  return implementation_->server.currentConnections();
}

void http_server::BeginDrain() {
  implementation_->state.is_stopping = true;
}

void http_server::Stop(duration timeout,
                       const std::function<bool()>& is_cut_short) {
  BeginDrain();
  implementation_->StopListening();
  connection_watchdog& watchdog = implementation_->state.watchdog;
  implementation_->state.is_ending_idle = true;
  // In this direction only: a request that has arrived is still answered, and
  // one that comes later is reset unread.
  watchdog.EndIdle([](int descriptor) { ::shutdown(descriptor, SHUT_RD); });
  const time_point deadline = boot_clock::now() + timeout;
  while (watchdog.size() > 0 && !is_cut_short() && boot_clock::now() < deadline)
    std::this_thread::sleep_for(kStopPollInterval);
}

}  // namespace jasminepath::node
