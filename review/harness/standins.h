#ifndef JASMINEPATH_REVIEW_HARNESS_STANDINS_H_
#define JASMINEPATH_REVIEW_HARNESS_STANDINS_H_

// Stand-ins of the users' platform for the review's scripts: its store, its
// servers and its clients, as PROTOCOL.md and DEPLOY.md describe them. Nodes
// are real processes. Everything listens on loopback addresses and runs on the
// real clock; a thread serves each connection.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Milliseconds since the program's start.
int64_t NowMs();
void SleepMs(int64_t ms);

// Writes record.txt: one line for each event, with the time.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

struct message {
  // The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
};

// A TCP connection that carries HTTP/1.1 messages. Owns the descriptor.
class channel {
 public:
  explicit channel(int descriptor) : descriptor_(descriptor) {}
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;
  ~channel();

  bool Send(const std::string& bytes);
  // Reads a request with its body; false at the end of the channel.
  bool ReadRequest(message& out);
  // Whether the peer has closed the channel. Does not consume bytes.
  bool IsClosedByPeer() const;
  // Waits, and returns false early if the peer closes the channel.
  bool WaitWhileOpen(int64_t ms) const;
  // Ends both directions; the thread that uses the channel then closes it.
  void Break();
  // Closes with a reset; called by the thread that uses the channel.
  void Reset();
  void Close();
  bool is_open() const { return descriptor_ >= 0; }

  enum class end { complete, closed_early, reset, timed_out, malformed };
  struct answer {
    message head;
    int status = 0;
    end how = end::closed_early;
    // The answer's head announces that the channel closes after it.
    bool closes = false;
    // No byte of the answer has arrived.
    bool empty = true;
  };
  // Reads an answer; `on_piece` gets each piece of the body.
  answer ReadAnswer(
      int64_t timeout_ms,
      const std::function<void(const std::string&)>& on_piece = nullptr);

 private:
  // Reads more bytes; 1: some, 0: end, -1: reset, -2: the time is over.
  int Fill(int64_t until_ms);

  int descriptor_;
  std::string input_;
};

int Listen(const std::string& ip, uint16_t& port);
std::unique_ptr<channel> Connect(const std::string& ip, uint16_t port);

// Accepts connections in a thread and serves each in another one.
class listener {
 public:
  using handler = std::function<void(channel&)>;
  listener(std::string ip, handler serve);
  ~listener();
  // Ends listening; open connections go on.
  void Stop();
  const std::string& ip() const { return ip_; }
  uint16_t port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  std::string ip_;
  uint16_t port_ = 0;
  int descriptor_;
  handler serve_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

std::string ToBase64(const std::string& bytes);

// The platform's store in the form of tables.
class store {
 public:
  explicit store(record& log);

  std::string address() const { return listener_->address(); }
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  // Time that an answer takes.
  std::atomic<int64_t> answer_ms{4};
  // Called with each read of a table before it is answered: the table, the
  // first key and the caller's address.
  std::function<void(const std::string& table, const std::string& from)>
      on_read;

 private:
  struct row {
    std::string value;
    int64_t version = 0;
    bool removed = false;
  };
  void Serve(channel& connection);
  std::string Answer(const message& request, int& status);
  std::string Get(const std::map<std::string, std::string>& query);
  std::string Feed(const std::map<std::string, std::string>& query,
                   int& status);
  std::string Transact(const std::string& body, int& status);

  record& log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, row> rows_;
  // Raises the counter for a transaction and records when.
  int64_t NextVersion();
  // The oldest version that a feed can begin at.
  int64_t HistoryStart();

