#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <stdexcept>

namespace review {
namespace {

constexpr std::size_t kMaxPageRows = 500;
constexpr std::size_t kMaxPageBytes = 1 << 20;
// The store's `historyS`.
constexpr int64_t kHistoryMs = 20000;

bool IsEqual(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool ParseHead(const std::string& text, message& out) {
  std::size_t line_start = 0;
  bool first = true;
  while (line_start < text.size()) {
    const std::size_t end = text.find("\r\n", line_start);
    const std::string line = text.substr(line_start, end - line_start);
    if (first) {
      out.start = line;
      first = false;
    } else if (!line.empty()) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        return false;
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(" \t"));
      out.headers.emplace_back(line.substr(0, colon), value);
    }
    if (end == std::string::npos)
      break;
    line_start = end + 2;
  }
  return !out.start.empty();
}

std::string Decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const std::size_t start = target.find('?');
  if (start == std::string::npos)
    return query;
  std::string rest = target.substr(start + 1);
  while (!rest.empty()) {
    const std::string pair = rest.substr(0, rest.find('&'));
    rest.erase(0, std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos)
      query[pair.substr(0, equals)] = Decode(pair.substr(equals + 1));
  }
  return query;
}

std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + "\"";
}

// Reads the objects of a list of flat JSON objects, as the calls of the store
// carry them.
std::vector<std::map<std::string, std::string>> ObjectsAt(
    const std::string& json,
    const std::string& name) {
  std::vector<std::map<std::string, std::string>> out;
  std::size_t at = json.find("\"" + name + "\"");
  if (at == std::string::npos)
    return out;
  at = json.find('[', at);
  while (at != std::string::npos && at < json.size()) {
    ++at;
    while (at < json.size() && json[at] != '{' && json[at] != ']')
      ++at;
    if (at >= json.size() || json[at] == ']')
      break;
    std::map<std::string, std::string> fields;
    while (at < json.size() && json[at] != '}') {
      const std::size_t key_start = json.find('"', at) + 1;
      const std::size_t key_end = json.find('"', key_start);
      const std::string key = json.substr(key_start, key_end - key_start);
      at = json.find(':', key_end) + 1;
      while (json[at] == ' ')
        ++at;
      std::string value;
      if (json[at] == '"') {
        for (++at; json[at] != '"'; ++at) {
          if (json[at] == '\\')
            ++at;
          value += json[at];
        }
        ++at;
      } else {
        while (json[at] != ',' && json[at] != '}')
          value += json[at++];
      }
      fields[key] = value;
      while (json[at] != ',' && json[at] != '}')
        ++at;
    }
    out.push_back(fields);
  }
  return out;
}

int64_t NumberAt(const std::map<std::string, std::string>& fields,
                 const std::string& name,
                 int64_t fallback) {
  const auto found = fields.find(name);
  return found == fields.end() || found->second.empty()
             ? fallback
             : std::stoll(found->second);
}

std::string TextAt(const std::map<std::string, std::string>& fields,
                   const std::string& name) {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::string AnswerBytes(int status,
                        const std::string& headers,
                        const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The first of `count` ports that are free for TCP. Never returns a port twice,
// and none from the range in which the kernel picks ports for connections.
uint16_t FreePorts(const std::string& ip, int count) {
  constexpr int kFirst = 15000;
  constexpr int kLast = 32000;
  static int next =
      kFirst + static_cast<int>(std::random_device{}() % (kLast - kFirst));
  for (int attempt = 0; attempt < kLast - kFirst; ++attempt) {
    if (next + count > kLast)
      next = kFirst;
    const int first = next;
    bool free = true;
    for (int i = 0; i < count && free; ++i) {
      const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
      const sockaddr_in address =
          AddressOf(ip, static_cast<uint16_t>(first + i));
      free = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0;
      ::close(descriptor);
    }
    next = free ? first + count : first + 1;
    if (free)
      return static_cast<uint16_t>(first);
  }
  throw std::runtime_error("no free ports");
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << NowMs() << " ms " << line << "\n" << std::flush;
}

std::string message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (IsEqual(key, name))
      return value;
  }
  return "";
}

