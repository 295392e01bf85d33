#include "http_front.h"

#include <Poco/Exception.h>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>
#include <utility>

#include "connection_watch.h"

namespace jasminepath::node {
namespace {

constexpr int kReserveThreads = 64;
constexpr int kListenBacklog = 1024;
constexpr int kThreadStackBytes = 256 * 1024;
constexpr int kThreadIdleSeconds = 30;
constexpr duration kWatchInterval = Milliseconds(500);
constexpr duration kStopPoll = Milliseconds(20);

Poco::Timespan ToTimespan(duration value) {
  return Poco::Timespan(
      std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

// Counts requests in progress over the lifetime of the counter.
class progress_count {
 public:
  explicit progress_count(std::atomic<int64_t>& count) : count_(count) {
    ++count_;
  }
  progress_count(const progress_count&) = delete;
  progress_count& operator=(const progress_count&) = delete;
  ~progress_count() { --count_; }

 private:
  std::atomic<int64_t>& count_;
};

// What handlers and the front share.
struct front_state {
  front_state(const front_settings& settings,
              front_handler handler,
              front_handler refuser)
      : handle(std::move(handler)),
        refuse(std::move(refuser)),
        max_connections(settings.max_connections),
        max_requests(settings.max_requests),
        header_timeout(settings.header_timeout),
        idle_timeout(settings.idle_timeout),
        watch([](int descriptor) { ::shutdown(descriptor, SHUT_RDWR); }) {}

  const front_handler handle;
  const front_handler refuse;
  const int64_t max_connections;
  const int64_t max_requests;
  const duration header_timeout;
  const duration idle_timeout;
  connection_watch watch;
  std::atomic<int64_t> in_progress{0};
  std::atomic<bool> stopping{false};
};

class request_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit request_handler(front_state& state) : state_(state) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const int descriptor = DescriptorOf(request);
    state_.watch.OnRequest(descriptor);
    const progress_count count(state_.in_progress);
    if (Overloaded()) {
      response.setKeepAlive(false);
      state_.refuse(request, response);
    } else {
      state_.handle(request, response);
    }
    if (state_.stopping)
      response.setKeepAlive(false);
    state_.watch.OnWaiting(descriptor, boot_clock::now() + state_.idle_timeout +
                                           state_.header_timeout);
  }

 private:
  bool Overloaded() const {
    return state_.in_progress > state_.max_requests ||
           static_cast<int64_t>(state_.watch.size()) > state_.max_connections;
  }

  static int DescriptorOf(Poco::Net::HTTPServerRequest& request) {
    return static_cast<Poco::Net::HTTPServerRequestImpl&>(request)
        .socket()
        .impl()
        ->sockfd();
  }

  front_state& state_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(front_state& state) : state_(state) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new request_handler(state_);
  }

 private:
  front_state& state_;
};

// A connection that the watch knows for as long as it is open.
class watched_connection : public Poco::Net::HTTPServerConnection {
 public:
  watched_connection(const Poco::Net::StreamSocket& socket,
                     const Poco::Net::HTTPServerParams::Ptr& params,
                     const Poco::Net::HTTPRequestHandlerFactory::Ptr& factory,
                     front_state& state)
      : HTTPServerConnection(socket, params, factory),
        state_(state),
        descriptor_(socket.impl()->sockfd()) {
    state_.watch.OnWaiting(descriptor_,
                           boot_clock::now() + state_.header_timeout);
  }
  ~watched_connection() override { state_.watch.OnClosed(descriptor_); }

 private:
  front_state& state_;
  const int descriptor_;
};

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
 public:
  connection_factory(front_state& state,
                     Poco::Net::HTTPServerParams::Ptr params)
      : state_(state),
        params_(std::move(params)),
        handlers_(new handler_factory(state)) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new watched_connection(socket, params_, handlers_, state_);
  }

 private:
  front_state& state_;
  const Poco::Net::HTTPServerParams::Ptr params_;
  const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers_;
};

Poco::Net::ServerSocket Listen(const front_settings& settings) {
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

Poco::Net::HTTPServerParams::Ptr MakeParams(const front_settings& settings) {
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

struct http_front::implementation {
  implementation(const front_settings& settings,
                 front_handler handle,
                 front_handler refuse)
      : state(settings, std::move(handle), std::move(refuse)),
        pool(2,
             static_cast<int>(settings.max_connections) + kReserveThreads + 1,
             kThreadIdleSeconds,
             kThreadStackBytes),
        params(MakeParams(settings)),
        server(new connection_factory(state, params),
               pool,
               Listen(settings),
               params) {
    server.start();
    watcher = std::thread([this] { Watch(); });
  }

  void Watch() {
    while (!closing) {
      state.watch.CutOverdue(boot_clock::now());
      std::this_thread::sleep_for(kWatchInterval);
    }
  }

  front_state state;
  Poco::ThreadPool pool;
  Poco::Net::HTTPServerParams::Ptr params;
  Poco::Net::TCPServer server;
  std::atomic<bool> closing{false};
  std::thread watcher;
};

http_front::http_front(const front_settings& settings,
                       front_handler handle,
                       front_handler refuse)
    : implementation_(std::make_unique<implementation>(settings,
                                                       std::move(handle),
                                                       std::move(refuse))) {}

http_front::~http_front() {
  implementation_->closing = true;
  implementation_->watcher.join();
  implementation_->server.stop();
  implementation_->state.watch.CutAll();
  implementation_->pool.joinAll();
}

std::string http_front::address() const {
  return implementation_->server.socket().address().toString();
}

int64_t http_front::connections() const {
  return implementation_->server.currentConnections();
}

void http_front::BeginDrain() {
  implementation_->state.stopping = true;
}

void http_front::Stop(duration limit) {
  BeginDrain();
  implementation_->server.stop();
  implementation_->state.watch.CutWaiting();
  const time_point end = boot_clock::now() + limit;
  while (implementation_->state.in_progress > 0 && boot_clock::now() < end)
    std::this_thread::sleep_for(kStopPoll);
}

}  // namespace jasminepath::node
