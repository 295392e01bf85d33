#include "socket_closer.h"

#include <thread>

namespace jasminepath::mesh {

void CloseInBackground(nng_socket socket) {
  std::thread([socket] { nng_close(socket); }).detach();
}

}  // namespace jasminepath::mesh
