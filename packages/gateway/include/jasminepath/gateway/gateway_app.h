#ifndef JASMINEPATH_GATEWAY_GATEWAY_APP_H_
#define JASMINEPATH_GATEWAY_GATEWAY_APP_H_

#include <functional>
#include <memory>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/gateway/gateway_settings.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Reads the settings again. The error describes what is invalid.
using settings_reader = std::function<decoded<gateway_settings>()>;

// One gateway node: caller connections, routing decisions, the store, peers and
// orders to engines, all on one event loop. State that has to survive a restart
// is kept in the platform's store.
class gateway_app {
 public:
  // `codec` and `reader` must outlive the app. The error names the address that
  // could not be opened.
  static result<std::unique_ptr<gateway_app>, std::string> MakeGatewayApp(
      const gateway_settings& settings,
      const protocol_codec& codec,
      settings_reader reader);
  ~gateway_app();

  // Serves until a planned stop completes. SIGTERM, SIGINT and RequestStop()
  // begin the stop; SIGHUP reloads the settings.
  void Run();

  // Begins a planned stop. Must be called on the event loop's thread.
  void RequestStop();

  // Bound port, for tests that listen on an ephemeral one.
  unsigned short caller_port() const;

 private:
  class implementation;
  explicit gateway_app(std::unique_ptr<implementation> node);

  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_GATEWAY_APP_H_
