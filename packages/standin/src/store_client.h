#ifndef JASMINEPATH_STANDIN_STORE_CLIENT_H_
#define JASMINEPATH_STANDIN_STORE_CLIENT_H_

#include <cstdint>
#include <string>

#include "engine_residents.h"

namespace jasminepath::standin {

// Asks the platform stand-in's weight store about loads. A store that does not
// answer counts as one that is not yet done.
class store_client {
 public:
  store_client(std::string host, uint16_t port, std::string load_prefix);

  // Begins the load if the store does not know it; true once it is complete.
  bool IsComplete(const pending_load& load) const;

 private:
  std::string host_;
  uint16_t port_;
  // Keeps the loads of several engines apart.
  std::string load_prefix_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_STORE_CLIENT_H_
