#ifndef JASMINEPATH_SOAK_FAULT_PROXY_H_
#define JASMINEPATH_SOAK_FAULT_PROXY_H_

#include <array>
#include <memory>
#include <set>
#include <string>

#include "jasminepath/http/event_loop.h"

namespace jasminepath::soak {

// Way of the bytes through a proxy.
enum class direction { to_target, to_client };

// A loopback proxy for TCP connections to one target, which harms them on
// command.
class fault_proxy {
 public:
  // Listens at a free port of loopback. Throws if there is none.
  fault_proxy(http::event_loop& loop, boost::asio::ip::tcp::endpoint target);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  // IP:PORT to connect to.
  std::string address() const;

  // Holds every piece back for this long, in each direction.
  void SetDelay(duration delay);
  // Passes nothing on in this direction, for open and new connections, until
  // Heal(). What was held back follows then.
  void Cut(direction way);
  // Resets new connections until Heal().
  void Refuse();
  // Resets the open connections.
  void ResetOpen();
  // The open connections carry nothing any more, and nobody is told; new ones
  // work.
  void SilenceOpen();
  // Ends delays, cuts and refusals.
  void Heal();

 private:
  class relay;
  struct conditions {
    duration delay{};
    std::array<bool, 2> is_cut{};
    bool refuses = false;
  };

  void Accept();

  http::event_loop& loop_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<conditions> conditions_;
  std::set<std::shared_ptr<relay>> relays_;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_FAULT_PROXY_H_