std::string message::Method() const {
  return start.substr(0, start.find(' '));
}

std::string message::Target() const {
  const std::size_t first = start.find(' ');
  const std::size_t last = start.rfind(' ');
  return first == last ? "" : start.substr(first + 1, last - first - 1);
}

channel::~channel() {
  Close();
}

void channel::Close() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
  descriptor_ = -1;
}

void channel::Break() {
  ::shutdown(descriptor_, SHUT_RDWR);
}

void channel::Reset() {
  const linger option{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  Close();
}

bool channel::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size() && descriptor_ >= 0) {
    const ssize_t count = ::send(descriptor_, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return sent == bytes.size();
}

int channel::Fill(int64_t until_ms) {
  if (descriptor_ < 0)
    return 0;
  pollfd entry{descriptor_, POLLIN, 0};
  const int64_t left = std::max<int64_t>(until_ms - NowMs(), 0);
  if (::poll(&entry, 1, static_cast<int>(std::min<int64_t>(left, 600000))) <= 0)
    return -2;
  std::array<char, 16384> bytes;
  const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count < 0)
    return -1;
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return count == 0 ? 0 : 1;
}

bool channel::IsClosedByPeer() const {
  if (descriptor_ < 0)
    return true;
  char byte = 0;
  const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool channel::WaitWhileOpen(int64_t ms) const {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    if (IsClosedByPeer())
      return false;
    SleepMs(std::min<int64_t>(5, std::max<int64_t>(until - NowMs(), 0)));
  }
  return !IsClosedByPeer();
}

bool channel::ReadRequest(message& out) {
  const int64_t until = NowMs() + 600000;
  std::size_t end = std::string::npos;
  while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (Fill(until) != 1)
      return false;
  }
  out = message();
  if (!ParseHead(input_.substr(0, end + 2), out))
    return false;
  input_.erase(0, end + 4);
  const std::string length = out.Header("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoull(length);
  while (input_.size() < size) {
    if (Fill(until) != 1)
      return false;
  }
  out.body = input_.substr(0, size);
  input_.erase(0, size);
  return true;
}

channel::answer channel::ReadAnswer(
    int64_t timeout_ms,
    const std::function<void(const std::string&)>& on_piece) {
  answer out;
  const int64_t until = NowMs() + timeout_ms;
  const auto fail = [&](int code) {
    out.how = code == 0    ? end::closed_early
              : code == -1 ? end::reset
                           : end::timed_out;
    return out;
  };
  std::size_t head_end = std::string::npos;
  while ((head_end = input_.find("\r\n\r\n")) == std::string::npos) {
    out.empty = input_.empty();
    if (const int code = Fill(until); code != 1)
      return fail(code);
  }
  out.empty = false;
  if (!ParseHead(input_.substr(0, head_end + 2), out.head) ||
      !out.head.start.starts_with("HTTP/1.1 ")) {
    out.how = end::malformed;
    return out;
  }
  input_.erase(0, head_end + 4);
  out.status = std::atoi(out.head.start.c_str() + 9);
  out.closes = IsEqual(out.head.Header("Connection"), "close");
  const auto take = [&](std::size_t size) {
    const std::string piece = input_.substr(0, size);
    input_.erase(0, size);
    out.head.body += piece;
    if (on_piece && !piece.empty())
      on_piece(piece);
  };
  if (IsEqual(out.head.Header("Transfer-Encoding"), "chunked")) {
    while (true) {
      std::size_t line_end = std::string::npos;
      while ((line_end = input_.find("\r\n")) == std::string::npos) {
        if (const int code = Fill(until); code != 1)
          return fail(code);
      }
      const std::size_t size =
          std::strtoul(input_.substr(0, line_end).c_str(), nullptr, 16);
      while (input_.size() < line_end + 2 + size + 2) {
        if (const int code = Fill(until); code != 1)
          return fail(code);
      }
      input_.erase(0, line_end + 2);
      take(size);
      input_.erase(0, 2);
      if (size == 0)
        break;
    }
  } else if (const std::string length = out.head.Header("Content-Length");
             !length.empty()) {
    const std::size_t size = std::stoull(length);
    while (input_.size() < size) {
      if (const int code = Fill(until); code != 1)
        return fail(code);
    }
    take(size);
  } else if (out.status != 204 && out.status != 304) {
    while (true) {
      const int code = Fill(until);
      if (code == 0)
        break;
      if (code != 1)
        return fail(code);
    }
    take(input_.size());
  }
  out.how = end::complete;
  return out;
}

