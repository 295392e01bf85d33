// Runs real nodes between stand-ins on loopback, harms them from outside as a
// seed says, and checks the promises from what callers and endpoints see.

#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <string>

#include "caller.h"
#include "configuration_prober.h"
#include "fault_injector.h"
#include "promise_ledger.h"
#include "soak_bounds.h"
#include "soak_site.h"

namespace {

using namespace jasminepath;

constexpr int kExitKept = 0;
constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;
// Until the nodes have started, before any call.
constexpr duration kStartUp = Seconds(2);
// How long callers are watched after the recovery.
constexpr duration kWatch = Seconds(4);
constexpr duration kSupervision = Milliseconds(50);
// Details that the report shows of each broken promise.
constexpr std::size_t kDetailsShown = 5;

struct soak_plan {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  int nodes = 6;
  duration faults = Seconds(30);
  int64_t node_memory_kb = soak::kNodeMemoryKb;
};

class soak_run {
 public:
  explicit soak_run(const soak_plan& plan)
      : plan_(plan),
        ledger_(soak::soak_site::Allowances()),
        site_(loop_,
              ledger_,
              plan.program,
              plan.folder,
              plan.nodes,
              plan.seed,
              plan.node_memory_kb),
        crowd_(loop_, site_, ledger_, random_engine(plan.seed)),
        prober_(loop_, site_, ledger_),
        injector_(loop_, site_, random_engine(plan.seed + 1)),
        supervision_(loop_) {}

  int Run() {
    site_.NoteDisturbance(boot_clock::now() + kStartUp);
    Supervise();
    RunFor(kStartUp);
    crowd_.Start();
    prober_.Start();
    injector_.Start(plan_.faults);
    RunFor(plan_.faults + soak::kContact + soak::kRecovery);
    const time_point recovered = boot_clock::now();
    RunFor(kWatch);
    CheckRecovery(recovered);
    crowd_.Stop();
    prober_.Stop();
    return Report();
  }

 private:
  void Supervise() {
    site_.Supervise();
    supervision_.Start(kSupervision, [this] { Supervise(); });
  }

  void RunFor(duration length) {
    loop_.restart();
    loop_.run_for(length);
  }

  void CheckRecovery(time_point since) {
    const auto ended = static_cast<double>(crowd_.ended_since(since));
    const auto answered = static_cast<double>(crowd_.answered_since(since));
    if (ended == 0 || answered / ended < soak::kRecoveredShare)
      ledger_.Break("callers are served again after the faults",
                    std::to_string(answered) + " of " + std::to_string(ended));
    recovered_ = ended == 0 ? 0 : answered / ended;
  }

  int Report() const {
    const soak::soak_counts& counts = ledger_.counts();
    std::cout << "seed=" << plan_.seed << " calls=" << counts.calls
              << " answered=" << counts.answered
              << " refused=" << counts.refused << " failed=" << counts.failed
              << " left=" << counts.left << " runs=" << counts.runs
              << " orders=" << counts.orders << " recovered=" << recovered_
              << " broken=" << ledger_.violations().size();
    for (const auto& [name, count] : injector_.counts())
      std::cout << " " << name << "=" << count;
    std::cout << "\n";
    for (const auto& [promise, details] : ledger_.violations()) {
      std::cout << "  broken: " << promise << ", " << details.size()
                << " times\n";
      for (std::size_t i = 0; i < std::min(details.size(), kDetailsShown); ++i)
        std::cout << "    " << details[i] << "\n";
    }
    return ledger_.violations().empty() ? kExitKept : kExitBroken;
  }

  soak_plan plan_;
  http::event_loop loop_;
  soak::promise_ledger ledger_;
  soak::soak_site site_;
  soak::caller_crowd crowd_;
  soak::configuration_prober prober_;
  soak::fault_injector injector_;
  http::timer supervision_;
  double recovered_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("soak", "Harms real nodes and checks the promises.");
  options.add_options()("program", "path of jasminepathd",
                        cxxopts::value<std::string>())(
      "folder", "for settings and logs", cxxopts::value<std::string>())(
      "seed", "draws the calls and faults",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "nodes", "nodes to run", cxxopts::value<int>()->default_value("6"))(
      "memory-mb", "what a node may use; more with sanitizers",
      cxxopts::value<int64_t>())("seconds", "time with faults",
                                 cxxopts::value<int>()->default_value("40"))(
      "help", "show this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return kExitKept;
    }
    soak_plan plan;
    plan.program = parsed["program"].as<std::string>();
    plan.folder = parsed["folder"].as<std::string>();
    plan.seed = parsed["seed"].as<uint64_t>();
    plan.nodes = parsed["nodes"].as<int>();
    if (parsed.count("memory-mb") > 0)
      plan.node_memory_kb = parsed["memory-mb"].as<int64_t>() * 1024;
    plan.faults = Seconds(parsed["seconds"].as<int>());
    std::filesystem::create_directories(plan.folder);
    return soak_run(plan).Run();
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return kExitUsage;
  }
}
