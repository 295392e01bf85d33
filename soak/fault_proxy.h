#ifndef JASMINEPATH_SOAK_FAULT_PROXY_H_
#define JASMINEPATH_SOAK_FAULT_PROXY_H_

#include <array>
#include <memory>
#include <set>
#include <string>

#include "jasminepath/http/event_loop.h"

namespace jasminepath::soak {

// Direction of the bytes through a proxy.
enum class direction { to_target, to_client };

// A loopback TCP proxy for one target that injects connection faults on demand.
class fault_proxy {
 public:
  // Listens on a free loopback port. Throws if there is none.
  fault_proxy(http::event_loop& loop, boost::asio::ip::tcp::endpoint target);
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;
  ~fault_proxy();

  // "IP:PORT" on which the proxy listens.
  std::string address() const;

  // Delays every chunk of data by `delay`, in both directions.
  void SetDelay(duration delay);
  // Forwards nothing in this direction, for open and new connections, until
  // ClearFaults(). The withheld data is forwarded then.
  void Block(direction way);
  // Resets new connections until ClearFaults().
  void RefuseNewConnections();
  // Resets the open connections.
  void ResetOpenConnections();
  // Stops all traffic on the open connections for good without closing them;
  // new connections work.
  void SilenceOpenConnections();
  // Resets the connections that SilenceOpenConnections() has silenced.
  void ResetSilencedConnections();
  // Ends delays, blocked directions and refusals; silenced connections stay
  // silent.
  void ClearFaults();

 private:
  class relay;
  struct conditions {
    duration delay{};
    std::array<bool, 2> is_blocked{};
    bool is_refusing = false;
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
