// HTTP/1.1, JSON and base64 for the stand-ins of the review: blocking sockets,
// a thread for each connection. Only what the users' pages need.
#ifndef REVIEW_STAGE_3_WIRE_H_
#define REVIEW_STAGE_3_WIRE_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using steady = std::chrono::steady_clock;

inline const steady::time_point kProcessStart = steady::now();

// Milliseconds since the start of this process.
inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() -
                                                               kProcessStart)
      .count();
}

inline void SleepMs(int64_t ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct http_message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0)
        return value;
    }
    return "";
  }
  // The second word of the first line: a request's target, an answer's status.
  std::string SecondWord() const {
    const auto begin = first_line.find(' ');
    if (begin == std::string::npos)
      return "";
    const auto end = first_line.find(' ', begin + 1);
    return first_line.substr(begin + 1,
                             end == std::string::npos ? end : end - begin - 1);
  }
  std::string Method() const {
    return first_line.substr(0, first_line.find(' '));
  }
};

// A connection with the bytes that were read ahead.
class channel {
 public:
  explicit channel(int fd) : fd_(fd) {
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  }
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;
  ~channel() { close(fd_); }

  int fd() const { return fd_; }

  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads one message with its whole body until `deadline_ms` (NowMs()).
  bool Read(http_message& out, int64_t deadline_ms) {
    out = {};
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline_ms))
        return false;
    }
    const std::string head = buffer_.substr(0, head_end);
    buffer_.erase(0, head_end + 4);
    std::size_t line_end = head.find("\r\n");
    out.first_line = head.substr(0, line_end);
    while (line_end != std::string::npos) {
      const std::size_t begin = line_end + 2;
      line_end = head.find("\r\n", begin);
      const std::string line = head.substr(
          begin, line_end == std::string::npos ? line_end : line_end - begin);
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      out.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    if (strcasecmp(out.Header("Transfer-Encoding").c_str(), "chunked") == 0)
      return ReadChunks(out, deadline_ms);
    const std::string length = out.Header("Content-Length");
    const std::size_t size =
        length.empty() ? 0 : std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill(deadline_ms))
        return false;
    }
    out.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool Fill(int64_t deadline_ms) {
    const int64_t left = deadline_ms - NowMs();
    if (left <= 0)
      return false;
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  bool ReadChunks(http_message& out, int64_t deadline_ms) {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(deadline_ms))
          return false;
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill(deadline_ms))
          return false;
      }
      out.body.append(buffer_, line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a connected socket, or -1.
inline int Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0)
    return fd;
  if (fd >= 0)
    close(fd);
  return -1;
}

// Accepts connections on a free loopback port and serves each in a thread.
class listener {
 public:
  // The handler answers one request; false closes the connection.
  using handler = std::function<bool(channel&, const http_message&)>;

  listener(const std::string& ip, handler handle)
      : ip_(ip), handle_(std::move(handle)) {
    Open();
  }

  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

  // Listens at the port it had, or at a free one.
  void Open() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = AddressOf(ip_, port_);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(fd, 512) != 0)
      std::abort();
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
    {
      const std::lock_guard lock(mutex_);
      fd_ = fd;
    }
    std::thread([this, fd] { Accept(fd); }).detach();
  }

  // Stops listening and ends all connections, as the end of a process does.
  void Close() {
    const std::lock_guard lock(mutex_);
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    fd_ = -1;
    for (const int fd : connections_)
      shutdown(fd, SHUT_RDWR);
  }

 private:
  void Accept(int listening) {
    while (true) {
      const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      {
        const std::lock_guard lock(mutex_);
        if (fd_ != listening) {
          if (fd >= 0)
            close(fd);
          return;
        }
        if (fd >= 0)
          connections_.insert(fd);
      }
      if (fd < 0) {
        SleepMs(5);
        continue;
      }
      std::thread([this, fd] {
        channel connection(fd);
        http_message request;
        while (connection.Read(request, NowMs() + 60000)) {
          if (!handle_(connection, request))
            break;
        }
        const std::lock_guard lock(mutex_);
        connections_.erase(fd);
      }).detach();
    }
  }

  std::string ip_;
  handler handle_;
  std::mutex mutex_;
  int fd_ = -1;
  int port_ = 0;
  std::set<int> connections_;
};