int Listen(const std::string& ip, uint16_t& port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(ip, port);
  socklen_t size = sizeof(address);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(descriptor, 1024) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) !=
          0)
    throw std::runtime_error("cannot listen at " + ip);
  port = ntohs(address.sin_port);
  return descriptor;
}

std::unique_ptr<channel> Connect(const std::string& ip, uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<channel>(descriptor);
}

listener::listener(std::string ip, handler serve)
    : ip_(std::move(ip)), descriptor_(-1), serve_(std::move(serve)) {
  descriptor_ = Listen(ip_, port_);
  thread_ = std::thread([this] {
    while (!stopped_) {
      pollfd entry{descriptor_, POLLIN, 0};
      if (::poll(&entry, 1, 50) <= 0 || stopped_)
        continue;
      const int accepted =
          ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([serve = serve_, accepted] {
        channel connection(accepted);
        serve(connection);
      }).detach();
    }
    ::close(descriptor_);
  });
}

listener::~listener() {
  Stop();
}

void listener::Stop() {
  stopped_ = true;
  if (thread_.joinable())
    thread_.join();
}

std::string ToBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      out += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
  }
  return out;
}

store::store(record& log) : log_(log) {
  listener_ = std::make_unique<listener>(
      "127.0.0.1", [this](channel& connection) { Serve(connection); });
}

void store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {ToBase64(value), NextVersion(), false};
  changed_.notify_all();
}

void store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {"", NextVersion(), true};
  changed_.notify_all();
}

void store::Serve(channel& connection) {
  message request;
  while (connection.ReadRequest(request)) {
    int status = 200;
    const std::string body = Answer(request, status);
    SleepMs(answer_ms);
    if (!connection.Send(
            AnswerBytes(status, "Content-Type: application/json\r\n", body)))
      return;
  }
}

std::string store::Answer(const message& request, int& status) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = QueryOf(target);
  if (path == "/rows-tx")
    return Transact(request.body, status);
  if (path == "/rows-feed")
    return Feed(query, status);
  if (path != "/rows-get") {
    status = 404;
    return "{}";
  }
  if (on_read)
    on_read(TextAt(query, "table"), TextAt(query, "from"));
  return Get(query);
}

std::string store::Get(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(mutex_);
  const std::string table = TextAt(query, "table");
  const std::string from = TextAt(query, "from");
  const std::string to = TextAt(query, "to");
  const auto limit = static_cast<std::size_t>(
      NumberAt(query, "limit", static_cast<int64_t>(kMaxPageRows)));
  std::string rows;
  std::size_t count = 0;
  bool more = false;
  for (auto at = rows_.lower_bound({table, from});
       at != rows_.end() && at->first.first == table; ++at) {
    const auto& [name, item] = *at;
    if (item.removed || (!to.empty() && name.second >= to))
      continue;
    if (count >= std::min(limit, kMaxPageRows) ||
        rows.size() + item.value.size() > kMaxPageBytes) {
      more = true;
      break;
    }
    ++count;
    rows += std::string(rows.empty() ? "" : ",") + R"({"table":)" +
            Quoted(table) + R"(,"part":"","key":)" + Quoted(name.second) +
            R"(,"value":")" + item.value + R"(","ver":)" +
            std::to_string(item.version) + "}";
  }
  return R"({"rows":[)" + rows + R"(],"morePages":)" +
         (more ? "true" : "false") + R"(,"ver":)" + std::to_string(counter_) +
         R"(,"nowMs":)" + std::to_string(NowMs()) + "}";
}

int64_t store::NextVersion() {
  commits_.emplace_back(NowMs(), ++counter_);
  return counter_;
}

