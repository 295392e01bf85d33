// Measures streamed completions from one address, with a fixed number of
// concurrent streams that each send their calls sequentially.
//
//   loadgen --target 127.0.0.1:PORT --streams 32 --calls 10 [--key KEY]
//
// Prints one line of key=value pairs; times are in milliseconds.

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/random.h"
#include "jasminepath/endpoint/exchange.h"

namespace jasminepath::bench {
namespace {

constexpr std::size_t kRequestIdBytes = 16;
constexpr int kOkStatus = 200;
constexpr duration kCallDeadline = Seconds(120);
constexpr duration kMemorySampleInterval = Milliseconds(50);
constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";
constexpr int kMaxStreams = 1024;

struct load_plan {
  endpoint::endpoint_address target;
  std::string key;
  std::string model;
  int streams = 1;
  int calls = 1;
  int max_tokens = 16;
  // Process whose resident memory is sampled; 0 for none.
  int process = 0;
};

// Measurements of one stream of calls.
struct stream_measures {
  std::vector<double> first_byte_ms;
  std::vector<double> gap_ms;
  int failed = 0;
};

// Measures the time to the first byte and the gaps between the chunks of one
// answer.
class timing_sink {
 public:
  explicit timing_sink(stream_measures& measures)
      : measures_(measures), last_data_at_(boot_clock::now()) {}

  void OnHead(int status, const std::vector<endpoint::header>&) {
    status_ = status;
  }
  bool OnBody(std::string_view data) {
    const time_point now = boot_clock::now();
    const double waited = ToSeconds(now - last_data_at_) * 1000;
    last_data_at_ = now;
    (is_first_ ? measures_.first_byte_ms : measures_.gap_ms).push_back(waited);
    is_first_ = false;
    tail_.append(data);
    if (tail_.size() > kStreamEnd.size())
      tail_.erase(0, tail_.size() - kStreamEnd.size());
    return true;
  }
  bool IsComplete() const {
    return status_ == kOkStatus && tail_ == kStreamEnd;
  }

