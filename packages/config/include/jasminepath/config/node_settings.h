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

// Bounds on what callers may take from one node.
struct node_limits {
  // Callers' connections open at a time; a further one is refused.
  int64_t max_connections = 2048;
  // Calls that run at a time, each on a thread of its own.
  int64_t worker_threads = 640;
  bytes max_header_bytes = bytes(32 * 1024);
  bytes max_body_bytes = bytes(8 * 1024 * 1024);
  // From the first byte of a request to the end of its head.
  duration header_timeout = Seconds(10);
  // From the end of the head to the end of the body.
  duration body_timeout = Seconds(30);
  // A caller's connection without a request is closed after this.
  duration idle_timeout = Seconds(60);
  // A pooled connection to an idempotent endpoint is closed after this.
  duration endpoint_idle_timeout = Seconds(15);
  // How long a stopping node answers unready before it stops accepting.
  duration lame_duck = Seconds(5);
  // Tokens to generate where the caller sets no maximum.
  int64_t default_max_tokens = 256;

  friend bool operator==(const node_limits&, const node_limits&) = default;
};

// PEM files for TLS towards callers.
struct tls_files {
  std::string certificate_file;
  std::string key_file;

  friend bool operator==(const tls_files&, const tls_files&) = default;
};

// Level of the node's log.
enum class log_level { debug, info, warning, error };

// The name used in settings: "debug", "info", "warning" or "error".
std::string_view ToString(log_level level);

// Settings of one node process. Addresses are "ip:port"; a listening port of 0
// takes a free port.
struct node_settings {
  vm_id vm;
  zone_id zone;
  region_id region;
  // Where callers, operators and other nodes reach this node.
  std::string caller_listen;
  std::string admin_listen;
  std::string mesh_listen;
  std::string platform_address;
  // Mesh addresses tried before the platform has answered.
  std::vector<std::string> seed_peers;
  // SHA-256 of the operators' token in lower-case hexadecimal.
  std::string operator_token_sha256;
  log_level level = log_level::info;
  // Standard error if not set.
  std::optional<std::string> log_file;
  // Plain HTTP towards callers if not set.
  std::optional<tls_files> tls;
  // The node writes its bound ports there: {"caller", "admin", "mesh"}.
  std::optional<std::string> port_file;
  node_limits limits;

  friend bool operator==(const node_settings&, const node_settings&) = default;
};

// Checks the text of a settings file; `file` only names it in faults.
result<node_settings, fault_list> ParseNodeSettings(const std::string& file,
                                                    const std::string& text);

// Reads and checks a settings file; an unreadable file is a fault at "$".
result<node_settings, fault_list> LoadNodeSettings(const std::string& path);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_NODE_SETTINGS_H_
