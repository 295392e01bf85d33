#ifndef JASMINEPATH_MESH_PULL_LISTENER_H_
#define JASMINEPATH_MESH_PULL_LISTENER_H_

#include <nng/nng.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "jasminepath/base/result.h"
#include "jasminepath/mesh/link_set.h"

namespace jasminepath::mesh {

// The listening socket of an instance. Calls `on_message` for each incoming
// message, one at a time, on a thread of the messaging library.
class pull_listener {
 public:
  using message_handler = std::function<void(std::string_view bytes)>;

  static result<std::unique_ptr<pull_listener>, mesh_error> Listen(
      const std::string& address,
      message_handler on_message);

  pull_listener(const pull_listener&) = delete;
  pull_listener& operator=(const pull_listener&) = delete;
  // Waits for a running handler. No handler is called afterwards.
  ~pull_listener();

  // "ip:port" with the bound port.
  const std::string& address() const { return address_; }

 private:
  explicit pull_listener(message_handler on_message);

  static void OnReceived(void* self);
  mesh_error Open(const std::string& address, bool& opened);
  void ReceiveNext();

  message_handler on_message_;
  std::string address_;
  nng_listener listener_ = NNG_LISTENER_INITIALIZER;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_aio* aio_ = nullptr;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_PULL_LISTENER_H_
