#ifndef JASMINEPATH_STANDIN_HTTP_HOST_H_
#define JASMINEPATH_STANDIN_HTTP_HOST_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>

#include "injected_faults.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/standin/listen_options.h"
#include "request_log.h"

namespace jasminepath::standin {

// Lets threads sleep until a given time or until the stand-in stops.
class stop_signal {
 public:
  void Stop();
  bool IsStopped() const { return stopped_.load(); }
  // Return false if the stand-in stops first.
  bool SleepUntil(time_point when);
  bool SleepFor(duration length);

 private:
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
};

// The answer to one request, subject to the injected faults. Used only on the
// thread that serves the connection.
class reply {
 public:
  reply(Poco::Net::HTTPServerRequestImpl& request,
        Poco::Net::HTTPServerResponse& response,
        injected_faults& faults,
        stop_signal& stop);

  // Sends a complete JSON answer, unless a fault prevents it.
  void Send(int status, const std::string& body);
  // Adds a header to the answer.
  void SetHeader(const std::string& name, const std::string& value);

  // Begins a chunked answer of server-sent events.
  void BeginEvents();
  // Sends one event immediately. False if the client has disconnected.
  bool SendEvent(const std::string& text);

  // Closes the connection without sending anything further.
  void CloseConnection();
  // Keeps the connection open without sending anything until the client
  // disconnects or the stand-in stops.
  void Hang();

  // Makes Send close the connection instead of answering.
  void LoseAnswer() { should_lose_answer_ = true; }
  // Exempts the answer from all faults that Send applies.
  void IgnoreFaults() { should_ignore_faults_ = true; }

  bool IsClientDisconnected();
  const std::string& peer() const { return peer_; }
  stop_signal& stop() { return stop_; }

 private:
  // If a crossed answer is to be injected, puts another request id into the
  // answer.
  void ApplyCrossedAnswer();
  // Applies delays and other faults. False if the answer must not be sent.
  bool ApplySendFaults();

  Poco::Net::HTTPServerRequestImpl& request_;
  Poco::Net::HTTPServerResponse& response_;
  injected_faults& faults_;
  stop_signal& stop_;
  std::string peer_;
  std::ostream* events_ = nullptr;
  bool should_lose_answer_ = false;
  bool should_ignore_faults_ = false;
};

// The HTTP server of one stand-in. Records requests, answers /healthz,
// /standin/requests and /standin/faults, applies the injected faults and passes
// all other requests to the handler. Faults never apply to /healthz and to
// paths under /standin/.
class http_host {
 public:
  using handler = std::function<void(const received_request&, reply&)>;

  http_host(const listen_options& options, handler handle);
  http_host(const http_host&) = delete;
  http_host& operator=(const http_host&) = delete;
  ~http_host();

  // Begins to serve. The handler may be called from now on, on several threads.
  void Start();
  // Closes all connections and waits for their threads.
  void Stop();

  uint16_t port() const { return port_; }
  injected_faults& faults() { return faults_; }
  stop_signal& stop() { return stop_; }

  // Serves one request. Called on the threads of the server.
  void Serve(Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response);

 private:
  void Dispatch(const received_request& request, reply& answer);
  void HandleControlPath(const received_request& request, reply& answer);
  // True if a fault has ended the request.
  bool ApplyFault(const received_request& request, reply& answer);

  handler handle_;
  injected_faults faults_;
  request_log log_;
  stop_signal stop_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  uint16_t port_ = 0;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_HTTP_HOST_H_
