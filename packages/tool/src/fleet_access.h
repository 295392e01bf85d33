#ifndef JASMINEPATH_TOOL_SRC_FLEET_ACCESS_H_
#define JASMINEPATH_TOOL_SRC_FLEET_ACCESS_H_

#include <string>

#include "command_options.h"
#include "jasminepath/platform/platform_client.h"
#include "jasminepath/tool/admin_client.h"
#include "jasminepath/tool/fact_publisher.h"
#include "jasminepath/tool/key_actions.h"

namespace jasminepath::tool {

// Sleeps between two commit attempts.
struct retry_pause {
  void operator()() const;
};

using platform_publisher = fact_publisher<platform::platform_client,
                                          platform::platform_client,
                                          admin_client,
                                          retry_pause>;
using platform_key_actions =
    key_actions<platform::platform_client, platform_publisher>;

// Clients of the platform and of the nodes' administration interface,
// configured by the command's options.
class fleet_access {
 public:
  fleet_access(const std::string& platform_address,
               const command_options& options);

  platform::platform_client& platform() { return platform_; }
  const admin_client& admin() const { return admin_; }
  platform_publisher& publisher() { return publisher_; }

 private:
  platform::platform_client platform_;
  admin_client admin_;
  platform_publisher publisher_;
};

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_SRC_FLEET_ACCESS_H_
