#ifndef JASMINEPATH_CONFIG_NODE_SETTINGS_H_
#define JASMINEPATH_CONFIG_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/ids.h"
#include "jasminepath/base/result.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/fault.h"

namespace jasminepath::config {

// Limits on the resources that callers can use on one node.
struct node_limits {
  // Maximum open connections of callers; further ones are refused.
  int64_t max_connections = 2048;
  // Maximum concurrent calls; each runs on its own thread.
  int64_t worker_threads = 640;
  bytes max_header_bytes = bytes(32 * 1024);
  bytes max_body_bytes = bytes(8 * 1024 * 1024);
  // From the first byte of a request to the end of its header section.
  duration header_timeout = Seconds(10);
  // From the end of the header section to the end of the body.
  duration body_timeout = Seconds(30);
  // A caller's connection is closed after this time without a request.
  duration idle_timeout = Seconds(60);
  // A pooled connection to an idempotent endpoint is closed after this idle
  // time.
  duration endpoint_idle_timeout = Seconds(15);
  // How long a stopping node reports that it is not ready before it stops
  // accepting connections.
  duration lame_duck = Seconds(5);
  // Maximum tokens to generate if the request sets no maximum.
  int64_t default_max_tokens = 256;

  friend bool operator==(const node_limits&, const node_limits&) = default;
};

// PEM files for TLS connections of callers.
struct tls_files {
  std::string certificate_file;
  std::string key_file;

  friend bool operator==(const tls_files&, const tls_files&) = default;
};

// Minimum level of the events in the node's log.
enum class log_level { debug, info, warning, error };

// Returns the name used in settings: "debug", "info", "warning" or "error".
std::string_view ToString(log_level level);

// Settings of one node process. Addresses are "ip:port"; for a listening port
// of 0 the system chooses a free port.
struct node_settings {
  vm_id vm;
  zone_id zone;
  region_id region;
  // Addresses at which callers, operators and other nodes connect.
  std::string caller_listen;
  std::string admin_listen;
  std::string mesh_listen;
  std::string platform_address;
  // Mesh addresses that the node dials until the platform has returned the list
  // of nodes.
  std::vector<std::string> seed_peers;
  // SHA-256 digest of the operators' token in lower-case hexadecimal.
  std::string operator_token_sha256;
  log_level level = log_level::info;
  // If not set, the log goes to standard error.
  std::optional<std::string> log_file;
  // If not set, callers connect with plain HTTP.
  std::optional<tls_files> tls;
  // The node writes its bound ports to this file: {"caller", "admin", "mesh"}.
  std::optional<std::string> port_file;
  node_limits limits;

  friend bool operator==(const node_settings&, const node_settings&) = default;
};

// Parses and checks the text of a settings file. `file` is only used in faults.
result<node_settings, fault_list> ParseNodeSettings(const std::string& file,
                                                    const std::string& text);

// Reads and checks a settings file. An unreadable file is reported as a fault
// at
// "$".
result<node_settings, fault_list> LoadNodeSettings(const std::string& path);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_NODE_SETTINGS_H_
