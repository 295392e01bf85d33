#include "deflate.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>

#include <array>
#include <sstream>

namespace jasminepath::gateway {
namespace {

// The fastest level: speed matters more than size on VMs with a tenth of a
// core.
constexpr int kLevel = 1;
constexpr std::size_t kReadBytes = 4096;

}  // namespace

std::string Deflate(std::string_view bytes) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflating(
      out, Poco::DeflatingStreamBuf::STREAM_ZLIB, kLevel);
  deflating.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  deflating.close();
  return out.str();
}

std::optional<std::string> Inflate(std::string_view bytes,
                                   std::size_t max_bytes) {
  Poco::MemoryInputStream in(bytes.data(),
                             static_cast<std::streamsize>(bytes.size()));
  Poco::InflatingInputStream inflating(in);
  std::string out;
  std::array<char, kReadBytes> piece;
  while (inflating.good()) {
    inflating.read(piece.data(), piece.size());
    out.append(piece.data(), static_cast<std::size_t>(inflating.gcount()));
    if (out.size() > max_bytes)
      return std::nullopt;
  }
  // The stream goes bad on truncated or invalid data.
  if (inflating.bad() || out.empty())
    return std::nullopt;
  return out;
}

}  // namespace jasminepath::gateway
