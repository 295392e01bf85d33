#ifndef JASMINEPATH_NODE_TESTS_RAW_CALLER_H_
#define JASMINEPATH_NODE_TESTS_RAW_CALLER_H_

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <string>

namespace jasminepath::node {

// A test's caller that keeps its connection and sees each byte of it.
class raw_caller {
 public:
  // Throws Poco::Exception if it cannot connect. A receive buffer of 0 bytes
  // has the system's size.
  explicit raw_caller(const std::string& address, int receive_buffer_bytes = 0)
      : socket_(Poco::Net::SocketAddress::IPv4) {
    if (receive_buffer_bytes > 0)
      socket_.setReceiveBufferSize(receive_buffer_bytes);
    socket_.connect(Poco::Net::SocketAddress(address));
    socket_.setReceiveTimeout(Poco::Timespan(20, 0));
  }

  // Throws Poco::Exception if the connection has been reset.
  void Send(const std::string& text) {
    socket_.sendBytes(text.data(), static_cast<int>(text.size()));
  }

  // Reads until `end` has arrived or the connection has ended. Returns what has
  // arrived since the last call.
  std::string ReadThrough(const std::string& end) {
    while (received_.find(end) == std::string::npos && Receive()) {
    }
    const std::size_t at = received_.find(end);
    const std::size_t size =
        at == std::string::npos ? received_.size() : at + end.size();
    const std::string part = received_.substr(0, size);
    received_.erase(0, size);
    return part;
  }

  // The caller sends nothing more.
  void CloseSending() { socket_.shutdownSend(); }

  // Reads until the connection has ended.
  std::string ReadAll() {
    while (Receive()) {
    }
    return received_;
  }

 private:
  bool Receive() {
    char buffer[4096];
    try {
      const int count = socket_.receiveBytes(buffer, sizeof(buffer));
      if (count > 0)
        received_.append(buffer, static_cast<std::size_t>(count));
      return count > 0;
    } catch (const Poco::TimeoutException&) {
      received_ += "(no end)";
      return false;
    } catch (const Poco::Exception&) {
      received_ += "(reset)";
      return false;
    }
  }

  Poco::Net::StreamSocket socket_;
  std::string received_;
};

}  // namespace jasminepath::node

#endif  // JASMINEPATH_NODE_TESTS_RAW_CALLER_H_
