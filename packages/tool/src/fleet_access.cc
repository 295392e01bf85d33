#include "fleet_access.h"

#include <thread>

namespace jasminepath::tool {

namespace {

constexpr duration kRetryPause = Milliseconds(200);
constexpr duration kAdminTimeout = Milliseconds(1500);

push_limits MakePushLimits(const command_options& options) {
  push_limits limits;
  limits.timeout = options.push_timeout;
  return limits;
}

}  // namespace

void retry_pause::operator()() const {
  std::this_thread::sleep_for(kRetryPause);
}

fleet_access::fleet_access(const std::string& platform_address,
                           const command_options& options)
    : platform_(platform_address, platform::client_timeouts()),
      admin_(options.operator_token, kAdminTimeout),
      publisher_(platform_,
                 platform_,
                 admin_,
                 MakePushLimits(options),
                 retry_pause()) {}

}  // namespace jasminepath::tool
