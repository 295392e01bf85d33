#ifndef JASMINEPATH_STANDIN_LISTEN_OPTIONS_H_
#define JASMINEPATH_STANDIN_LISTEN_OPTIONS_H_

#include <cstdint>
#include <string>

namespace jasminepath::standin {

// The listening address and connection limit of a stand-in.
struct listen_options {
  std::string host = "127.0.0.1";
  // 0 selects a free port.
  uint16_t port = 0;
  int max_connections = 1024;

  friend bool operator==(const listen_options&,
                         const listen_options&) = default;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_LISTEN_OPTIONS_H_
