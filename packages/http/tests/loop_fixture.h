#ifndef JASMINEPATH_HTTP_TESTS_LOOP_FIXTURE_H_
#define JASMINEPATH_HTTP_TESTS_LOOP_FIXTURE_H_

#include <sys/socket.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/http/client.h"
#include "jasminepath/http/server.h"

namespace jasminepath::http {

// Limit for the conditions that tests wait for; only a hang reaches it.
inline constexpr auto kTestTimeout = std::chrono::seconds(10);

// An event loop that the test runs step by step.
struct loop_fixture {
  event_loop loop{1};

  // Runs the loop until the condition holds.
  void RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
      loop.restart();
      loop.run_one_for(std::chrono::milliseconds(20));
    }
  }
};

// A client socket that sends and receives raw bytes without HTTP parsing.
class raw_client {
 public:
  raw_client(loop_fixture& fixture, unsigned short port)
      : fixture_(fixture), socket_(fixture.loop) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    socket_.non_blocking(true);
  }

  void Send(std::string_view bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  // Runs the loop until the received bytes contain the text or the peer has
  // closed the connection. Returns all bytes received.
  std::string ReadUntil(std::string_view text) {
    fixture_.RunUntil([&] {
      Poll();
      return closed_ || received_.find(text) != std::string::npos;
    });
    return received_;
  }
  std::string ReadToEnd() {
    fixture_.RunUntil([&] {
      Poll();
      return closed_;
    });
    return received_;
  }
  void Close() { socket_.close(); }
  // Whether the peer has reset the connection, which a peer does that leaves
  // bytes unread. A reset after an orderly end is a broken pipe to the kernel.
  bool WasReset() {
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error,
                 &length);
    return error == EPIPE || error == ECONNRESET;
  }

 private:
  // Reads all that has arrived.
  void Poll() {
    std::array<char, 65536> buffer{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t length =
          socket_.read_some(boost::asio::buffer(buffer), error);
      received_.append(buffer.data(), length);
    }
    if (error != boost::asio::error::would_block)
      closed_ = true;
  }

  loop_fixture& fixture_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool closed_ = false;
};

// A peer that sends prepared bytes after each request head that it receives.
class canned_peer {
 public:
  canned_peer(loop_fixture& fixture, std::vector<std::string> answers)
      : acceptor_(fixture.loop,
                  {boost::asio::ip::make_address("127.0.0.1"), 0}),
        answers_(std::move(answers)) {
    Accept();
  }

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }
  // Makes the peer close each connection after its answer; with `reset`, it
  // sends a TCP reset.
  void CloseAfterAnswer(bool reset) {
    close_after_answer_ = true;
    reset_after_answer_ = reset;
  }
  // The same, but only after the last of its answers.
  void CloseAfterLastAnswer(bool reset) {
    CloseAfterAnswer(reset);
    keep_until_last_answer_ = true;
  }
  int connections() const { return connections_; }
  const std::string& received() const { return received_; }

 private:
  struct connection {
    explicit connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string head;
  };

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error)
        return;
      ++connections_;
      Read(std::make_shared<connection>(std::move(socket)));
      Accept();
    });
  }
  void Read(const std::shared_ptr<connection>& from) {
    from->socket.async_read_some(
        boost::asio::buffer(from->buffer),
        [this, from](const boost::system::error_code& error,
                     std::size_t length) {
          if (error)
            return;
          from->head.append(from->buffer.data(), length);
          received_.append(from->buffer.data(), length);
          if (from->head.find("\r\n\r\n") != std::string::npos) {
            from->head.clear();
            Answer(*from);
          }
          if (from->socket.is_open())
            Read(from);
        });
  }
  void Answer(connection& to) {
    if (next_ >= answers_.size())
      return;
    boost::asio::write(to.socket, boost::asio::buffer(answers_[next_++]));
    if (!close_after_answer_ ||
        (keep_until_last_answer_ && next_ < answers_.size()))
      return;
    if (reset_after_answer_)
      to.socket.set_option(boost::asio::socket_base::linger(true, 0));
    to.socket.close();
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::string> answers_;
  std::size_t next_ = 0;
  bool close_after_answer_ = false;
  bool reset_after_answer_ = false;
  bool keep_until_last_answer_ = false;
  int connections_ = 0;
  std::string received_;
};

// A peer that answers the first request on each connection with a beginning
// and then repeats a piece until the client closes the connection, but no
// further than kMaxWrittenBytes.
class endless_peer {
 public:
  endless_peer(loop_fixture& fixture, std::string beginning, std::string piece)
      : acceptor_(fixture.loop,
                  {boost::asio::ip::make_address("127.0.0.1"), 0}),
        beginning_(std::move(beginning)) {
    while (pieces_.size() < kBlockBytes)
      pieces_.append(piece);
    Accept();
  }

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }

 private:
  static constexpr std::size_t kBlockBytes = 8192;
  static constexpr std::size_t kMaxWrittenBytes = std::size_t{64} << 20;

  struct connection {
    explicit connection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::size_t written = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error)
        return;
      const auto accepted = std::make_shared<connection>(std::move(socket));
      connections_.push_back(accepted);
      accepted->socket.async_read_some(
          boost::asio::buffer(accepted->buffer),
          [this, accepted](const boost::system::error_code& read_error,
                           std::size_t) {
            if (!read_error)
              Write(accepted, beginning_.empty() ? pieces_ : beginning_);
          });
      Accept();
    });
  }
  void Write(const std::shared_ptr<connection>& to, const std::string& bytes) {
    boost::asio::async_write(
        to->socket, boost::asio::buffer(bytes),
        [this, to](const boost::system::error_code& error, std::size_t length) {
          to->written += length;
          if (!error && to->written < kMaxWrittenBytes)
            Write(to, pieces_);
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string beginning_;
  std::string pieces_;
  std::vector<std::shared_ptr<connection>> connections_;
};

// Records the answer or the failure of a call.
struct collecting_sink : response_sink {
  bool OnHead(const response_head& received) override {
    if (skip_all)
      return false;
    if (skip_next) {
      skip_next = false;
      return false;
    }
    head = received;
    return true;
  }
  void OnBody(std::string_view piece) override { body.append(piece); }
  void OnEnd() override { ended = true; }
  void OnFailure(call_failure received) override { failure = received; }

  bool done() const { return ended || failure; }

  bool skip_next = false;
  bool skip_all = false;
  response_head head;
  std::string body;
  bool ended = false;
  std::optional<call_failure> failure;
};

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_TESTS_LOOP_FIXTURE_H_
