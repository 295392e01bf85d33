#include "order_desk.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Table and key of the row that says who places models.
constexpr char kAuthorityTable[] = "jasminepath-authority";
constexpr char kAuthorityKey[] = "placement";
// Time limit of an order and of a call for an engine's state; both are
// answered at once.
constexpr duration kEngineCallTimeout = Milliseconds(800);
// Least time between two plans, for each endpoint: a plan takes about a tenth
// of it (bench/gateway), whatever the size of the fleet.
constexpr duration kPlanSpacing = std::chrono::microseconds(20);

std::string_view NameOf(order_kind kind) {
  return kind == order_kind::load ? "load" : "unload";
}

std::string_view NameOf(order_verdict verdict) {
  switch (verdict) {
    case order_verdict::accepted:
      return "accepted";
    case order_verdict::already_holds:
      return "already_holds";
    case order_verdict::conflict:
      return "conflict";
    case order_verdict::fenced:
      return "fenced";
    case order_verdict::other_endpoint:
      return "other_endpoint";
    case order_verdict::invalid:
      return "invalid";
    case order_verdict::no_answer:
      return "no_answer";
  }
  return "unknown";
}

placement_lease::terms TermsOf(const gateway_settings& settings,
                               duration candidate_delay) {
  placement_lease::terms terms;
  terms.lease = settings.bounds.lease;
  terms.fenced = settings.bounds.engines_check_fencing;
  terms.delay = candidate_delay;
  return terms;
}

}  // namespace

order_desk::order_desk(http::event_loop& loop,
                       const gateway_settings& settings,
                       uint64_t incarnation,
                       duration candidate_delay,
                       store_client& store,
                       const engine_codec& codec,
                       endpoint_pool& endpoints,
                       report::event_log& log)
    : loop_(loop),
      settings_(settings),
      store_(store),
      codec_(codec),
      endpoints_(endpoints),
      log_(log),
      lease_(settings.node, incarnation, TermsOf(settings, candidate_delay)) {}

void order_desk::SetSite(const site& value) {
  for (const service_spec& spec : value.services()) {
    if (!spec.engine)
      continue;
    const auto planner =
        planners_.try_emplace(spec.service, spec.service).first;
    planner->second.SetEngineSpec(*spec.engine);
  }
  std::erase_if(planners_, [&](const auto& item) {
    const service_spec* spec = value.FindService(item.first);
    return spec == nullptr || !spec->engine;
  });
  const time_point now = boot_clock::now();
  if (FollowsEndpoints(now))
    ShowEndpoints(now);
}

void order_desk::SetCandidate(bool candidate, time_point now) {
  lease_.SetCandidate(candidate);
  const bool followed = FollowsEndpoints(now);
  candidate_ = candidate;
  if (FollowsEndpoints(now) && !followed)
    ShowEndpoints(now);
}

void order_desk::ShowEndpoints(time_point now) {
  const auto entries = endpoints_.Entries();
  for (auto& [service, planner] : planners_)
    planner.OnEndpoints(entries, now);
}

void order_desk::OnEndpoints(const endpoint_changes& changes, time_point now) {
  if (!FollowsEndpoints(now))
    return;
  for (auto& [service, planner] : planners_)
    planner.OnChanges(changes, now);
}

void order_desk::OnDigest(const peer_digest& digest, time_point now) {
  if (digest.authority_epoch > 0)
    lease_.OnHolderDigest(digest.authority_holder,
                          epoch(digest.authority_epoch),
                          revision(digest.authority_version), now);
  if (!digest.has_demand)
    return;
  for (auto& [service, planner] : planners_)
    planner.OnDigest(digest, now);
}

void order_desk::OnWants(const peer_digest& digest, time_point now) {
  if (!lease_.Holds(now))
    return;
  for (auto& [service, planner] : planners_)
    planner.OnWants(digest, now);
  Tick(now);
}

void order_desk::ForgetPeer(const vm_id& node) {
  for (auto& [service, planner] : planners_)
    planner.ForgetNode(node);
}

void order_desk::Tick(time_point now) {
  StepLease(now);
  NoteHolder(now);
  if (lease_.Holds(now))
    GiveOrders(now);
}

void order_desk::BeginStop(time_point now) {
  lease_.Release();
  StepLease(now);
}

void order_desk::StepLease(time_point now) {
  const lease_step step = lease_.Next(now);
  switch (step.what) {
    case lease_step::action::none:
      return;
    case lease_step::action::read:
      lease_call_ = store_.Read(
          kAuthorityTable, kAuthorityKey, kRowTimeout,
          [this](const store_answer& answer) { OnLeaseRead(answer); });
      return;
    case lease_step::action::write:
      lease_call_ = store_.Write(
          {kAuthorityTable, kAuthorityKey, EncodeAuthority(step.row),
           step.expected},
          [this](const store_answer& answer) { OnLeaseWritten(answer); });
      return;
  }
}

