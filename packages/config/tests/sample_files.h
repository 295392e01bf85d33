#ifndef JASMINEPATH_CONFIG_TESTS_SAMPLE_FILES_H_
#define JASMINEPATH_CONFIG_TESTS_SAMPLE_FILES_H_

#include <string>

namespace jasminepath::config {

// Valid files. Each test case changes one of them in one place.
inline constexpr char kSampleSite[] = R"({
  "site": "threadwell", "platform_address": "127.0.0.1:7000",
  "teams": [{"id": "care", "rate_per_second": 100, "burst": 400, "weight": 2},
            {"id": "shop", "rate_per_second": 50, "burst": 100}],
  "objectives": [{"team": "care", "service": "assistant", "target": 0.98,
                  "first_byte_ms": 4000}],
  "weights": {"cold_start_second": 4, "idle_accelerator_hour": 1.5},
  "weight_store": {"full_speed_loads": 4, "full_speed_adapter_loads": 32,
                   "loads_per_second": 1.5}
})";

inline constexpr char kSampleModelService[] = R"({
  "id": "assistant", "kind": "model", "teams": ["care"], "deadline_ms": 30000,
  "endpoints": [{"id": "engine-1", "vm": "gpu-1", "zone": "mids-a",
                 "address": "10.0.0.1:8000", "memory_bytes": 1000,
                 "accelerators": 2, "honours_fencing": true}],
  "models": [{"id": "pattern", "version": "v1", "weights_bytes": 500,
              "cache_reserve_bytes": 100, "remote_load_ms": 9000,
              "max_replicas": 2,
              "adapters": [{"id": "braid", "size_bytes": 7}]}]
})";

inline constexpr char kSamplePlainService[] = R"({
  "id": "orders", "kind": "plain",
  "endpoints": [{"id": "order-1", "vm": "app-1", "zone": "mids-a",
                 "address": "10.0.0.9:8000"}],
  "routes": [{"method": "POST", "path_prefix": "/orders"},
             {"method": "GET", "path_prefix": "/stock", "idempotent": true,
              "open": true, "cost": 0, "deadline_ms": 2000}]
})";

inline constexpr char kSampleSettings[] = R"({
  "vm": "entry-1", "zone": "mids-a", "region": "mids",
  "caller_listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0",
  "mesh_listen": "127.0.0.1:0", "platform_address": "127.0.0.1:7000",
  "seed_peers": ["127.0.0.1:7101"],
  "operator_token_sha256":
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
  "log_level": "debug", "log_file": "node.log", "port_file": "ports.json",
  "tls": {"certificate_file": "cert.pem", "key_file": "key.pem"},
  "limits": {"max_connections": 100, "worker_threads": 50, "lame_duck_ms": 0}
})";

// Replaces the first `from` in `text` by `to`. Returns an error text if `from`
// does not occur.
inline std::string ReplaceFirst(std::string text,
                                const std::string& from,
                                const std::string& to) {
  const std::size_t at = text.find(from);
  return at == std::string::npos ? "no such text: " + from
                                 : text.replace(at, from.size(), to);
}

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_TESTS_SAMPLE_FILES_H_
