#include "text_file.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace jasminepath::config {

namespace {

constexpr std::uintmax_t kMaxFileBytes = 16 * 1024 * 1024;

}  // namespace

std::optional<std::string> ReadTextFile(const std::string& path,
                                        fault_collector& faults) {
  std::error_code error;
  const std::uintmax_t size = std::filesystem::file_size(path, error);
  if (error) {
    faults.Add("$", "cannot be read: " + error.message(),
               "give the path of a regular file that this user may read");
    return std::nullopt;
  }
  if (size > kMaxFileBytes) {
    faults.Add("$", "has " + std::to_string(size) + " bytes",
               "reduce the file to at most 16 MiB");
    return std::nullopt;
  }
  std::ifstream stream(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  if (!stream) {
    faults.Add("$", std::string("cannot be read: ") + std::strerror(errno),
               "give the path of a regular file that this user may read");
    return std::nullopt;
  }
  return text;
}

std::optional<json_value> ParseDocument(const std::string& text,
                                        fault_collector& faults) {
  result<json_value, json_error> parsed = ParseJson(text);
  if (!parsed) {
    faults.Add("$", "is not JSON: " + parsed.error().message,
               "write one JSON document");
    return std::nullopt;
  }
  return std::move(parsed).value();
}

}  // namespace jasminepath::config
