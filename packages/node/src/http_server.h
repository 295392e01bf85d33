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
  // "ip:port"; port 0 takes a free one.
  std::string listen;
  // Connections open at a time, and requests served at a time; those beyond
  // get a refusal.
  int64_t max_connections = 1024;
  int64_t max_requests = 1024;
  // A head must be complete within this.
  duration header_timeout = Seconds(10);
  // A read that brings nothing for this long ends the connection.
  duration read_timeout = Seconds(30);
  // A kept-open connection without a request is closed after this.
  duration idle_timeout = Seconds(60);
  std::optional<tls_files> tls;

  friend bool operator==(const http_server_settings&,
                         const http_server_settings&) = default;
};

// Answers one request on a thread of the front. Nothing may escape from it.
using http_handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                        Poco::Net::HTTPServerResponse&)>;

// An HTTP server with a bounded number of threads, one for each connection.
// Beyond the bound a reserve of threads gives refusals, so that a connection
// is never dropped without an answer.
class http_server {
 public:
  // Listens and serves at once. `handle` answers requests within the bound and
  // `refuse` those beyond it. Throws Poco::Exception if it cannot listen.
  http_server(const http_server_settings& settings,
              http_handler handle,
              http_handler refuse);
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  // Ends every connection.
  ~http_server();

  // "ip:port" as bound.
  std::string address() const;

  // Connections open now.
  int64_t connections() const;

  // Asks callers to close their connections after their next answer.
  void BeginDrain();

  // Stops accepting, ends idle connections, and waits for the requests in
  // progress up to `limit`.
  void Stop(duration timeout);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_HTTP_SERVER_H_
