#ifndef JASMINEPATH_CONFIG_SITE_LOADER_H_
#define JASMINEPATH_CONFIG_SITE_LOADER_H_

#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/config/fault.h"

namespace jasminepath::config {

// What a site's directory says.
struct site {
  // Checked and compiled; its version is 0 until it is published.
  configuration compiled;
  // "ip:port" of the platform, or empty if site.json has none.
  std::string platform_address;

  friend bool operator==(const site&, const site&) = default;
};

// Reads `site.json` and every `*.service.json` below `directory`, checks each
// and all together, and returns all faults at once.
result<site, fault_list> LoadSite(const std::string& directory);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SITE_LOADER_H_
