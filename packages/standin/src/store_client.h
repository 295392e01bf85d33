#ifndef JASMINEPATH_STANDIN_STORE_CLIENT_H_
#define JASMINEPATH_STANDIN_STORE_CLIENT_H_

#include <cstdint>
#include <string>

#include "resident_models.h"

namespace jasminepath::standin {

// A client of the weight store of the platform stand-in. If the store does not
// answer, loads count as incomplete.
class store_client {
 public:
  store_client(std::string host, uint16_t port, std::string load_prefix);

  // True if the load is complete. Begins the load if the store does not know
  // it.
  bool IsComplete(const pending_load& load) const;

 private:
  std::string host_;
  uint16_t port_;
  // Makes the load ids of several engines distinct.
  std::string load_prefix_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_STORE_CLIENT_H_