int64_t store::HistoryStart() {
  while (oldest_commit_ < commits_.size() &&
         commits_[oldest_commit_].first < NowMs() - kHistoryMs)
    history_start_ = commits_[oldest_commit_++].second;
  return history_start_;
}

std::string store::Feed(const std::map<std::string, std::string>& query,
                        int& status) {
  std::unique_lock lock(mutex_);
  const std::string table = TextAt(query, "table");
  const int64_t after = NumberAt(query, "after", 0);
  if (after < HistoryStart()) {
    status = 410;
    return "{}";
  }
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(NumberAt(query, "waitMs", 0));
  while (true) {
    std::map<int64_t, std::string> changes;
    for (const auto& [name, item] : rows_) {
      if (name.first == table && item.version > after)
        changes[item.version] = R"({"table":)" + Quoted(table) +
                                R"(,"part":"","key":)" + Quoted(name.second) +
                                R"(,"value":")" + item.value + R"(","ver":)" +
                                std::to_string(item.version) +
                                (item.removed ? R"(,"removed":true})" : "}");
    }
    const bool over = std::chrono::steady_clock::now() >= until;
    if (!changes.empty() || over) {
      std::string rows;
      for (const auto& [version, text] : changes)
        rows += (rows.empty() ? "" : ",") + text;
      return R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(counter_) +
             R"(,"nowMs":)" + std::to_string(NowMs()) + "}";
    }
    changed_.wait_until(lock, until);
  }
}

std::string store::Transact(const std::string& body, int& status) {
  const std::lock_guard lock(mutex_);
  for (const auto& condition : ObjectsAt(body, "expectedRev")) {
    const auto found =
        rows_.find({TextAt(condition, "table"), TextAt(condition, "key")});
    const bool exists = found != rows_.end() && !found->second.removed;
    if (NumberAt(condition, "ver", -1) !=
        (exists ? found->second.version : 0)) {
      status = 412;
      return R"({"rows":[],"ver":)" + std::to_string(counter_) + "}";
    }
  }
  NextVersion();
  for (const auto& item : ObjectsAt(body, "writes"))
    rows_[{TextAt(item, "table"), TextAt(item, "key")}] = {
        TextAt(item, "value"), counter_, false};
  changed_.notify_all();
  return R"({"ver":)" + std::to_string(counter_) + R"(,"nowMs":)" +
         std::to_string(NowMs()) + "}";
}

std::size_t run_list::Begin(run value) {
  const std::lock_guard lock(mutex_);
  value.began_ms = NowMs();
  runs_.push_back(std::move(value));
  return runs_.size() - 1;
}

void run_list::End(std::size_t index, bool complete, bool caller_closed) {
  const std::lock_guard lock(mutex_);
  runs_[index].ended_ms = NowMs();
  runs_[index].complete = complete;
  runs_[index].caller_closed = caller_closed;
}

std::vector<run> run_list::All() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<run> run_list::Of(const std::string& attempt) const {
  const std::lock_guard lock(mutex_);
  std::vector<run> out;
  std::copy_if(runs_.begin(), runs_.end(), std::back_inserter(out),
               [&](const run& item) { return item.attempt == attempt; });
  return out;
}

server::server(options chosen, run_list& runs, record& log)
    : options_(std::move(chosen)), runs_(runs), log_(log) {
  listener_ = std::make_unique<listener>(
      options_.ip, [this](channel& connection) { Serve(connection); });
}

std::string server::Entry(const std::string& state) const {
  std::string models;
  for (const std::string& model : options_.models)
    models += std::string(models.empty() ? "" : ",") + R"({"name":")" + model +
              R"(","version":1,"adapters":[]})";
  return R"({"service":")" + options_.service + R"(","address":")" + address() +
         R"(","zone":")" + options_.zone + R"(","version":"1","slots":)" +
         std::to_string(options_.slots) + R"(,"state":")" + state +
         R"(","coldRemainingMs":0,"seq":1,"born":)" + std::to_string(born_) +
         R"(,"stage":"colocated","models":[)" + models + "]}";
}

