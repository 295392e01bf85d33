#ifndef JASMINEPATH_SOAK_CONFIGURATION_PROBER_H_
#define JASMINEPATH_SOAK_CONFIGURATION_PROBER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "promise_ledger.h"
#include "soak_site.h"

namespace jasminepath::soak {

// Asks each node for what the last configurations have added and taken away, to
// see that each is in force in time and that none comes back.
class configuration_prober {
 public:
  configuration_prober(http::event_loop& loop,
                       soak_site& site,
                       promise_ledger& ledger);

  void Start();
  void Stop() { stopped_ = true; }

 private:
  // What a question is about.
  enum class subject { added_route, removed_route, withdrawn_key };
  struct question {
    std::size_t node = 0;
    int64_t incarnation = 0;
    int64_t version = 0;
    subject about = subject::added_route;
    planned_call call;
    time_point sent_at;
    std::unique_ptr<running_call> running;
  };
  struct known_node {
    std::unique_ptr<http::client> client;
    int64_t incarnation = -1;
    // The newest configuration that this process has shown.
    int64_t shown = 0;
  };

  void AskAll();
  void Ask(std::size_t node, subject about);
  void OnAnswer(const question& asked, const call_end& end);

  http::event_loop& loop_;
  soak_site& site_;
  promise_ledger& ledger_;
  http::timer timer_;
  std::vector<known_node> nodes_;
  std::list<question> questions_;
  int64_t last_question_ = 0;
  bool stopped_ = false;
};

}  // namespace jasminepath::soak

#endif  // JASMINEPATH_SOAK_CONFIGURATION_PROBER_H_
