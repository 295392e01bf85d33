#ifndef JASMINEPATH_MESH_PUSH_LINK_H_
#define JASMINEPATH_MESH_PUSH_LINK_H_

#include <nng/nng.h>

#include <optional>
#include <string>

namespace jasminepath::mesh {

// One outgoing connection with its own bounded send queue. The messaging
// library connects and reconnects in the background; Send() never blocks.
class push_link {
 public:
  // Returns nullopt if the library is out of resources or the address is
  // invalid.
  static std::optional<push_link> Dial(const std::string& address);

  push_link(push_link&& other) noexcept;
  push_link& operator=(push_link&& other) noexcept;
  // Closes the connection; queued messages are lost.
  ~push_link();

  // Queues the bytes. Returns false if the queue is full.
  bool Send(const std::string& bytes);

 private:
  explicit push_link(nng_socket socket) : socket_(socket) {}

  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_PUSH_LINK_H_
