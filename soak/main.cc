// Runs real nodes with stand-ins on loopback, injects faults drawn from a seed,
// and checks invariants against what callers, endpoints and engines observe.

#include <algorithm>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "configuration_prober.h"
#include "fault_injector.h"
#include "invariant_checker.h"
#include "load_generator.h"
#include "soak_bounds.h"
#include "soak_site.h"

namespace {

using namespace jasminepath;

constexpr int kExitPassed = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// Time for the nodes to start before the first call.
constexpr duration kStartUpTime = Seconds(2);
// How long calls are counted after the recovery time.
constexpr duration kObservationTime = Seconds(4);
constexpr duration kSupervisionInterval = Milliseconds(50);
// Maximum number of details that the report shows for each violated invariant.
constexpr std::size_t kMaxDetailsShown = 5;

struct soak_plan {
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  int nodes = 6;
  duration faults = Seconds(30);
  int64_t node_memory_kb = soak::kMaxNodeMemoryKb;
};

class soak_run {
 public:
  explicit soak_run(const soak_plan& plan)
      : plan_(plan),
        checker_(soak::soak_site::TeamAllowances()),
        site_(loop_,
              checker_,
              plan.program,
              plan.folder,
              plan.nodes,
              plan.node_memory_kb),
        load_generator_(loop_, site_, checker_, random_engine(plan.seed)),
        prober_(loop_, site_, checker_),
        injector_(loop_, site_, random_engine(plan.seed + 1)),
        supervision_timer_(loop_) {}

  int Run() {
    site_.NoteDisturbance(boot_clock::now() + kStartUpTime);
    Supervise();
    RunFor(kStartUpTime);
    load_generator_.Start();
    prober_.Start();
    injector_.Start(plan_.faults);
    RunFor(plan_.faults + soak::kSettlingTime + soak::kRecoveryTime);
    const time_point recovered = boot_clock::now();
    RunFor(kObservationTime);
    CheckRecovery(recovered);
    load_generator_.Stop();
    prober_.Stop();
    return Report();
  }

 private:
  void Supervise() {
    site_.Supervise();
    supervision_timer_.Start(kSupervisionInterval, [this] { Supervise(); });
  }

  void RunFor(duration length) {
    loop_.restart();
    loop_.run_for(length);
  }

  void CheckRecovery(time_point since) {
    const auto ended =
        static_cast<double>(load_generator_.CountEndedSince(since));
    const auto answered =
        static_cast<double>(load_generator_.CountAnsweredSince(since));
    if (ended == 0 || answered / ended < soak::kMinRecoveredShare)
      checker_.AddViolation(
          "callers are served again after the faults",
          std::to_string(answered) + " of " + std::to_string(ended));
    recovered_ = ended == 0 ? 0 : answered / ended;
  }

  int Report() const {
    const soak::soak_counts& counts = checker_.counts();
    std::cout << "seed=" << plan_.seed << " calls=" << counts.calls
              << " answered=" << counts.answered
              << " refused=" << counts.refused << " failed=" << counts.failed
              << " left=" << counts.cancelled << " cut=" << counts.cut
              << " lost=" << counts.lost << " runs=" << counts.runs
              << " orders=" << counts.orders << " recovered=" << recovered_
              << " broken=" << checker_.violations().size();
    for (const auto& [name, count] : injector_.counts())
      std::cout << " " << name << "=" << count;
    std::cout << "\n";
    WriteDetails();
    for (const auto& [invariant, details] : checker_.violations()) {
      std::cout << "  broken: " << invariant << ", " << details.size()
                << " times\n";
      for (std::size_t i = 0; i < std::min(details.size(), kMaxDetailsShown);
           ++i)
        std::cout << "    " << details[i] << "\n";
    }
    return checker_.violations().empty() ? kExitPassed : kExitFailed;
  }

  // Writes all violations and all calls that were cut in undisturbed time.
  void WriteDetails() const {
    std::ofstream violations(plan_.folder + "/violations.txt");
    for (const auto& [invariant, details] : checker_.violations()) {
      for (const std::string& detail : details)
        violations << invariant << ": " << detail << "\n";
    }
    std::ofstream cuts(plan_.folder + "/cuts.txt");
    for (const std::string& cut : checker_.cuts())
      cuts << cut << "\n";
  }

  soak_plan plan_;
  http::event_loop loop_;
  soak::invariant_checker checker_;
  soak::soak_site site_;
  soak::load_generator load_generator_;
  soak::configuration_prober prober_;
  soak::fault_injector injector_;
  http::timer supervision_timer_;
  double recovered_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options(
      "soak", "Injects faults into real nodes and checks invariants.");
  options.add_options()("program", "path of jasminepathd",
                        cxxopts::value<std::string>())(
      "folder", "folder for settings and logs", cxxopts::value<std::string>())(
      "seed", "seed of the calls and faults",
      cxxopts::value<uint64_t>()->default_value("1"))(
      "nodes", "number of nodes", cxxopts::value<int>()->default_value("6"))(
      "memory-mb", "memory limit of a node in MB; sanitizers need more",
      cxxopts::value<int64_t>())("seconds", "duration of the faults in seconds",
                                 cxxopts::value<int>()->default_value("62"))(
      "help", "show this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return kExitPassed;
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
