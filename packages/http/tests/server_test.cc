#include "jasminepath/http/server.h"

#include "loop_fixture.h"

namespace jasminepath::http {
namespace {

// A server that records its requests and answers them, unless `answer_at_once`
// is false; the test then answers itself.
struct server_fixture : loop_fixture {
  server_fixture()
      : subject(loop, [this](request message, std::shared_ptr<exchange> reply) {
          requests.push_back(std::move(message));
          replies.push_back(std::move(reply));
          if (answer_at_once)
            replies.back()->Respond({200, {{"Name", "value"}}},
                                    "body of " + requests.back().target);
        }) {
    BOOST_REQUIRE(subject.Listen("127.0.0.1:0"));
  }

  std::vector<request> requests;
  std::vector<std::shared_ptr<exchange>> replies;
  bool answer_at_once = true;
  server subject;
};

constexpr char kGet[] = "GET /a/b?c=d HTTP/1.1\r\nHost: h\r\n\r\n";

BOOST_FIXTURE_TEST_CASE(AnswersARequest, server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(kGet);
  const std::string answer = client.ReadUntil("body of");
  BOOST_TEST(answer ==
             "HTTP/1.1 200 OK\r\nName: value\r\nContent-Length: 16\r\n\r\n"
             "body of /a/b?c=d");
  BOOST_TEST(requests[0].headers.ValueOf("host") == "h");
}

BOOST_FIXTURE_TEST_CASE(ParsesARequestReceivedByteByByte, server_fixture) {
  raw_client client(*this, subject.port());
  for (const char c : std::string("POST /p HTTP/1.1\r\nHost: h\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
    client.Send({&c, 1});
    loop.restart();
    loop.poll();
  }
  client.ReadUntil("body of /p");
  BOOST_TEST(requests.at(0).body == "abcde");
}

BOOST_FIXTURE_TEST_CASE(AnswersPipelinedRequestsInOrder, server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string answers = client.ReadUntil("body of /2");
  BOOST_TEST(answers.find("body of /1") < answers.find("body of /2"));
}

BOOST_FIXTURE_TEST_CASE(DoesNotParseABodyAsARequest, server_fixture) {
  raw_client client(*this, subject.port());
  const std::string hidden = kGet;
  client.Send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: " +
              std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
  client.ReadUntil("body of");
  BOOST_REQUIRE(requests.size() == 1);
  BOOST_TEST(requests[0].body == hidden);
}

BOOST_FIXTURE_TEST_CASE(RejectsAmbiguousAndMalformedRequests, server_fixture) {
  for (const std::string bytes :
       {"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "GET /p HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET /p HTTP/1.1\r\n\r\n", "nonsense\r\n\r\n"}) {
    raw_client client(*this, subject.port());
    client.Send(bytes);
    BOOST_TEST(client.ReadToEnd().starts_with("HTTP/1.1 400 "));
  }
  BOOST_TEST(requests.empty());
}

BOOST_FIXTURE_TEST_CASE(RejectsRequestsOverTheLimits, server_fixture) {
  server_limits limits;
  limits.max_head_bytes = 200;
  limits.max_body_bytes = 10;
  subject.SetLimits(limits);
  raw_client large_head(*this, subject.port());
  large_head.Send("GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(300, 'a') +
                  "\r\n\r\n");
  BOOST_TEST(large_head.ReadToEnd().starts_with("HTTP/1.1 431 "));
  raw_client large_body(*this, subject.port());
  large_body.Send(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n12345678901");
  BOOST_TEST(large_body.ReadToEnd().starts_with("HTTP/1.1 413 "));
}

BOOST_FIXTURE_TEST_CASE(DetectsTheDisconnectOfAWaitingClient, server_fixture) {
  answer_at_once = false;
  raw_client client(*this, subject.port());
  client.Send(kGet);
  RunUntil([&] { return !replies.empty(); });
  bool left = false;
  replies[0]->OnClientDisconnect([&] { left = true; });
  client.Close();
  RunUntil([&] { return left; });
  BOOST_TEST(subject.busy_count() == 0);
}

BOOST_FIXTURE_TEST_CASE(AbortClosesTheConnectionBeforeTheAnswerEnds,
                        server_fixture) {
  answer_at_once = false;
  raw_client client(*this, subject.port());
  client.Send(kGet);
  RunUntil([&] { return !replies.empty(); });
  replies[0]->Start({200, {}});
  replies[0]->Write("part");
  client.ReadUntil("part");
  replies[0]->Abort();
  BOOST_TEST(client.ReadToEnd().find("0\r\n\r\n") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(StreamsInChunks, server_fixture) {
  answer_at_once = false;
  raw_client client(*this, subject.port());
  client.Send(kGet);
  RunUntil([&] { return !replies.empty(); });
  replies[0]->Start({200, {}});
  replies[0]->Write("first");
  client.ReadUntil("5\r\nfirst\r\n");
  replies[0]->Write("second");
  replies[0]->Finish();
  BOOST_TEST(client.ReadUntil("0\r\n\r\n")
                 .ends_with("5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(SendsConnectionCloseWhileDraining, server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(kGet);
  client.ReadUntil("body of");
  subject.BeginDrain();
  client.Send(kGet);
  BOOST_TEST(client.ReadToEnd().find("Connection: close") != std::string::npos);
}

// A request that reaches a connection that is being closed is never answered,
// so its client must see the close without delay.
BOOST_FIXTURE_TEST_CASE(ClosesAtOnceWhenARequestArrivesDuringTheClose,
                        server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(kGet);
  client.ReadUntil("body of");
  loop.poll();
  subject.StopAccepting();
  client.Send(kGet);
  const auto began = std::chrono::steady_clock::now();
  RunUntil([&] { return subject.connection_count() == 0; });
  BOOST_TEST(requests.size() == 1);
  // Without the immediate close, the connection would linger for one second.
  BOOST_TEST((std::chrono::steady_clock::now() - began <
              std::chrono::milliseconds(900)));
}

BOOST_FIXTURE_TEST_CASE(AnswersARequestThatArrivedBeforeTheServerStopped,
                        server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(kGet);
  client.ReadUntil("body of");
  subject.BeginDrain();
  client.Send(kGet);
  subject.StopAccepting();
  client.ReadToEnd();
  BOOST_TEST(requests.size() == 2);
}

// Guards against requests that are dropped because they were read in the same
// turn of the event loop in which the server stops.
BOOST_FIXTURE_TEST_CASE(AnswersARequestThatWasReadWhenTheServerStopped,
                        server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(kGet);
  while (subject.connection_count() == 0) {
    loop.restart();
    loop.poll_one();
  }
  // The first read of a connection has found the request. Its handler runs
  // next.
  BOOST_TEST(requests.empty());
  subject.StopAccepting();
  BOOST_TEST(client.ReadToEnd().find("body of") != std::string::npos);
  BOOST_TEST(requests.size() == 1);
}

// A reset tells the client that the request was not read.
BOOST_FIXTURE_TEST_CASE(DoesNotReadARequestThatItWillNotAnswer,
                        server_fixture) {
  raw_client client(*this, subject.port());
  client.Send(kGet);
  client.ReadUntil("body of");
  loop.poll();
  subject.StopAccepting();
  client.Send(kGet);
  RunUntil([&] { return subject.connection_count() == 0; });
  BOOST_TEST(requests.size() == 1);
  BOOST_TEST(client.WasReset());
}

BOOST_FIXTURE_TEST_CASE(AnswersTheRequestAfterAStreamThatOutlastedTheDrainStart,
                        server_fixture) {
  answer_at_once = false;
  raw_client client(*this, subject.port());
  client.Send(kGet);
  RunUntil([&] { return !replies.empty(); });
  replies[0]->Start({200, {}});
  replies[0]->Write("first");
  subject.BeginDrain();
  replies[0]->Finish();
  client.ReadUntil("0\r\n\r\n");
  client.Send(kGet);
  RunUntil([&] { return replies.size() == 2; });
  replies[1]->Respond({200, {}}, "second");
  BOOST_TEST(client.ReadToEnd().find("Connection: close") != std::string::npos);
  BOOST_TEST(client.ReadToEnd().ends_with("second"));
}

BOOST_FIXTURE_TEST_CASE(ARaisedIdleTimeoutKeepsConnectionsThatAreIdleAlready,
                        server_fixture) {
  server_limits limits;
  limits.idle_timeout = Seconds(1);
  subject.SetLimits(limits);
  raw_client client(*this, subject.port());
  client.Send(kGet);
  client.ReadUntil("body of");
  limits.idle_timeout = Seconds(60);
  subject.SetLimits(limits);
  timer pause(loop);
  bool is_over = false;
  pause.Start(Milliseconds(1500), [&] { is_over = true; });
  RunUntil([&] { return is_over; });
  BOOST_TEST(subject.connection_count() == 1);
}

// Resetting the connection would discard the rejection at a client that is
// still sending.
BOOST_FIXTURE_TEST_CASE(ARejectionReachesAClientThatIsStillSending,
                        server_fixture) {
  server_limits limits;
  limits.max_body_bytes = 1000;
  subject.SetLimits(limits);
  raw_client client(*this, subject.port());
  const std::string piece(20000, 'b');
  client.Send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
  client.ReadUntil("HTTP/1.1 413 ");
  for (int i = 0; i < 5; ++i) {
    client.Send(piece);
    loop.restart();
    loop.poll();
  }
  BOOST_TEST(!client.WasReset());
  BOOST_TEST(subject.connection_count() == 1);
  client.Close();
  RunUntil([&] { return subject.connection_count() == 0; });
}

BOOST_FIXTURE_TEST_CASE(RaisedLimitsApplyToConnectionsThatAreIdleAlready,
                        server_fixture) {
  server_limits limits;
  limits.max_head_bytes = 100;
  limits.max_body_bytes = 10;
  subject.SetLimits(limits);
  raw_client client(*this, subject.port());
  client.Send(kGet);
  client.ReadUntil("body of");
  limits.max_head_bytes = 1000;
  limits.max_body_bytes = 100;
  subject.SetLimits(limits);
  client.Send("POST /p HTTP/1.1\r\nHost: h\r\nA: " + std::string(200, 'a') +
              "\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'b'));
  RunUntil(
      [&] { return subject.connection_count() == 0 || requests.size() == 2; });
  BOOST_TEST(requests.size() == 2);
}

// The limits in force when a request begins hold until it ends.
BOOST_FIXTURE_TEST_CASE(LoweredLimitsSpareARequestThatIsBeingRead,
                        server_fixture) {
  raw_client client(*this, subject.port());
  client.Send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nbb");
  RunUntil([&] { return subject.connection_count() == 1; });
  loop.restart();
  loop.poll();
  server_limits limits;
  limits.max_head_bytes = 10;
  limits.max_body_bytes = 10;
  limits.idle_timeout = Milliseconds(1);
  subject.SetLimits(limits);
  client.Send(std::string(18, 'b'));
  BOOST_TEST(client.ReadUntil("body of").starts_with("HTTP/1.1 200 "));
}

// The idle time begins when the answer has been sent, not when it is complete.
BOOST_FIXTURE_TEST_CASE(AnIdleTimeoutDoesNotCutAnAnswerThatIsBeingSent,
                        server_fixture) {
  answer_at_once = false;
  server_limits limits;
  limits.idle_timeout = Milliseconds(200);
  subject.SetLimits(limits);
  raw_client client(*this, subject.port());
  client.Send(kGet);
  RunUntil([&] { return !replies.empty(); });
  const std::string body = std::string(32'000'000, 'b') + "end";
  replies[0]->Respond({200, {}}, body);
  timer pause(loop);
  bool is_over = false;
  pause.Start(Milliseconds(500), [&] { is_over = true; });
  RunUntil([&] { return is_over; });
  BOOST_TEST(client.ReadUntil("end").ends_with("bend"));
}

BOOST_AUTO_TEST_CASE(ParsesAddresses) {
  BOOST_TEST(ParseEndpoint("127.0.0.1:80").value().port() == 80);
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "h:80", "1.2.3.4:x", "1.2.3.4:70000"})
    BOOST_TEST(!ParseEndpoint(text));
}

}  // namespace
}  // namespace jasminepath::http
