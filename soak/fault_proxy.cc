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

constexpr std::size_t kPieceBytes = 16384;
// How often a held piece looks whether the cut has ended.
constexpr duration kHoldCheck = Milliseconds(10);

std::size_t IndexOf(direction way) {
  return static_cast<std::size_t>(way);
}

void Reset(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::socket::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// One connection and its twin to the target.
class fault_proxy::relay : public std::enable_shared_from_this<relay> {
 public:
  relay(http::event_loop& loop,
        tcp::socket client,
        std::shared_ptr<conditions> present)
      : conditions_(std::move(present)),
        sockets_{tcp::socket(loop), std::move(client)},
        pipes_{pipe(loop), pipe(loop)} {}

  void Start(const tcp::endpoint& target, std::function<void()> ended) {
    ended_ = std::move(ended);
    sockets_[IndexOf(direction::to_target)].async_connect(
        target, [self = shared_from_this()](boost::system::error_code error) {
          if (error)
            return self->End();
          self->Read(direction::to_target);
          self->Read(direction::to_client);
        });
  }

  void Silence() { is_silent_ = true; }

  void End() {
    if (!ended_)
      return;
    for (tcp::socket& socket : sockets_)
      Reset(socket);
    for (pipe& each : pipes_)
      each.hold.Cancel();
    std::exchange(ended_, nullptr)();
  }

 private:
  // Bytes on their way in one direction.
  struct pipe {
    explicit pipe(http::event_loop& loop) : hold(loop) {}

    std::array<char, kPieceBytes> bytes;
    http::timer hold;
  };

  void Read(direction way) {
    tcp::socket& source = sockets_[1 - IndexOf(way)];
    source.async_read_some(
        boost::asio::buffer(pipes_[IndexOf(way)].bytes),
        [self = shared_from_this(), way](boost::system::error_code error,
                                         std::size_t length) {
          if (error)
            return self->OnSourceEnd(way, error);
          self->Hold(way, length, self->conditions_->delay);
        });
  }

  // The end of one direction is passed on, as it may be a half-close.
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

  void Hold(direction way, std::size_t length, duration delay) {
    const std::size_t index = IndexOf(way);
    const bool blocked = is_silent_ || conditions_->is_cut[index];
    if (!blocked && delay == duration::zero())
      return Write(way, length);
    pipes_[index].hold.Start(blocked ? kHoldCheck : delay,
                             [self = shared_from_this(), way, length] {
                               self->Hold(way, length, duration::zero());
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
  // By the direction that ends there.
  std::array<tcp::socket, 2> sockets_;
  std::array<pipe, 2> pipes_;
  std::function<void()> ended_;
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
  ResetOpen();
}

std::string fault_proxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void fault_proxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, tcp::socket client) {
        if (error == boost::asio::error::operation_aborted)
          return;
        if (error || conditions_->refuses) {
          if (!error)
            Reset(client);
          return Accept();
        }
        const auto opened =
            std::make_shared<relay>(loop_, std::move(client), conditions_);
        relays_.insert(opened);
        opened->Start(target_, [this, weak = std::weak_ptr<relay>(opened)] {
          relays_.erase(weak.lock());
        });
        Accept();
      });
}

void fault_proxy::SetDelay(duration delay) {
  conditions_->delay = delay;
}

void fault_proxy::Cut(direction way) {
  conditions_->is_cut[IndexOf(way)] = true;
}

void fault_proxy::Refuse() {
  conditions_->refuses = true;
}

void fault_proxy::ResetOpen() {
  const auto open = relays_;
  for (const auto& each : open)
    each->End();
}

void fault_proxy::SilenceOpen() {
  for (const auto& each : relays_)
    each->Silence();
}

void fault_proxy::Heal() {
  *conditions_ = conditions();
}

}  // namespace jasminepath::soak
