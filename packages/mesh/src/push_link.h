#ifndef JASMINEPATH_MESH_PUSH_LINK_H_
#define JASMINEPATH_MESH_PUSH_LINK_H_

#include <nng/nng.h>

#include <optional>
#include <string>

namespace jasminepath::mesh {

// One outgoing connection with a bounded queue of its own. It dials and redials
// in the background; sending never blocks.
class push_link {
 public:
  // Returns nothing if the library has no resources or the address is bad.
  static std::optional<push_link> Dial(const std::string& address);

  push_link(push_link&& other) noexcept;
  push_link& operator=(push_link&& other) noexcept;
  // Closes the connection; what is queued is lost.
  ~push_link();

  // Queues the bytes, or returns false when the queue is full.
  bool Send(const std::string& bytes);

 private:
  explicit push_link(nng_socket socket) : socket_(socket) {}

  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_PUSH_LINK_H_