 private:
  stream_measures& measures_;
  time_point last_data_at_;
  bool is_first_ = true;
  int status_ = 0;
  std::string tail_;
};

endpoint::outbound_request MakeRequest(const load_plan& plan) {
  endpoint::outbound_request request;
  request.address = plan.target;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"}};
  if (!plan.key.empty())
    request.headers.push_back({"Authorization", "Bearer " + plan.key});
  request.request_id = SecureRandomHex(kRequestIdBytes);
  request.echo = endpoint::echo_rule::ignored;
  request.body = fmt::format(
      R"({{"model":"{}","stream":true,"max_tokens":{},"messages":[{{"role":"user","content":"pattern {}"}}]}})",
      plan.model, plan.max_tokens, request.request_id);
  return request;
}

stream_measures RunStream(const load_plan& plan) {
  stream_measures measures;
  for (int call = 0; call < plan.calls; ++call) {
    const endpoint::outbound_request request = MakeRequest(plan);
    const endpoint::cancellation never;
    const endpoint::exchange_deadlines deadlines{
        boot_clock::now() + kCallDeadline, kCallDeadline, kCallDeadline};
    timing_sink sink(measures);
    const auto ended = endpoint::Run(request, sink, never, deadlines);
    if (!ended || !sink.IsComplete())
      ++measures.failed;
  }
  return measures;
}

// Returns the value at a quantile, or 0 if there are no values. Reorders
// `values`.
double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

// Returns the resident memory of a process in kB, or 0 if it cannot be read.
int64_t ResidentKb(int process) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  std::string word;
  while (status >> word) {
    int64_t kb = 0;
    if (word == "VmRSS:" && status >> kb)
      return kb;
  }
  return 0;
}

// Runs all streams and returns their combined measurements. Raises `peak_kb` to
// the peak resident memory of `plan.process`.
stream_measures RunAll(const load_plan& plan, int64_t& peak_kb) {
  std::vector<stream_measures> parts(static_cast<std::size_t>(plan.streams));
  std::atomic<int> running = plan.streams;
  std::vector<std::thread> threads;
  for (stream_measures& part : parts) {
    threads.emplace_back([&plan, &part, &running] {
      part = RunStream(plan);
      --running;
    });
  }
  while (plan.process > 0 && running > 0) {
    peak_kb = std::max(peak_kb, ResidentKb(plan.process));
    std::this_thread::sleep_for(kMemorySampleInterval);
  }
  for (std::thread& thread : threads)
    thread.join();
  stream_measures all;
  for (const stream_measures& part : parts) {
    all.first_byte_ms.insert(all.first_byte_ms.end(),
                             part.first_byte_ms.begin(),
                             part.first_byte_ms.end());
    all.gap_ms.insert(all.gap_ms.end(), part.gap_ms.begin(), part.gap_ms.end());
    all.failed += part.failed;
  }
  return all;
}

void Report(const load_plan& plan, const std::string& label) {
  const int64_t before_kb = plan.process > 0 ? ResidentKb(plan.process) : 0;
  int64_t peak_kb = before_kb;
  const time_point began = boot_clock::now();
  stream_measures all = RunAll(plan, peak_kb);
  std::cout << fmt::format(
      "label={} streams={} calls={} failed={} seconds={:.2f} "
      "first_byte_p50_ms={:.2f} first_byte_p95_ms={:.2f} gap_p50_ms={:.2f} "
      "gap_p95_ms={:.2f} rss_before_kb={} rss_peak_kb={}\n",
      label, plan.streams, plan.streams * plan.calls, all.failed,
      ToSeconds(boot_clock::now() - began), Quantile(all.first_byte_ms, 0.5),
      Quantile(all.first_byte_ms, 0.95), Quantile(all.gap_ms, 0.5),
      Quantile(all.gap_ms, 0.95), before_kb, peak_kb);
}

int RunMain(int argc, char** argv) {
  cxxopts::Options options("loadgen", "Measures streamed completions");
  auto add = options.add_options();
  add("target", "IP address and port", cxxopts::value<std::string>());
  add("key", "team key", cxxopts::value<std::string>()->default_value(""));
  add("model", "model", cxxopts::value<std::string>()->default_value("m"));
  add("streams", "number of concurrent streams",
      cxxopts::value<int>()->default_value("1"));
  add("calls", "calls per stream", cxxopts::value<int>()->default_value("1"));
  add("tokens", "tokens per call", cxxopts::value<int>()->default_value("16"));
  add("process", "id of the process whose memory is sampled",
      cxxopts::value<int>()->default_value("0"));
  add("label", "name of the run",
      cxxopts::value<std::string>()->default_value("run"));
  add("help", "show this text");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0 || parsed.count("target") == 0) {
    std::cout << options.help();
    return parsed.count("help") > 0 ? 0 : 2;
  }
  load_plan plan;
  const std::string target = parsed["target"].as<std::string>();
  const std::size_t colon = target.rfind(':');
  plan.target.host = target.substr(0, colon);
  plan.target.port = static_cast<uint16_t>(std::stoi(target.substr(colon + 1)));
  plan.key = parsed["key"].as<std::string>();
  plan.model = parsed["model"].as<std::string>();
  plan.streams = std::clamp(parsed["streams"].as<int>(), 1, kMaxStreams);
  plan.calls = parsed["calls"].as<int>();
  plan.max_tokens = parsed["tokens"].as<int>();
  plan.process = parsed["process"].as<int>();
  Report(plan, parsed["label"].as<std::string>());
  return 0;
}

}  // namespace
}  // namespace jasminepath::bench

int main(int argc, char** argv) {
  try {
    return jasminepath::bench::RunMain(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "loadgen: " << error.what() << '\n';
    return 2;
  }
}
