#ifndef JASMINEPATH_GATEWAY_GATEWAY_APP_H_
#define JASMINEPATH_GATEWAY_GATEWAY_APP_H_

#include <functional>
#include <memory>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/gateway/gateway_settings.h"
#include "jasminepath/gateway/ports.h"

namespace jasminepath::gateway {

// Reads the settings again; the error says what is wrong with them.
using settings_reader = std::function<decoded<gateway_settings>()>;

// One node: callers' connections, decisions, the store, peers and orders, all
// on one event loop. Everything it needs to last lives in the platform's store.
class gateway_app {
 public:
  // `speech` and `reader` outlive the app. The error says what could not be
  // opened.
  static result<std::unique_ptr<gateway_app>, std::string> MakeGatewayApp(
      const gateway_settings& settings,
      const dialect& speech,
      settings_reader reader);
  ~gateway_app();

  // Serves until a planned stop is complete: SIGTERM or SIGINT, or
  // RequestStop(). SIGHUP reads the settings again.
  void Run();

  // Begins a planned stop. Only from the loop's thread.
  void RequestStop();

  // Ports in use, for tests that listen at free ones.
  unsigned short caller_port() const;

 private:
  class implementation;
  explicit gateway_app(std::unique_ptr<implementation> node);

  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::gateway

#endif  // JASMINEPATH_GATEWAY_GATEWAY_APP_H_
