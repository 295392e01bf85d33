#ifndef JASMINEPATH_MESH_SOCKET_CLOSER_H_
#define JASMINEPATH_MESH_SOCKET_CLOSER_H_

#include <nng/nng.h>

namespace jasminepath::mesh {

// Closes the socket on a thread of its own. nng_close() of nng 1.5 sometimes
// never returns while connections come and go, and must not hold up the thread
// that changes links or stops the node. Nothing may use the socket afterwards.
void CloseInBackground(nng_socket socket);

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_SOCKET_CLOSER_H_
