#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "call_worker.h"
#include "caller_connection.h"
#include "http_server.h"

namespace jasminepath::node {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const std::string kSplit = "\r\n\r\n";
const std::string kBegun = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
const std::string kRest = "id: 2\ndata: c\n\ndata: [DONE]\n\n";
constexpr std::size_t kMaxBufferedBytes = 1000;

// Reads until the received bytes contain the text or the peer closes.
std::string ReadUntil(StreamSocket& from, const std::string& text) {
  std::string received;
  std::array<char, 4096> bytes;
  while (text.empty() || received.find(text) == std::string::npos) {
    const int count = from.receiveBytes(bytes.data(), bytes.size());
    if (count <= 0)
      break;
    received.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return received;
}

std::string Chunk(const std::string& data) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx", data.size());
  return size.data() + std::string("\r\n") + data + "\r\n";
}

// The head of an answer to the request "@ID".
std::string Head(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: @ID\r\n" + fields + "\r\n";
}

std::string StreamHead(const std::string& status = "200 OK") {
  return Head(status,
              "Content-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n");
}

std::string WholeStream(const std::string& events,
                        const std::string& status = "200 OK") {
  return StreamHead(status) + Chunk(events) + "0\r\n\r\n";
}

std::string Plain(const std::string& status, const std::string& body) {
  return Head(status, "Content-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n") +
         body;
}

// An engine that sends prepared bytes as the answer to each request and closes
// the connection.
class scripted_engine {
 public:
  scripted_engine()
      : socket_(SocketAddress("127.0.0.1", 0)), thread_([this] { Serve(); }) {}
  ~scripted_engine() {
    is_stopping_ = true;
    StreamSocket wake(socket_.address());
    thread_.join();
  }

  std::string address() const { return socket_.address().toString(); }
  void SetAnswers(const std::vector<std::string>& answers) {
    const std::lock_guard lock(mutex_);
    answers_.assign(answers.begin(), answers.end());
  }
  // Makes the engine reset its connections instead of closing them.
  void SetResetting(bool is_resetting) { is_resetting_ = is_resetting; }

 private:
  void Serve() {
    while (true) {
      StreamSocket connection = socket_.acceptConnection();
      if (is_stopping_)
        return;
      const std::string head = ReadUntil(connection, kSplit);
      const std::string answer = AnswerTo(head);
      connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
      if (is_resetting_) {
        connection.setLinger(true, 0);
        connection.close();
        continue;
      }
      connection.shutdownSend();
      ReadUntil(connection, "");
    }
  }

  // Questions about the engine's state take no prepared answer.
  std::string AnswerTo(const std::string& head) {
    const std::lock_guard lock(mutex_);
    if (answers_.empty() || head.starts_with("GET /engine/") ||
        head.starts_with("DELETE "))
      return "";
    std::string answer = answers_.front();
    answers_.pop_front();
    const std::string field = "X-Request-Id: ";
    const std::size_t at = head.find(field) + field.size();
    const std::string id = head.substr(at, head.find("\r\n", at) - at);
    const std::size_t mark = answer.find("@ID");
    return mark == std::string::npos ? answer : answer.replace(mark, 3, id);
  }

  std::mutex mutex_;
  std::deque<std::string> answers_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_resetting_{false};
  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

// What a caller received.
struct caller_answer {
  std::string head;
  // The body without its chunk lines.
  std::string body;
  // Whether the last chunk arrived.
  bool is_complete = false;
};

caller_answer Decode(const std::string& received) {
  caller_answer out;
  const std::size_t end = received.find(kSplit);
  out.head = received.substr(0, end);
  std::string rest =
      end == std::string::npos ? "" : received.substr(end + kSplit.size());
  if (out.head.find("chunked") == std::string::npos) {
    out.body = rest;
    out.is_complete = true;
    return out;
  }
  while (!rest.empty()) {
    const std::size_t size = std::stoul(rest, nullptr, 16);
    out.is_complete = size == 0;
    rest.erase(0, rest.find("\r\n") + 2);
    out.body += rest.substr(0, size);
    rest.erase(0, size + 2);
  }
  return out;
}

// A worker behind a real server. The test decides like the decision thread: an
// attempt that did not answer is repeated or, once the answer has begun,
// resumed where that is possible.
struct worker_fixture {
  worker_fixture() {
    limits.probe_timeout = Milliseconds(200);
    limits.max_buffered_answer = bytes(kMaxBufferedBytes);
    http_server_settings settings;
    settings.listen = "127.0.0.1:0";
    settings.max_connections = 8;
    const auto handle = [this](auto& request, auto& response) {
      caller_connection caller(request, response, request_id("r"));
      inbound_call call;
      call.arrival.id = request_id("r");
      call.arrival.streamed = request.getURI() == "/stream";
      call.method = "GET";
      call.endpoint_path = "/v1/chat/completions";
      call.is_engine = true;
      call_worker(std::move(call), caller, events, limits).Run();
    };
    server = std::make_unique<http_server>(settings, handle, handle);
  }