std::string server::Report() const {
  std::string models;
  for (const std::string& model : options_.models)
    models += std::string(models.empty() ? "" : ",") + R"({"name":")" + model +
              R"(","version":1,"adapters":[]})";
  return R"({"stage":"colocated","models":[)" + models +
         R"(],"busy":false,"seq":)" + std::to_string(orders_) +
         R"(,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0,"born":)" +
         std::to_string(born_) + "}";
}

std::string server::SealedHead(const message& request) const {
  return "Attempt-Id: " + request.Header("Attempt-Id") +
         "\r\nServer-Seal: seal." + options_.id + "\r\n";
}

void server::Leave() {
  listener_->Stop();
  const std::lock_guard lock(connections_mutex_);
  left_ = true;
  for (channel* connection : connections_)
    connection->Break();
}

void server::Serve(channel& connection) {
  {
    const std::lock_guard lock(connections_mutex_);
    if (left_)
      return;
    connections_.insert(&connection);
  }
  ServeRequests(connection);
  const std::lock_guard lock(connections_mutex_);
  connections_.erase(&connection);
}

void server::ServeRequests(channel& connection) {
  message request;
  while (connection.ReadRequest(request)) {
    const std::string expected = request.Header("Expect-Instance");
    const std::string id = request.Header("Attempt-Id");
    const std::string echo = id.empty() ? "" : "Attempt-Id: " + id + "\r\n";
    if (!expected.empty() && expected != options_.id) {
      if (!connection.Send(AnswerBytes(
              421, echo + "Instance-Id: " + options_.id + "\r\n", "")))
        return;
      continue;
    }
    const std::string target = request.Target();
    if (target == "/report") {
      if (!connection.Send(
              AnswerBytes(200, "Content-Type: application/json\r\n", Report())))
        return;
      continue;
    }
    if (target == "/order") {
      log_.Write("order at " + options_.id + ": " + request.body);
      // Every model of the site is held, so an order changes nothing.
      if (!connection.Send(AnswerBytes(200, "", "")))
        return;
      continue;
    }
    const auto index = runs_.Begin({.attempt = id,
                                    .server = options_.id,
                                    .path = target,
                                    .tenant = request.Header("Tenant"),
                                    .expected_instance = expected,
                                    .body_bytes = request.body.size()});
    bool complete = false;
    if (answer)
      complete = answer(connection, request);
    else if (options_.events > 0)
      complete = AnswerStream(connection, request);
    else
      complete = AnswerPlain(connection, request);
    runs_.End(index, complete, !complete && connection.IsClosedByPeer());
    if (!complete)
      return;
  }
}

bool server::AnswerPlain(channel& connection, const message& request) {
  if (!connection.WaitWhileOpen(options_.work_ms))
    return false;
  return connection.Send(AnswerBytes(
      200, SealedHead(request), "answer to " + request.Header("Attempt-Id")));
}

