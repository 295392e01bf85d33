#ifndef JASMINEPATH_CONFIG_SITE_LOADER_H_
#define JASMINEPATH_CONFIG_SITE_LOADER_H_

#include <string>
#include <vector>

#include "jasminepath/base/result.h"
#include "jasminepath/config/configuration.h"
#include "jasminepath/config/fault.h"

namespace jasminepath::config {

// The contents of a site's directory.
struct site {
  // The checked configuration; its version is 0 until it is published.
  configuration compiled;
  // "ip:port" of the platform, or empty if site.json has none.
  std::string platform_address;

  friend bool operator==(const site&, const site&) = default;
};

// The text of a site's file. The name is only used in faults.
struct site_file {
  std::string name;
  std::string text;

  friend bool operator==(const site_file&, const site_file&) = default;
};

// Checks and compiles the text of `site.json` and of service files.
result<site, fault_list> ParseSite(const site_file& site_json,
                                   const std::vector<site_file>& services);

// Reads `site.json` and every `*.service.json` below `directory`, and checks
// each file and the references between them. Returns all faults at once.
result<site, fault_list> LoadSite(const std::string& directory);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SITE_LOADER_H_