  // Waits for the next event of this type.
  template <typename Event>
  Event Await() {
    while (true) {
      auto event = events.PopWithin(Seconds(15));
      BOOST_REQUIRE(event.has_value());
      if (auto* found = std::get_if<Event>(&*event))
        return std::move(*found);
    }
  }

  caller_answer Receive(const std::string& path,
                        const std::vector<std::string>& answers) {
    engine.SetAnswers(answers);
    StreamSocket caller{SocketAddress(server->address())};
    const std::string request =
        "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    const auto channel = Await<call_arrived>().channel;
    run_attempt command;
    command.address = engine.address();
    command.is_engine = true;
    command.deadline = boot_clock::now() + Seconds(15);
    bool is_answered = false;
    for (std::size_t i = 0; i < answers.size() && !is_answered; ++i) {
      command.attempt = static_cast<int64_t>(i) + 1;
      channel->Send(command);
      const auto report = Await<attempt_ended>().report;
      is_answered = report.end == decision::attempt_end::answered ||
                    (report.end == decision::attempt_end::server_error &&
                     report.relayed > bytes(0));
      const bool has_begun = report.relayed > bytes(0);
      if (report.end == decision::attempt_end::cancelled ||
          (has_begun && !report.resume_position))
        break;
      if (has_begun) {
        command.resumed_attempt = 1;
        command.resume_from = *report.resume_position;
      }
    }
    if (is_answered)
      channel->Send(finish_answer{});
    else
      channel->Send(send_refusal{refusal{refusal_code::outcome_unknown,
                                         run_state::unknown, "refusal text",
                                         std::nullopt}});
    return Decode(ReadUntil(caller, ""));
  }

