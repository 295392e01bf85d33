#include "fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <utility>

namespace jasminepath::soak {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kBufferBytes = 16384;
// Interval at which withheld data is checked for the end of the blockage.
constexpr duration kBlockedRetryInterval = Milliseconds(10);

std::size_t IndexOf(direction way) {
  return static_cast<std::size_t>(way);
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::socket::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// A client connection and the corresponding connection to the target.
class fault_proxy::relay : public std::enable_shared_from_this<relay> {
 public:
  relay(http::event_loop& loop,
        tcp::socket client,
        std::shared_ptr<conditions> current)
      : conditions_(std::move(current)),
        sockets_{tcp::socket(loop), std::move(client)},
        pipes_{pipe(loop), pipe(loop)} {}

  void Start(const tcp::endpoint& target, std::function<void()> on_end) {
    on_end_ = std::move(on_end);
    sockets_[IndexOf(direction::to_target)].async_connect(
        target, [self = shared_from_this()](boost::system::error_code error) {
          if (error)
            return self->End();
          self->Read(direction::to_target);
          self->Read(direction::to_client);
        });
  }

  void Silence() { is_silent_ = true; }
  bool is_silent() const { return is_silent_; }

  void End() {
    if (!on_end_)
      return;
    for (tcp::socket& socket : sockets_)
      Reset(socket);
    for (pipe& each : pipes_)
      each.timer.Cancel();
    std::exchange(on_end_, nullptr)();
  }

 private:
  // Data in transit in one direction.
  struct pipe {
    explicit pipe(http::event_loop& loop) : timer(loop) {}

    std::array<char, kBufferBytes> bytes;
    http::timer timer;
  };

  void Read(direction way) {
    tcp::socket& source = sockets_[1 - IndexOf(way)];
    source.async_read_some(
        boost::asio::buffer(pipes_[IndexOf(way)].bytes),
        [self = shared_from_this(), way](boost::system::error_code error,
                                         std::size_t length) {
          if (error)
            return self->OnSourceEnd(way, error);
          self->Forward(way, length, self->conditions_->delay);
        });
  }

  // Forwards the end of one direction only, because it may be a half-close.
  void OnSourceEnd(direction way, boost::system::error_code error) {
    if (is_silent_)
      return;
    boost::system::error_code failed;
    if (error == boost::asio::error::eof)
      sockets_[IndexOf(way)].shutdown(tcp::socket::shutdown_send, failed);
    ++ended_directions_;
    if (error != boost::asio::error::eof || failed || ended_directions_ == 2)
      End();
  }

  void Forward(direction way, std::size_t length, duration delay) {
    const std::size_t index = IndexOf(way);
    const bool is_blocked = is_silent_ || conditions_->is_blocked[index];
    if (!is_blocked && delay == duration::zero())
      return Write(way, length);
    pipes_[index].timer.Start(is_blocked ? kBlockedRetryInterval : delay,
                              [self = shared_from_this(), way, length] {
                                self->Forward(way, length, duration::zero());
                              });
  }

  void Write(direction way, std::size_t length) {
    const std::size_t index = IndexOf(way);
    boost::asio::async_write(
        sockets_[index],
        boost::asio::buffer(pipes_[index].bytes.data(), length),
        [self = shared_from_this(), way](boost::system::error_code error,
                                         std::size_t) {
          if (error)
            return self->End();
          self->Read(way);
        });
  }

  std::shared_ptr<conditions> conditions_;
  // Indexed by the direction whose data is written to the socket.
  std::array<tcp::socket, 2> sockets_;
  std::array<pipe, 2> pipes_;
  std::function<void()> on_end_;
  int ended_directions_ = 0;
  bool is_silent_ = false;
};

fault_proxy::fault_proxy(http::event_loop& loop, tcp::endpoint target)
    : loop_(loop),
      target_(std::move(target)),
      acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
      conditions_(std::make_shared<conditions>()) {
  Accept();
}

fault_proxy::~fault_proxy() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  ResetOpenConnections();
}

std::string fault_proxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void fault_proxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket client) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (error || conditions_->is_refusing) {
          if (!error)
            Reset(client);
          return Accept();
        }
        const auto accepted =
            std::make_shared<relay>(loop_, std::move(client), conditions_);
        relays_.insert(accepted);
        accepted->Start(target_, [this, weak = std::weak_ptr<relay>(accepted)] {
          relays_.erase(weak.lock());
        });
        Accept();
      });
}

void fault_proxy::SetDelay(duration delay) {
  conditions_->delay = delay;
}

void fault_proxy::Block(direction way) {
  conditions_->is_blocked[IndexOf(way)] = true;
}

void fault_proxy::RefuseNewConnections() {
  conditions_->is_refusing = true;
}

void fault_proxy::ResetOpenConnections() {
  const auto open = relays_;
  for (const auto& each : open)
    each->End();
}

void fault_proxy::SilenceOpenConnections() {
  for (const auto& each : relays_)
    each->Silence();
}

void fault_proxy::ResetSilencedConnections() {
  const auto open = relays_;
  for (const auto& each : open) {
    if (each->is_silent())
      each->End();
  }
}

void fault_proxy::ClearFaults() {
  *conditions_ = conditions();
}

}  // namespace jasminepath::soak
