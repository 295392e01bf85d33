#ifndef JASMINEPATH_ENDPOINT_CANNED_SERVER_H_
#define JASMINEPATH_ENDPOINT_CANNED_SERVER_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

namespace jasminepath::endpoint {

// Accepts one connection, sends fixed bytes after the request's head and closes
// the sending side.
class canned_server {
 public:
  explicit canned_server(std::string answer)
      : answer_(std::move(answer)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this] { Serve(); }) {}
  ~canned_server() { thread_.join(); }

  uint16_t port() const { return socket_.address().port(); }
  // The request's head; valid after the exchange.
  const std::string& received() const { return received_; }

 private:
  void Serve() {
    Poco::Net::StreamSocket connection = socket_.acceptConnection();
    while (received_.find("\r\n\r\n") == std::string::npos) {
      std::array<char, 4096> bytes;
      const int count = connection.receiveBytes(bytes.data(), bytes.size());
      if (count <= 0)
        return;
      received_.append(bytes.data(), static_cast<std::size_t>(count));
    }
    connection.sendBytes(answer_.data(), static_cast<int>(answer_.size()));
    connection.shutdownSend();
  }

  std::string answer_;
  std::string received_;
  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_CANNED_SERVER_H_
