#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <string>

#include "jasminepath/http/client.h"
#include "loop_fixture.h"

namespace jasminepath::http {
namespace {

// A peer that does not read requests: it sends the beginning of an answer as
// soon as a connection is established, and ends the connection on demand.
class early_peer {
 public:
  early_peer(loop_fixture& fixture, std::string bytes)
      : acceptor_(fixture.loop,
                  {boost::asio::ip::make_address("127.0.0.1"), 0}),
        socket_(fixture.loop),
        bytes_(std::move(bytes)) {
    acceptor_.async_accept(
        socket_, [this](const boost::system::error_code& error) {
          if (!error)
            boost::asio::write(socket_, boost::asio::buffer(bytes_));
        });
  }

  boost::asio::ip::tcp::endpoint address() const {
    return acceptor_.local_endpoint();
  }
  // With `reset`, the peer sends a TCP reset.
  void Close(bool reset) {
    if (reset)
      socket_.set_option(boost::asio::socket_base::linger(true, 0));
    else
      socket_.shutdown(boost::asio::socket_base::shutdown_send);
    if (reset)
      socket_.close();
  }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  std::string bytes_;
};

// Guards against a part of an answer that counts as complete, because the write
// of the request has consumed the error of the connection's reset.
BOOST_DATA_TEST_CASE_F(loop_fixture,
                       AnAnswerThatEndsDuringTheUploadIsNotComplete,
                       boost::unit_test::data::make({false, true}),
                       reset) {
  // More than the buffers of both sockets hold.
  constexpr std::size_t kUploadBytes = std::size_t{32} << 20;
  const std::string upload = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                             std::to_string(kUploadBytes) + "\r\n\r\n" +
                             std::string(kUploadBytes, 'x');
  early_peer peer(*this, "HTTP/1.1 200 OK\r\n\r\npart");
  client subject(loop, peer.address());
  collecting_sink sink;
  const auto call = subject.Send(upload, false, {}, sink);
  RunUntil([&] { return sink.body == "part"; });
  peer.Close(reset);
  RunUntil([&] { return sink.done(); });
  BOOST_TEST(!sink.ended);
  BOOST_TEST((sink.failure == call_failure::broken));
}

}  // namespace
}  // namespace jasminepath::http