void order_desk::OnLeaseRead(const store_answer& answer) {
  const time_point now = boot_clock::now();
  if (answer.status != store_status::done)
    return lease_.OnFailure(now);
  for (const table_row& row : answer.page.rows) {
    if (row.key != kAuthorityKey)
      continue;
    const auto decoded = DecodeAuthority(row.value);
    if (!decoded) {
      log_.Write(report::log_level::warning, "authority_unreadable",
                 {{"reason", decoded.error().message}});
      return lease_.OnFailure(now);
    }
    lease_.OnRead(decoded.value(), row.version, now);
    return NoteHolder(now);
  }
  lease_.OnRead(std::nullopt, revision(0), now);
}

void order_desk::OnLeaseWritten(const store_answer& answer) {
  const time_point now = boot_clock::now();
  if (answer.status == store_status::done)
    lease_.OnWritten(answer.written, now);
  else if (answer.status == store_status::conflict)
    lease_.OnConflict(now);
  else
    lease_.OnFailure(now);
  NoteHolder(now);
}

// Logs and acts on a change of the node that places models.
void order_desk::NoteHolder(time_point now) {
  const bool held = lease_.Holds(now);
  if (held != held_before_) {
    held_before_ = held;
    log_.Write(report::log_level::info,
               held ? "placement_taken" : "placement_lost",
               {{"epoch", lease_.fencing().count()},
                {"row_version", lease_.version().count()}});
    if (held) {
      for (auto& [service, planner] : planners_)
        planner.Begin(now);
    }
  }
  if (lease_.holder() == holder_before_)
    return;
  holder_before_ = lease_.holder();
  log_.Write(report::log_level::info, "placement_holder",
             {{"holder", holder_before_.value()},
              {"epoch", lease_.fencing().count()}});
}

void order_desk::GiveOrders(time_point now) {
  if (now < next_plan_at_)
    return;
  next_plan_at_ = now + kPlanSpacing * static_cast<int64_t>(endpoints_.size());
  for (auto& [service, planner] : planners_) {
    for (engine_order& order : planner.Plan(now))
      Give(std::move(order));
    for (load_notice& notice : planner.TakeNotices()) {
      notice.authority_epoch = lease_.fencing().count();
      if (on_notice_)
        on_notice_(notice);
    }
    for (const endpoint_id& engine : planner.EnginesToAsk(now))
      Ask(engine);
  }
}

void order_desk::Call(pooled_endpoint& endpoint,
                      const http::request& message,
                      std::function<void(const http::response*)> done) {
  calls_.emplace_back();
  const auto place = std::prev(calls_.end());
  *place = std::make_unique<http::whole_call>(
      loop_, *endpoint.client, message, kEngineCallTimeout,
      [this, place, done = std::move(done)](const http::response* answer,
                                            http::call_failure) {
        const auto finished = std::move(*place);
        calls_.erase(place);
        done(answer);
      });
}

void order_desk::Give(engine_order order) {
  const auto endpoint = endpoints_.Find(order.endpoint);
  if (!endpoint)
    return OnOrderAnswer(order, order_verdict::invalid);
  ++orders_;
  engine_order sent = order;
  sent.holder = settings_.node.value();
  sent.fencing = lease_.fencing();
  Call(*endpoint, codec_.EncodeOrder(sent),
       [this, order](const http::response* answer) {
         OnOrderAnswer(order, answer != nullptr
                                  ? codec_.DecodeOrderAnswer(*answer)
                                  : order_verdict::no_answer);
       });
}

void order_desk::OnOrderAnswer(const engine_order& order,
                               order_verdict verdict) {
  log_.Write(report::log_level::info, "order",
             {{"engine", order.endpoint.value()},
              {"kind", NameOf(order.kind)},
              {"model", order.model.value()},
              {"adapter", order.adapter.value()},
              {"order_count", order.if_order_count.value_or(-1)},
              {"epoch", lease_.fencing().count()},
              {"outcome", NameOf(verdict)}});
  if (verdict == order_verdict::fenced)
    lease_.OnFenced();
  const time_point now = boot_clock::now();
  if (placement_planner* planner = PlannerOf(order.endpoint))
    planner->OnOrderAnswer(order, verdict, now);
  Tick(now);
}

placement_planner* order_desk::PlannerOf(const endpoint_id& engine) {
  const auto endpoint = endpoints_.Find(engine);
  if (!endpoint)
    return nullptr;
  const auto found = planners_.find(endpoint->entry.service);
  return found == planners_.end() ? nullptr : &found->second;
}

void order_desk::Ask(const endpoint_id& engine) {
  const auto endpoint = endpoints_.Find(engine);
  if (!endpoint)
    return;
  Call(*endpoint, codec_.EncodeReportCall(),
       [this, engine](const http::response* answer) {
         if (answer == nullptr)
           return;
         const auto report = codec_.DecodeReport(*answer);
         if (!report) {
           log_.Write(report::log_level::warning, "report_unreadable",
                      {{"engine", engine.value()},
                       {"reason", report.error().message}});
           return;
         }
         const time_point now = boot_clock::now();
         if (placement_planner* planner = PlannerOf(engine))
           planner->OnReport(engine, report.value(), now);
         Tick(now);
       });
}

}  // namespace jasminepath::gateway
