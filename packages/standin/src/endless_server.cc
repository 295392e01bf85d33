#include "jasminepath/standin/endless_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <utility>

namespace jasminepath::standin {
namespace {

constexpr std::size_t kBlockBytes = std::size_t{16} << 10;
constexpr char kIdPlaceholder[] = "@ID";
constexpr char kIdField[] = "X-Request-Id: ";

std::string ReceiveHead(Poco::Net::StreamSocket& connection) {
  std::string head;
  std::array<char, 4096> bytes;
  while (head.find("\r\n\r\n") == std::string::npos) {
    const int count =
        connection.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (count <= 0)
      break;
    head.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return head;
}

std::string ValueOf(const std::string& head, const std::string& field) {
  const std::size_t start = head.find(field);
  if (start == std::string::npos)
    return "";
  const std::size_t first = start + field.size();
  return head.substr(first, head.find("\r\n", first) - first);
}

}  // namespace

endless_server::endless_server(std::string beginning, const std::string& piece)
    : beginning_(std::move(beginning)),
      socket_(Poco::Net::SocketAddress("127.0.0.1", 0)) {
  while (pieces_.size() < kBlockBytes)
    pieces_ += piece;
  thread_ = std::thread([this] { Serve(); });
}

endless_server::~endless_server() {
  WaitForEnd();
}

std::size_t endless_server::WaitForEnd() {
  if (thread_.joinable())
    thread_.join();
  return sent_bytes_;
}

void endless_server::Serve() {
  Poco::Net::StreamSocket connection = socket_.acceptConnection();
  try {
    const std::string id = ValueOf(ReceiveHead(connection), kIdField);
    const std::size_t at = beginning_.find(kIdPlaceholder);
    if (at != std::string::npos)
      beginning_.replace(at, sizeof(kIdPlaceholder) - 1, id);
    connection.sendBytes(beginning_.data(),
                         static_cast<int>(beginning_.size()));
    while (sent_bytes_ < kMaxSentBytes)
      sent_bytes_ += static_cast<std::size_t>(connection.sendBytes(
          pieces_.data(), static_cast<int>(pieces_.size())));
  } catch (const Poco::Exception&) {
    // The client has closed the connection.
  }
}

}  // namespace jasminepath::standin
