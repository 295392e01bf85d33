#include "jasminepath/config/node_settings.h"

#include <algorithm>
#include <array>

#include "object_reader.h"
#include "text_file.h"

namespace jasminepath::config {

namespace {

constexpr std::array<std::string_view, 4> kLogLevelNames = {"debug", "info",
                                                            "warning", "error"};
constexpr std::size_t kSha256HexCharacters = 64;
constexpr int64_t kMaxConnections = 1'000'000;
constexpr int64_t kMaxWorkerThreads = 16'384;
constexpr int64_t kMinHeaderBytes = 1024;
constexpr int64_t kMaxHeaderBytes = 1024 * 1024;
constexpr int64_t kMaxBodyBytes = int64_t{1024} * 1024 * 1024;
constexpr int64_t kMaxTokens = 1'000'000;

bool IsHexDigest(const std::string& text) {
  return text.size() == kSha256HexCharacters &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string ReadTokenDigest(object_reader& reader) {
  constexpr std::string_view kField = "operator_token_sha256";
  std::string digest = reader.String(kField);
  if (!digest.empty() && !IsHexDigest(digest)) {
    reader.Report(kField, "is not a SHA-256 digest",
                  "write the 64 lower-case hexadecimal characters that "
                  "sha256sum prints for the token");
  }
  return digest;
}

node_limits ReadLimits(object_reader& reader) {
  node_limits limits;
  limits.max_connections = reader.Integer(
      "max_connections", limits.max_connections, {1, kMaxConnections});
  limits.worker_threads = reader.Integer(
      "worker_threads", limits.worker_threads, {1, kMaxWorkerThreads});
  limits.max_header_bytes =
      reader.Size("max_header_bytes", limits.max_header_bytes,
                  {kMinHeaderBytes, kMaxHeaderBytes});
  limits.max_body_bytes =
      reader.Size("max_body_bytes", limits.max_body_bytes, {1, kMaxBodyBytes});
  limits.header_timeout =
      reader.Duration("header_timeout_ms", limits.header_timeout);
  limits.body_timeout = reader.Duration("body_timeout_ms", limits.body_timeout);
  limits.idle_timeout = reader.Duration("idle_timeout_ms", limits.idle_timeout);
  limits.endpoint_idle_timeout =
      reader.Duration("endpoint_idle_timeout_ms", limits.endpoint_idle_timeout);
  limits.lame_duck = Milliseconds(reader.Integer(
      "lame_duck_ms", ToMilliseconds(limits.lame_duck), {0, kMaxDurationMs}));
  limits.default_max_tokens = reader.Integer(
      "default_max_tokens", limits.default_max_tokens, {1, kMaxTokens});
  if (limits.worker_threads > limits.max_connections) {
    reader.Report("worker_threads", "is above max_connections",
                  "lower it to at most max_connections");
  }
  return limits;
}

tls_files ReadTls(object_reader& reader) {
  tls_files files;
  files.certificate_file = reader.String("certificate_file");
  files.key_file = reader.String("key_file");
  return files;
}

node_settings ReadSettings(object_reader& reader) {
  node_settings settings;
  settings.vm = vm_id(reader.Name("vm"));
  settings.zone = zone_id(reader.Name("zone"));
  settings.region = region_id(reader.Name("region"));
  settings.caller_listen = reader.ListenAddress("caller_listen");
  settings.admin_listen = reader.ListenAddress("admin_listen");
  settings.mesh_listen = reader.ListenAddress("mesh_listen");
  settings.platform_address = reader.Address("platform_address");
  settings.seed_peers = reader.Addresses("seed_peers");
  settings.operator_token_sha256 = ReadTokenDigest(reader);
  settings.level = static_cast<log_level>(
      reader.Choice("log_level", {kLogLevelNames.begin(), kLogLevelNames.end()},
                    static_cast<std::size_t>(settings.level)));
  settings.log_file = reader.OptionalString("log_file");
  settings.port_file = reader.OptionalString("port_file");
  reader.Object("tls",
                [&](object_reader& tls) { settings.tls = ReadTls(tls); });
  reader.Object("limits", [&](object_reader& limits) {
    settings.limits = ReadLimits(limits);
  });
  reader.Finish();
  return settings;
}

}  // namespace

std::string_view ToString(log_level level) {
  return kLogLevelNames[static_cast<std::size_t>(level)];
}

result<node_settings, fault_list> ParseNodeSettings(const std::string& file,
                                                    const std::string& text) {
  fault_collector faults(file);
  const std::optional<json_value> document = ParseDocument(text, faults);
  if (!document)
    return failure(faults.faults());
  object_reader reader(*document, "$", faults);
  node_settings settings = ReadSettings(reader);
  if (!faults.empty())
    return failure(faults.faults());
  return settings;
}

result<node_settings, fault_list> LoadNodeSettings(const std::string& path) {
  fault_collector faults(path);
  const std::optional<std::string> text = ReadTextFile(path, faults);
  if (!text)
    return failure(faults.faults());
  return ParseNodeSettings(path, *text);
}

}  // namespace jasminepath::config