  int64_t counter_ = 1;
  std::vector<std::pair<int64_t, int64_t>> commits_;
  std::size_t oldest_commit_ = 0;
  int64_t history_start_ = 0;
  std::unique_ptr<listener> listener_;
};

// One run of a request at a server.
struct run {
  std::string attempt;
  std::string server;
  std::string path;
  std::string tenant;
  std::string expected_instance;
  // Size of the request's body.
  std::size_t body_bytes = 0;
  int64_t began_ms = 0;
  int64_t ended_ms = 0;
  // The whole answer was sent; false while it runs, and if the caller closed.
  bool complete = false;
  bool caller_closed = false;
  // Whether the server itself broke off.
  bool broke_off = false;
};

// The runs of all servers.
class run_list {
 public:
  std::size_t Begin(run value);
  void End(std::size_t index, bool complete, bool caller_closed);
  std::vector<run> All() const;
  std::vector<run> Of(const std::string& attempt) const;

 private:
  mutable std::mutex mutex_;
  std::vector<run> runs_;
};

// A server: an engine that holds all models it was given, or a plain service.
// Subclasses and `answer` change how it answers requests of callers.
class server {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string ip = "127.0.0.1";
    std::string zone;
    int64_t slots = 64;
    // Models with their sizes are given by the site; empty: a plain service.
    std::vector<std::string> models;
    int64_t work_ms = 60;
    int64_t events = 0;
    int64_t event_ms = 150;
  };
  server(options chosen, run_list& runs, record& log);

  // The server's row in the table `servers`.
  std::string Entry(const std::string& state = "ready") const;
  const options& chosen() const { return options_; }
  std::string address() const { return listener_->address(); }
  // Ends the server: no new connections, and the open ones are reset.
  void Leave();

  // If set, takes the place of the usual answer to a request of a caller.
  // Returns false to close the connection.
  std::function<bool(channel&, const message&)> answer;

  std::string SealedHead(const message& request) const;
  bool AnswerPlain(channel& connection, const message& request);
  bool AnswerStream(channel& connection, const message& request);

 private:
  void Serve(channel& connection);
  void ServeRequests(channel& connection);
  std::string Report() const;

  options options_;
  run_list& runs_;
  record& log_;
  int64_t born_ = 1764926400000;
  std::atomic<int64_t> orders_{0};
  std::mutex connections_mutex_;
  std::set<channel*> connections_;
  bool left_ = false;
  std::unique_ptr<listener> listener_;
};

// A node: `jasminepathd --platform`, as the deploy file starts it.
class node {
 public:
  struct options {
    std::string name;
    std::string ip;
    std::string zone;
    std::string store;
    std::string folder;
    int64_t grace_s = 8;
  };
  explicit node(options chosen);
  ~node();

  void Start();
  void Signal(int number);
  bool IsRunning();
  // Waits for the end of the process; kills it after `ms`.
  void WaitForEnd(int64_t ms);
  bool IsReady() const;
  // Whether the node says in its log that it reads the table of servers for
  // its zone. Chooses what a script harms; nothing is judged by it.
  bool ReadsServers() const;
  bool WaitUntilReady(int64_t ms) const;
  const std::string& ip() const { return options_.ip; }
  uint16_t front() const { return front_; }
  const std::string& name() const { return options_.name; }
  std::optional<int> exit_status() const { return exit_status_; }

 private:
  options options_;
  uint16_t front_ = 0;
  uint16_t ready_ = 0;
  uint16_t control_ = 0;
  uint16_t first_free_ = 0;
  int process_ = -1;
  std::optional<int> exit_status_;
};

// Folder for settings and logs, removed at the end.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  const std::string& path() const { return path_; }
  void Remove();

 private:
  std::string path_;
};

// Ends the nodes, removes the folder and ends this program at once, because
// threads of the stand-ins still use their objects.
[[noreturn]] void EndScript(std::vector<std::unique_ptr<node>>& nodes,
                            temporary_folder& folder,
                            int code);

// Whether the script runs with its disturbance (the variable TROUBLE).
bool HasTrouble();

}  // namespace review

#endif  // JASMINEPATH_REVIEW_HARNESS_STANDINS_H_
