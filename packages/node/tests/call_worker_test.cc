#include "call_worker.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include "caller_connection.h"
#include "http_server.h"
#include "inbound_call.h"
#include "open_call_registry.h"
#include "raw_caller.h"
#include "recorded_answer.h"

namespace jasminepath::node {
namespace {

constexpr char kRequest[] =
    "POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Content-Length: 2\r\n\r\n{}";
constexpr char kKeyedRequest[] =
    "POST /orders HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Idempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}";

// A server whose workers talk to the test in place of the decision thread.
class worker_site {
 public:
  worker_site()
      : events_(16),
        server_(
            MakeSettings(),
            [this](auto& request, auto& response) {
              const request_id id("r-1");
              caller_connection caller(request, response, id);
              worker_limits limits;
              limits.caller_check_interval = Milliseconds(1);
              call_worker worker(ReadInboundCall(request, id, {}).value(),
                                 caller, events_, limits);
              worker.Run();
            },
            [](auto&, auto&) {}) {}

  std::string address() const { return server_.address(); }
  node_event_ring& events() { return events_; }

  // Waits for the call of the next request.
  call_arrived WaitForCall() {
    auto event = events_.PopWithin(Seconds(20));
    return std::get<call_arrived>(std::move(event.value()));
  }

 private:
  static http_server_settings MakeSettings() {
    http_server_settings settings;
    settings.listen = "127.0.0.1:0";
    return settings;
  }

  node_event_ring events_;
  http_server server_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_CASE(CallThatWasNeverSentIsRefusedAsNotRunWhenNodeEnds) {
  worker_site site;
  raw_caller caller(site.address());
  caller.Send(kRequest);
  site.WaitForCall();
  site.events().Close();
  const std::string answer = caller.ReadAll();
  BOOST_TEST(Contains(answer, "\"run\":\"not_run\""), answer);
  BOOST_TEST(Contains(answer, "\"code\":\"shutting_down\""), answer);
}

BOOST_AUTO_TEST_CASE(CallWithKeyOfAnEarlierCallIsNotRefusedAsNotRun) {
  worker_site site;
  raw_caller caller(site.address());
  caller.Send(kKeyedRequest);
  site.WaitForCall();
  site.events().Close();
  const std::string answer = caller.ReadAll();
  BOOST_TEST(Contains(answer, "\"run\":\"unknown\""), answer);
}

BOOST_AUTO_TEST_CASE(CallAfterEndOfDecisionsIsRefusedAsStopping) {
  worker_site site;
  site.events().Close();
  raw_caller caller(site.address());
  caller.Send(kRequest);
  const std::string answer = caller.ReadAll();
  BOOST_TEST(Contains(answer, "\"run\":\"not_run\""), answer);
  BOOST_TEST(Contains(answer, "\"code\":\"shutting_down\""), answer);
}

BOOST_AUTO_TEST_CASE(AnswerThatIsSentToWorkerWhileNodeEndsReachesCaller) {
  worker_site site;
  raw_caller caller(site.address());
  caller.Send(kRequest);
  const call_arrived call = site.WaitForCall();
  site.events().Close();
  // Many times the interval at which the worker looks.
  std::this_thread::sleep_for(Milliseconds(50));
  call.channel->Send(
      send_recorded_answer{EncodeRecordedAnswer({201, {}, "made"})});
  const std::string answer = caller.ReadAll();
  BOOST_TEST(answer.ends_with("made"), answer);
}

BOOST_AUTO_TEST_CASE(AbortTellsWhichCallsWereNeverSent) {
  open_call_registry calls;
  const auto fresh = std::make_shared<call_channel>();
  const auto sent = std::make_shared<call_channel>();
  calls.Add(request_id("fresh"), fresh, time_point());
  calls.Add(request_id("sent"), sent, time_point());
  calls.Find(request_id("sent"))->may_have_run = true;
  calls.AbortAll(refusal{refusal_code::shutting_down, run_state::unknown,
                         "stopped", std::nullopt});
  const auto run_of = [](call_channel& channel) {
    return std::get<send_refusal>(channel.Wait(Seconds(0)).value()).reason.run;
  };
  BOOST_TEST((run_of(*fresh) == run_state::not_run));
  BOOST_TEST((run_of(*sent) == run_state::unknown));
}

}  // namespace
}  // namespace jasminepath::node
