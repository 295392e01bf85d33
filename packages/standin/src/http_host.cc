#include "http_host.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <utility>

#include "json_text.h"

namespace jasminepath::standin {
namespace {

constexpr int kOkStatus = 200;
constexpr int kBadRequestStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;
constexpr int kMinThreads = 16;
constexpr int kThreadStackBytes = 256 * 1024;
constexpr duration kHangPollInterval = Milliseconds(20);
constexpr char kRequestIdHeader[] = "X-Request-Id";
constexpr char kControlPathPrefix[] = "/standin/";

// Resets the silenced state of a peer when it opens a new connection.
class connection_filter : public Poco::Net::TCPServerConnectionFilter {
 public:
  explicit connection_filter(injected_faults& faults) : faults_(faults) {}
  bool accept(const Poco::Net::StreamSocket& socket) override {
    faults_.OnConnection(socket.peerAddress().toString());
    return true;
  }

 private:
  injected_faults& faults_;
};

class host_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit host_handler(http_host& host) : host_(host) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    host_.Serve(request, response);
  }

 private:
  http_host& host_;
};

class host_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit host_factory(http_host& host) : host_(host) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new host_handler(host_);
  }

 private:
  http_host& host_;
};

received_request Receive(Poco::Net::HTTPServerRequest& request) {
  received_request received;
  received.method = request.getMethod();
  received.path = request.getURI();
  for (const auto& [name, value] : request)
    received.headers.push_back({name, value});
  Poco::StreamCopier::copyToString(request.stream(), received.body);
  return received;
}

bool HasSideEffect(const received_request& request) {
  return request.method != "GET" && request.method != "HEAD";
}

}  // namespace

void stop_signal::Stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  wake_.notify_all();
}

bool stop_signal::SleepUntil(time_point when) {
  return SleepFor(when - boot_clock::now());
}

bool stop_signal::SleepFor(duration length) {
  std::unique_lock lock(mutex_);
  return !wake_.wait_for(lock, length, [this] { return stopped_.load(); });
}

reply::reply(Poco::Net::HTTPServerRequestImpl& request,
             Poco::Net::HTTPServerResponse& response,
             injected_faults& faults,
             stop_signal& stop)
    : request_(request),
      response_(response),
      faults_(faults),
      stop_(stop),
      peer_(request.clientAddress().toString()) {
  const std::string id = request.get(kRequestIdHeader, "");
  if (!id.empty())
    response_.set(kRequestIdHeader, id);
}

void reply::SetHeader(const std::string& name, const std::string& value) {
  response_.set(name, value);
}

void reply::ApplyCrossedAnswer() {
  if (response_.has(kRequestIdHeader) && faults_.ConsumeCrossedAnswer())
    response_.set(kRequestIdHeader, "crossed-" + response_[kRequestIdHeader]);
}

bool reply::ApplySendFaults() {
  if (should_lose_answer_ ||
      !stop_.SleepFor(faults_.persistent().late_answer)) {
    CloseConnection();
    return false;
  }
  if (faults_.IsSilenced(peer_)) {
    Hang();
    return false;
  }
  ApplyCrossedAnswer();
  return true;
}

void reply::Send(int status, const std::string& body) {
  if (!should_ignore_faults_ && !ApplySendFaults())
    return;
  response_.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response_.setContentType("application/json");
  response_.sendBuffer(body.data(), body.size());
}

void reply::BeginEvents() {
  ApplyCrossedAnswer();
  response_.setContentType("text/event-stream");
  response_.setChunkedTransferEncoding(true);
  events_ = &response_.send();
}

bool reply::SendEvent(const std::string& text) {
  if (faults_.IsSilenced(peer_)) {
    Hang();
    return false;
  }
  *events_ << text << std::flush;
  return events_->good();
}

void reply::CloseConnection() {
  // Shuts the socket down, so that the client does not receive the regular end
  // of the response.
  try {
    request_.socket().shutdown();
  } catch (const Poco::Exception&) {
    // The client has already disconnected.
  }
  response_.setKeepAlive(false);
}

bool reply::IsClientDisconnected() {
  auto& socket = request_.socket();
  return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
         socket.available() == 0;
}

void reply::Hang() {
  while (!IsClientDisconnected() && stop_.SleepFor(kHangPollInterval)) {
  }
  CloseConnection();
}

http_host::http_host(const listen_options& options, handler handle)
    : handle_(std::move(handle)),
      threads_(kMinThreads, options.max_connections + kMinThreads) {
  threads_.setStackSize(kThreadStackBytes);
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(options.max_connections);
  params->setMaxQueued(options.max_connections);
  const Poco::Net::SocketAddress address(options.host, options.port);
  Poco::Net::ServerSocket socket(address, options.max_connections);
  port_ = socket.address().port();
  server_ = std::make_unique<Poco::Net::HTTPServer>(new host_factory(*this),
                                                    threads_, socket, params);
  server_->setConnectionFilter(new connection_filter(faults_));
}

http_host::~http_host() {
  Stop();
}

void http_host::Start() {
  server_->start();
}

void http_host::Stop() {
  if (stop_.IsStopped())
    return;
  stop_.Stop();
  server_->stopAll(true);
  threads_.joinAll();
}

void http_host::Serve(Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response) {
  auto& raw = static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  reply answer(raw, response, faults_, stop_);
  try {
    Dispatch(Receive(request), answer);
  } catch (const Poco::Net::NetException&) {
    answer.CloseConnection();
  } catch (const Poco::Exception& error) {
    if (!response.sent())
      answer.Send(kBadRequestStatus, ErrorText(error.displayText()));
  }
}

void http_host::Dispatch(const received_request& request, reply& answer) {
  const bool is_control_path = request.path.starts_with(kControlPathPrefix);
  if (is_control_path || request.path == "/healthz")
    answer.IgnoreFaults();
  if (request.path == "/healthz")
    return answer.Send(kOkStatus, R"({"status":"ok"})");
  if (is_control_path)
    return HandleControlPath(request, answer);
  log_.Record(request);
  if (!ApplyFault(request, answer))
    handle_(request, answer);
}

void http_host::HandleControlPath(const received_request& request,
                                  reply& answer) {
  const std::string path = request.PathOnly();
  if (path == "/standin/requests")
    return answer.Send(kOkStatus, log_.ToJson(request.Parameter("path")));
  if (path == "/standin/faults" && request.method == "POST") {
    faults_.Apply(*ParseObject(request.body));
    return answer.Send(kOkStatus, "{}");
  }
  if (path == "/standin/faults")
    return answer.Send(kNotFoundStatus,
                       ErrorText("/standin/faults accepts only POST"));
  handle_(request, answer);
}

bool http_host::ApplyFault(const received_request& request, reply& answer) {
  const persistent_faults faults = faults_.persistent();
  if (faults_.IsSilenced(answer.peer()) ||
      (faults.down && faults.mode == down_mode::hang)) {
    answer.Hang();
    return true;
  }
  if (faults.down && faults.mode == down_mode::cut) {
    answer.CloseConnection();
    return true;
  }
  if (faults.down) {
    answer.Send(kUnavailableStatus, ErrorText("down"));
    return true;
  }
  if (!stop_.SleepFor(faults.slow)) {
    answer.CloseConnection();
    return true;
  }
  if (HasSideEffect(request) && faults_.ConsumeLostAnswer())
    answer.LoseAnswer();
  return false;
}

}  // namespace jasminepath::standin