  worker_limits limits;
  node_event_ring events{64};
  scripted_engine engine;
  std::unique_ptr<http_server> server;
};

// Whether the answer is the refusal by which the fixture ends a call.
bool IsRefusal(const caller_answer& answer) {
  return answer.is_complete && !answer.head.starts_with("HTTP/1.1 2") &&
         answer.body.find("refusal text") != std::string::npos;
}

struct named_text {
  std::string name;
  std::string text;
};

const std::vector<named_text> kBrokenStarts = {
    {"inside_event", StreamHead() + Chunk(kBegun + "id: 2\nda")},
    {"between_events", StreamHead() + Chunk(kBegun)},
    {"in_chunk_size", StreamHead() + Chunk(kBegun) + "1"},
    {"in_chunk", StreamHead() + Chunk(kBegun) + "9\r\nid"},
    {"in_last_chunk", StreamHead() + Chunk(kBegun) + "0\r\n"},
    {"without_done", WholeStream(kBegun)},
};

const std::vector<named_text> kNoContinuations = {
    {"error", Plain("500 Internal Server Error", "error text")},
    {"error_events", WholeStream("id: 2\ndata: error text\n\n", "500 Error")},
    {"error_done", WholeStream("data: [DONE]\n\n", "503 Error")},
    {"not_run", Plain("503 Down", R"({"run":"not_run"})")},
    {"unknown_stream", Plain("404 Not Found", "error text\n\n")},
    {"large_error", Plain("500 Error", std::string(5000, 'e') + "\n\n")},
    {"no_stream", Plain("200 OK", "error text\n\n")},
    {"large_no_stream", Plain("200 OK", std::string(5000, 'e') + "\n\n")},
    {"cut_error", Head("500 Error", "Content-Length: 99\r\n") + "error text"},
    {"half_a_head", "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: @ID"},
    {"no_content", Head("204 No Content", "")},
    {"head_only", StreamHead()},
};

BOOST_FIXTURE_TEST_CASE(ABegunStreamContainsNoOtherAnswer, worker_fixture) {
  for (const named_text& next : kNoContinuations) {
    for (const named_text& start : kBrokenStarts) {
      BOOST_TEST_CONTEXT(start.name << ", then " << next.name) {
        caller_answer answer = Receive("/stream", {start.text, next.text});
        BOOST_TEST(!answer.is_complete);
        BOOST_TEST(answer.body.substr(0, answer.body.find("event: error")) ==
                   kBegun);
        answer =
            Receive("/stream", {start.text, next.text, WholeStream(kRest)});
        BOOST_TEST(answer.is_complete);
        BOOST_TEST(answer.body == kBegun + kRest);
      }
    }
  }
}

// Streams whose first new event isn't the one after kBegun.
const std::vector<named_text> kOtherEvents = {
    {"missing_event", WholeStream("id: 3\ndata: d\n\ndata: [DONE]\n\n")},
    {"event_without_id", WholeStream("data: c\n\ndata: [DONE]\n\n")},
    {"text", WholeStream("error text\n\n")},
};

BOOST_FIXTURE_TEST_CASE(AStreamThatLacksAnEventIsCut, worker_fixture) {
  for (const named_text& next : kOtherEvents) {
    for (const named_text& start : kBrokenStarts) {
      BOOST_TEST_CONTEXT(start.name << ", then " << next.name) {
        const caller_answer answer =
            Receive("/stream", {start.text, next.text, WholeStream(kRest)});
        BOOST_TEST(!answer.is_complete);
        BOOST_TEST(answer.body.substr(0, answer.body.find("event: error")) ==
                   kBegun);
      }
    }
  }
}

// An engine may send events again that the caller has.
BOOST_FIXTURE_TEST_CASE(NoEventOfABegunStreamComesTwice, worker_fixture) {
  for (const named_text& start : kBrokenStarts) {
    for (const std::string& again :
         {kBegun, kBegun.substr(kBegun.size() / 2)}) {
      const caller_answer answer =
          Receive("/stream", {start.text, WholeStream(again + kRest)});
      BOOST_TEST(answer.is_complete);
      BOOST_TEST(answer.body == kBegun + kRest);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(TheLastEventComesOnce, worker_fixture) {
  const std::string whole = StreamHead() + Chunk(kBegun + kRest);
  for (const std::string& next :
       {WholeStream(kRest), WholeStream("data: [DONE]\n\n"), WholeStream(""),
        Plain("404 Not Found", "error text")}) {
    const caller_answer answer = Receive("/stream", {whole, next});
    BOOST_TEST(answer.is_complete);
    BOOST_TEST(answer.body == kBegun + kRest);
  }
}

// An answer larger than the worker's buffer, which is relayed as it arrives.
BOOST_FIXTURE_TEST_CASE(APlainAnswerThatBreaksOffContainsNothingElse,
                        worker_fixture) {
  const std::string part(2 * kMaxBufferedBytes, 'e');
  for (const std::string& begun :
       {Head("200 OK", "Content-Length: 99999\r\n") + part,
        Head("200 OK", "Transfer-Encoding: chunked\r\n") + Chunk(part),
        Head("500 Error", "Content-Length: 99999\r\n") + part}) {
    for (const char* path : {"/plain", "/stream"}) {
      const caller_answer answer =
          Receive(path, {begun, Plain("500 Error", "error text")});
      BOOST_TEST(!answer.is_complete);
      BOOST_TEST(answer.body == part);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(AnAnswerThatBreaksOffIsNotComplete, worker_fixture) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::vector<named_text> whole_answers = {
      {"length", Plain("200 OK", "some text")},
      {"no_body", Plain("200 OK", "")},
      {"chunks", Head("200 OK", chunked) + Chunk("some") + Chunk("text") +
                     "0\r\nT: u\r\n\r\n"},
      {"interim", "HTTP/1.1 100 Continue\r\n\r\n" + Plain("200 OK", "text")},
      {"stream", WholeStream("id: 0\ndata: a\n\ndata: [DONE]\n\n")},
  };
  for (const named_text& item : whole_answers) {
    for (const bool is_resetting : {false, true}) {
      engine.SetResetting(is_resetting);
      for (std::size_t cut = 0; cut < item.text.size(); ++cut) {
        const std::string begun = item.text.substr(0, cut);
        const caller_answer answer = Receive("/stream", {begun, begun});
        BOOST_TEST_CONTEXT(item.name << " after " << cut) {
          const bool is_success = answer.head.starts_with("HTTP/1.1 2");
          BOOST_TEST(!(is_success && answer.is_complete));
          BOOST_TEST((is_success || IsRefusal(answer)));
        }
      }
    }
    engine.SetResetting(false);
    BOOST_TEST(Receive("/stream", {item.text.substr(0, 9), item.text})
                   .head.starts_with("HTTP/1.1 200"));
  }
}

// An engine's answers have a length.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutLengthIsNotComplete, worker_fixture) {
  for (const char* body : {"", "some text"}) {
    const std::string answer = Head("200 OK", "") + body;
    BOOST_TEST(IsRefusal(Receive("/plain", {answer, answer})));
  }
}

}  // namespace
}  // namespace jasminepath::node
