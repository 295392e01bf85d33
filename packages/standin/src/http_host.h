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

#include "fault_board.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/standin/listen_options.h"
#include "request_log.h"

namespace jasminepath::standin {

// Lets threads sleep until a time or until the stand-in stops.
class stop_signal {
 public:
  void Stop();
  bool stopped() const { return stopped_.load(); }
  // False if the stand-in stops before the time.
  bool SleepUntil(time_point when);
  bool SleepFor(duration length);

 private:
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::condition_variable wake_;
};

// The answer to one request, subject to the faults that are set. Used by the
// thread that serves the connection.
class reply {
 public:
  reply(Poco::Net::HTTPServerRequestImpl& request,
        Poco::Net::HTTPServerResponse& response,
        fault_board& faults,
        stop_signal& stop);

  // Sends a whole JSON answer, unless a fault keeps it back.
  void Send(int status, const std::string& body);
  // Adds a header to the answer.
  void SetHeader(const std::string& name, const std::string& value);

  // Begins a chunked answer of server-sent events.
  void BeginEvents();
  // Sends one event at once. False if the client has gone.
  bool SendEvent(const std::string& text);

  // Ends the connection without a further byte.
  void Cut();
  // Keeps the connection open and silent until the client goes.
  void Hang();

  // Makes Send cut the connection instead of answering.
  void LoseAnswer() { lose_answer_ = true; }
  // Frees the answer from all faults.
  void IgnoreFaults() { ignore_faults_ = true; }

  bool ClientGone();
  const std::string& peer() const { return peer_; }
  stop_signal& stop() { return stop_; }

 private:
  // Renames the request that the answer names, if that fault is set.
  void CrossIfSet();
  // Waits as the faults say. False if the answer must not be sent any more.
  bool MeetSendFaults();

  Poco::Net::HTTPServerRequestImpl& request_;
  Poco::Net::HTTPServerResponse& response_;
  fault_board& faults_;
  stop_signal& stop_;
  std::string peer_;
  std::ostream* events_ = nullptr;
  bool lose_answer_ = false;
  bool ignore_faults_ = false;
};

// Serves one stand-in over HTTP: records what comes in, answers /healthz,
// /standin/requests and /standin/faults, applies the faults, and passes the
// rest to the handler. Paths under /standin/ are never subject to faults.
class http_host {
 public:
  using handler = std::function<void(const received_request&, reply&)>;

  http_host(const listen_options& options, handler handle);
  http_host(const http_host&) = delete;
  http_host& operator=(const http_host&) = delete;
  ~http_host();

  // Begins to serve; the handler may be called from now on.
  void Start();
  // Ends all connections and waits for their threads.
  void Stop();

  uint16_t port() const { return port_; }
  fault_board& faults() { return faults_; }
  stop_signal& stop() { return stop_; }

  // Serves one request; called by the server's threads.
  void Serve(Poco::Net::HTTPServerRequest& request,
             Poco::Net::HTTPServerResponse& response);

 private:
  void Dispatch(const received_request& request, reply& answer);
  void HandleOwnPath(const received_request& request, reply& answer);
  // True if a fault has ended the request.
  bool MeetFault(const received_request& request, reply& answer);

  handler handle_;
  fault_board faults_;
  request_log log_;
  stop_signal stop_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
  uint16_t port_ = 0;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_HTTP_HOST_H_
