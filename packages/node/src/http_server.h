#ifndef JASMINEPATH_NODE_HTTP_SERVER_H_
#define JASMINEPATH_NODE_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "jasminepath/base/boot_time.h"

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
}  // namespace Poco::Net

namespace jasminepath::node {

// Certificate and key in PEM files.
struct tls_files {
  std::string certificate_file;
  std::string key_file;

  friend bool operator==(const tls_files&, const tls_files&) = default;
};

// Settings of one listening HTTP server.
struct http_server_settings {
  // "ip:port"; port 0 selects a free port.
  std::string listen;
  // Maximum numbers of open connections and of concurrent requests. Requests
  // beyond either limit are refused.
  int64_t max_connections = 1024;
  int64_t max_requests = 1024;
  // Time within which a request head must be complete.
  duration header_timeout = Seconds(10);
  // A connection is closed if a read returns no data for this long.
  duration read_timeout = Seconds(30);
  // A keep-alive connection is closed after this time without a request.
  duration idle_timeout = Seconds(60);
  std::optional<tls_files> tls;

  friend bool operator==(const http_server_settings&,
                         const http_server_settings&) = default;
};

// Answers one request on a thread of the server. Must not throw.
using http_handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                        Poco::Net::HTTPServerResponse&)>;

// An HTTP server with a bounded number of threads, one for each connection.
// Reserve threads refuse requests beyond the limit, so that a connection is not
// dropped without an answer.
class http_server {
 public:
  // Starts listening and serving. `handle` answers requests within the limits,
  // and `refuse` those beyond them. Throws Poco::Exception if it cannot listen.
  http_server(const http_server_settings& settings,
              http_handler handle,
              http_handler refuse);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  // Shuts down every connection.
  ~http_server();

  // "ip:port" with the bound port.
  std::string address() const;

  // Number of open connections.
  int64_t connections() const;

  // Lets each connection close after the next answer whose head is written from
  // now on, and announces it there. After a stream that began before, a
  // connection serves one more request.
  void BeginDrain();

  // Stops accepting connections, ends idle ones, and waits up to `timeout` for
  // the others. A request that has begun to arrive is answered; one that
  // crosses the end of an idle connection is either answered or not read.
  // The wait ends early once `is_cut_short` returns true.
  void Stop(duration timeout, const std::function<bool()>& is_cut_short);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_HTTP_SERVER_H_
