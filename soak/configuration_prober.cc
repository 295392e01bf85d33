#include "configuration_prober.h"

#include <algorithm>
#include <utility>

#include "jasminepath/http/server.h"
#include "soak_bounds.h"

namespace jasminepath::soak {
namespace {

constexpr duration kAskInterval = Milliseconds(300);

bool IsServed(const call_end& end) {
  return end.is_whole && end.status == 200;
}

}  // namespace

configuration_prober::configuration_prober(http::event_loop& loop,
                                           soak_site& site,
                                           promise_ledger& ledger)
    : loop_(loop), site_(site), ledger_(ledger), timer_(loop) {
  for (const site_node& node : site.nodes()) {
    known_node known;
    known.client = std::make_unique<http::client>(
        loop,
        http::ParseEndpoint(node.process->plan().caller_address()).value());
    nodes_.push_back(std::move(known));
  }
}

void configuration_prober::Start() {
  timer_.Start(kAskInterval, [this] {
    if (stopped_)
      return;
    AskAll();
    Start();
  });
}

void configuration_prober::AskAll() {
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (!site_.nodes()[node].process->running())
      continue;
    Ask(node, subject::added_route);
    if (site_.version() > 1) {
      Ask(node, subject::removed_route);
      Ask(node, subject::withdrawn_key);
    }
  }
}

void configuration_prober::Ask(std::size_t node, subject about) {
  questions_.emplace_back();
  const auto place = std::prev(questions_.end());
  place->node = node;
  place->incarnation = site_.nodes()[node].incarnation;
  place->version = site_.version();
  place->about = about;
  place->sent_at = boot_clock::now();
  planned_call& call = place->call;
  call.id = "p" + std::to_string(++last_question_);
  call.kind = call_kind::repeatable;
  call.tokens = 10;
  call.patience = Seconds(4);
  call.team = "passing";
  call.key = site_.PassingKey(site_.version());
  switch (about) {
    case subject::added_route:
      call.target = "/v" + std::to_string(site_.version()) + "/" + call.id;
      // A node that does not know the key yet may know the route.
      call.team = "beads";
      call.key = "key1";
      break;
    case subject::removed_route:
      call.target = "/v" + std::to_string(site_.version() - 1) + "/" + call.id;
      call.team = "beads";
      call.key = "key1";
      break;
    case subject::withdrawn_key:
      call.target = "/look/" + call.id;
      call.key = site_.PassingKey(site_.version() - 1);
      break;
  }
  ledger_.OnSent(call, place->sent_at);
  place->running = std::make_unique<running_call>(
      loop_, *nodes_[node].client, call, duration::zero(),
      [this, place](const call_end& end) {
        const question asked = std::move(*place);
        questions_.erase(place);
        OnAnswer(asked, end);
      });
}

void configuration_prober::OnAnswer(const question& asked,
                                    const call_end& end) {
  known_node& node = nodes_[asked.node];
  const bool same_process =
      site_.nodes()[asked.node].incarnation == asked.incarnation;
  if (!same_process || asked.version != site_.version())
    return;
  if (node.incarnation != asked.incarnation) {
    node.incarnation = asked.incarnation;
    node.shown = 0;
  }
  const std::string where = site_.nodes()[asked.node].process->plan().name +
                            ", version " + std::to_string(asked.version);
  const bool is_due =
      asked.sent_at - site_.changed_at() > kConfigurationBound &&
      site_.WasCalm(site_.changed_at());
  const bool is_old =
      asked.about == subject::added_route ? end.status == 404 : IsServed(end);
  if (asked.about == subject::added_route && IsServed(end)) {
    node.shown = std::max(node.shown, asked.version);
    return;
  }
  if (!is_old)
    return;
  if (is_due)
    ledger_.Break("configurations are in force in time", where);
  if (node.shown >= asked.version && asked.about == subject::added_route)
    ledger_.Break("configurations do not come back", where);
}

}  // namespace jasminepath::soak