bool server::AnswerStream(channel& connection, const message& request) {
  if (!connection.Send("HTTP/1.1 200 OK\r\n" + SealedHead(request) +
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int64_t i = 1; i <= options_.events; ++i) {
    if (!connection.WaitWhileOpen(options_.event_ms))
      return false;
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + request.Header("Attempt-Id") +
                              " piece " + std::to_string(i) + "\n\n";
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    if (!connection.Send(size.data() + event + "\r\n"))
      return false;
  }
  return connection.Send("0\r\n\r\n");
}

node::node(options chosen) : options_(std::move(chosen)) {
  front_ = FreePorts(options_.ip, 1);
  ready_ = FreePorts(options_.ip, 1);
  control_ = FreePorts(options_.ip, 1);
  first_free_ = FreePorts(options_.ip, 16);
}

node::~node() {
  if (IsRunning()) {
    ::kill(process_, SIGKILL);
    WaitForEnd(2000);
  }
}

void node::Start() {
  const std::string file = options_.folder + "/" + options_.name + ".toml";
  std::ofstream out(file);
  const auto address = [this](uint16_t port) {
    return "\"" + options_.ip + ":" + std::to_string(port) + "\"";
  };
  out << "node = \"" << options_.name << "\"\nrole = \"node\"\n"
      << "machineClass = \"edge\"\nserves = [\"edge\"]\nip = \"" << options_.ip
      << "\"\nzone = \"" << options_.zone << "\"\nregion = \"mids\"\n"
      << "portRange = [" << first_free_ << "," << first_free_ + 15 << "]\n"
      << "seeds = []\nbootstrap = true\ninTolerance = false\n"
      << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
      << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\","
         "\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\","
         "\"platform\"]\n[zones]\n"
      << "mids-a = \"mids\"\nmids-b = \"mids\"\nmids-c = "
         "\"mids\"\n[listen]\nfront = "
      << address(front_) << "\nready = " << address(ready_)
      << "\ncontrol = " << address(control_)
      << "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n"
         "maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
         "[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
         "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\n"
         "ackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = "
      << options_.grace_s
      << "\nlossSlackMs = 200\nconfigMs = 2000\ndowngradeSlackMs = 250\n"
         "outerMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n"
         "retryRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 56\n"
         "quotaWindowS = 8\nquotaOver = 0.1\nquotaSlack = 110000\n"
         "recoverS = 12\npassMs = 120\nagainS = 0\nrequireFencing = true\n"
         "leaseMs = 3000\nthawSlackMs = 300\nceilingWindowS = 5\n"
         "ceilingOver = 1.1\n[provider]\naddress = \""
      << options_.store
      << "\"\nform = \"table\"\nwritesPerS = 400\nreadsPerS = 2000\n"
         "txMs = 3.0\npartWritesPerS = 300\nrowBytes = 65536\nacross = true\n"
         "historyS = 20\nblobBytes = 8388608\nblobMs = 25.0\n"
         "blobMbPerS = 80.0\n";
  out.close();
  const std::string log = options_.folder + "/" + options_.name + ".log";
  // After fork() the child may only make system calls.
  std::string program = "target/bin/jasminepathd";
  std::string argument = "--platform";
  std::string variable = "JASMINEPATH_SETTINGS=" + file;
  std::string path = std::string("PATH=") + std::getenv("PATH");
  std::array<char*, 3> arguments = {program.data(), argument.data(), nullptr};
  std::array<char*, 3> variables = {variable.data(), path.data(), nullptr};
  exit_status_.reset();
  process_ = ::fork();
  if (process_ != 0)
    return;
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  // The node ends with this program.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(output, 1);
  ::dup2(output, 2);
  ::execve(program.c_str(), arguments.data(), variables.data());
  ::_exit(127);
}

void node::Signal(int number) {
  if (IsRunning())
    ::kill(process_, number);
}

bool node::IsRunning() {
  if (process_ <= 0 || exit_status_)
    return false;
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_)
    return true;
  exit_status_ = status;
  return false;
}

void node::WaitForEnd(int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (IsRunning() && NowMs() < until)
    SleepMs(20);
  if (!IsRunning())
    return;
  ::kill(process_, SIGKILL);
  while (IsRunning())
    SleepMs(5);
}

bool node::ReadsServers() const {
  std::ifstream log(options_.folder + "/" + options_.name + ".log");
  std::string line;
  bool reads = false;
  while (std::getline(log, line)) {
    if (line.find("event=duties ") != std::string::npos)
      reads = line.find(" reads_endpoints=1") != std::string::npos;
  }
  return reads;
}

bool node::IsReady() const {
  const auto probe = Connect(options_.ip, ready_);
  return probe && probe->Send("GET /readyz HTTP/1.1\r\nHost: probe\r\n\r\n") &&
         probe->ReadAnswer(1000).status == 200;
}

bool node::WaitUntilReady(int64_t ms) const {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    if (IsReady())
      return true;
    SleepMs(50);
  }
  return false;
}

temporary_folder::temporary_folder() {
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/reviewXXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  path_ = pattern;
}

temporary_folder::~temporary_folder() {
  Remove();
}

void temporary_folder::Remove() {
  if (std::getenv("KEEP_LOGS") != nullptr)
    return;
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

void EndScript(std::vector<std::unique_ptr<node>>& nodes,
               temporary_folder& folder,
               int code) {
  nodes.clear();
  folder.Remove();
  std::_Exit(code);
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
