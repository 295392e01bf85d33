#ifndef JASMINEPATH_STANDIN_ENDLESS_SERVER_H_
#define JASMINEPATH_STANDIN_ENDLESS_SERVER_H_

#include <Poco/Net/ServerSocket.h>

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <thread>

namespace jasminepath::standin {

// An answer that begins with `beginning` and goes on with `piece` forever. The
// name is for the test's report.
struct endless_answer {
  const char* name;
  std::string beginning;
  std::string piece;

  friend std::ostream& operator<<(std::ostream& out,
                                  const endless_answer& answer) {
    return out << answer.name;
  }
};

// A faulty server. Accepts one connection and answers the request with the
// beginning and then with the piece, again and again, until the client closes
// the connection or kMaxSentBytes have been sent.
class endless_server {
 public:
  static constexpr std::size_t kMaxSentBytes = std::size_t{64} << 20;

  // "@ID" in the beginning stands for the request's X-Request-Id.
  endless_server(std::string beginning, const std::string& piece);
  ~endless_server();

  uint16_t port() const { return socket_.address().port(); }
  // Waits for the end of the connection. Returns the number of bytes that the
  // server could send, of which the kernel may hold some megabytes.
  std::size_t WaitForEnd();

 private:
  void Serve();

  std::string beginning_;
  std::string pieces_;
  std::size_t sent_bytes_ = 0;
  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_ENDLESS_SERVER_H_
