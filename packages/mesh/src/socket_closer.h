#ifndef JASMINEPATH_MESH_SOCKET_CLOSER_H_
#define JASMINEPATH_MESH_SOCKET_CLOSER_H_

#include <nng/nng.h>

namespace jasminepath::mesh {

// Closes the socket on a separate thread. In nng 1.5, nng_close() sometimes
// never returns while connections are being opened and closed, and it must not
// block the thread that changes links or stops the node. The caller must not
// use the socket afterwards.
void CloseInBackground(nng_socket socket);

}  // namespace jasminepath::mesh

#endif  // JASMINEPATH_MESH_SOCKET_CLOSER_H_