inline std::string Answer(int status,
                          const std::string& body,
                          const std::string& more_headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + more_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A JSON value; numbers are integers or doubles kept as text.
struct json {
  enum class type { null, flag, number, text, list, object };
  type kind = type::null;
  std::string text;
  std::vector<json> items;
  std::map<std::string, json> members;

  const json* Find(const std::string& name) const {
    const auto found = members.find(name);
    return found == members.end() ? nullptr : &found->second;
  }
  std::string Text(const std::string& name) const {
    const json* found = Find(name);
    return found != nullptr && found->kind == type::text ? found->text : "";
  }
  std::optional<int64_t> Number(const std::string& name) const {
    const json* found = Find(name);
    if (found == nullptr || found->kind != type::number)
      return std::nullopt;
    return std::strtoll(found->text.c_str(), nullptr, 10);
  }
  const std::vector<json>& List(const std::string& name) const {
    static const std::vector<json> kNone;
    const json* found = Find(name);
    return found != nullptr ? found->items : kNone;
  }
};

class json_reader {
 public:
  explicit json_reader(const std::string& text) : text_(text) {}

  json Value() {
    Skip();
    json out;
    const char c = Peek();
    if (c == '{') {
      out.kind = json::type::object;
      ++at_;
      while (Skip(), Peek() != '}' && at_ < text_.size()) {
        const std::string name = Text();
        Skip();
        ++at_;  // The colon.
        out.members[name] = Value();
        Skip();
        if (Peek() == ',')
          ++at_;
      }
      ++at_;
    } else if (c == '[') {
      out.kind = json::type::list;
      ++at_;
      while (Skip(), Peek() != ']' && at_ < text_.size()) {
        out.items.push_back(Value());
        Skip();
        if (Peek() == ',')
          ++at_;
      }
      ++at_;
    } else if (c == '"') {
      out.kind = json::type::text;
      out.text = Text();
    } else {
      const std::size_t begin = at_;
      while (at_ < text_.size() && text_.find_first_of(",]} \n", at_) != at_)
        ++at_;
      out.text = text_.substr(begin, at_ - begin);
      out.kind = out.text == "null" ? json::type::null
                 : out.text == "true" || out.text == "false"
                     ? json::type::flag
                     : json::type::number;
    }
    return out;
  }

 private:
  char Peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  void Skip() {
    while (at_ < text_.size() && (text_[at_] == ' ' || text_[at_] == '\n'))
      ++at_;
  }
  std::string Text() {
    std::string out;
    ++at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (text_[at_] == '\\')
        ++at_;
      out += text_[at_++];
    }
    ++at_;
    return out;
  }

  const std::string& text_;
  std::size_t at_ = 0;
};

inline constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string ToBase64(const std::string& bytes) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : bytes) {
    bits = bits << 8 | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kBase64[bits >> count & 63];
    }
  }
  if (count > 0)
    out += kBase64[bits << (6 - count) & 63];
  while (out.size() % 4 != 0)
    out += '=';
  return out;
}

inline std::string FromBase64(const std::string& text) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char* const found = c == '=' ? nullptr : strchr(kBase64, c);
    if (found == nullptr || c == '\0')
      continue;
    bits = bits << 6 | static_cast<uint32_t>(found - kBase64);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}

// The value of a query parameter with %XX decoded.
inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      std::string out;
      for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
        if (pair[i] == '%' && i + 2 < pair.size()) {
          out += static_cast<char>(
              std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
          i += 2;
        } else {
          out += pair[i];
        }
      }
      return out;
    }
    at = end;
  }
  return "";
}

}  // namespace stage

#endif  // REVIEW_STAGE_3_WIRE_H_
