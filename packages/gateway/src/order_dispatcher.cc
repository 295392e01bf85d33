#include "order_dispatcher.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

// Table and key of the row that names the placement holder.
constexpr char kAuthorityTable[] = "jasminepath-authority";
constexpr char kAuthorityKey[] = "placement";
// Timeout of an order or a state query; engines answer both immediately.
constexpr duration kEngineCallTimeout = Milliseconds(800);
// Limit on an engine's answer. A report lists what the engine holds and runs.
constexpr std::size_t kMaxEngineAnswerBytes = std::size_t{256} << 10;
// Minimum time between two plans, per endpoint. A plan takes about a tenth of
// it for any fleet size (see bench/gateway).
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
  terms.engines_check_fencing = settings.bounds.engines_check_fencing;
  terms.candidate_delay = candidate_delay;
  return terms;
}

}  // namespace

order_dispatcher::order_dispatcher(http::event_loop& loop,
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

void order_dispatcher::SetSite(const site& value) {
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
  if (ShouldFollowEndpoints(now))
    UpdatePlanners(now);
}

void order_dispatcher::SetCandidate(bool candidate, time_point now) {
  lease_.SetCandidate(candidate);
  const bool followed = ShouldFollowEndpoints(now);
  candidate_ = candidate;
  if (ShouldFollowEndpoints(now) && !followed)
    UpdatePlanners(now);
}

void order_dispatcher::UpdatePlanners(time_point now) {
  const auto entries = endpoints_.Entries();
  for (auto& [service, planner] : planners_)
    planner.OnEndpoints(entries, now);
}

void order_dispatcher::OnEndpoints(const endpoint_changes& changes,
                                   time_point now) {
  if (!ShouldFollowEndpoints(now))
    return;
  for (auto& [service, planner] : planners_)
    planner.OnChanges(changes, now);
}

void order_dispatcher::OnDigest(const peer_digest& digest, time_point now) {
  // A peer may see the store's return first.
  if (store_.era() != store_era() && store_era(digest.store_era) > store_.era())
    lease_.OnStoreEra(store_era(digest.store_era), now);
  if (digest.authority_epoch > 0)
    lease_.OnHolderDigest(
        digest.authority_holder, epoch(digest.authority_epoch),
        store_version(store_era(digest.store_era), digest.authority_version),
        now);
  if (!digest.has_demand)
    return;
  for (auto& [service, planner] : planners_)
    planner.OnDigest(digest, now);
}

void order_dispatcher::OnUrgentDemand(const peer_digest& digest,
                                      time_point now) {
  if (!lease_.IsHolder(now))
    return;
  for (auto& [service, planner] : planners_)
    planner.OnUrgentDemand(digest, now);
  Tick(now);
}

void order_dispatcher::ForgetPeer(const vm_id& node) {
  for (auto& [service, planner] : planners_)
    planner.ForgetNode(node);
}

void order_dispatcher::Tick(time_point now) {
  StepLease(now);
  UpdateHolder(now);
  if (lease_.IsHolder(now))
    SendOrders(now);
}

void order_dispatcher::BeginStop(time_point now) {
  lease_.Release();
  StepLease(now);
}

void order_dispatcher::StepLease(time_point now) {
  const lease_step step = lease_.Next(now);
  switch (step.type) {
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

void order_dispatcher::OnLeaseRead(const store_answer& answer) {
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
    return UpdateHolder(now);
  }
  lease_.OnRead(std::nullopt, answer.page.version, now);
}

void order_dispatcher::OnLeaseWritten(const store_answer& answer) {
  const time_point now = boot_clock::now();
  if (answer.status == store_status::done)
    lease_.OnWritten(answer.written, now);
  else if (answer.status == store_status::conflict)
    lease_.OnConflict(now);
  else
    lease_.OnFailure(now);
  UpdateHolder(now);
}

// Logs a change of the placement holder, and starts the planners when this node
// becomes the holder.
void order_dispatcher::UpdateHolder(time_point now) {
  const bool held = lease_.IsHolder(now);
  if (held != was_holder_) {
    was_holder_ = held;
    log_.Write(report::log_level::info,
               held ? "placement_taken" : "placement_lost",
               {{"epoch", lease_.fencing().count()},
                {"row_version", lease_.version().number()}});
    if (held) {
      for (auto& [service, planner] : planners_)
        planner.Begin(now);
    }
  }
  if (lease_.holder() == last_holder_)
    return;
  last_holder_ = lease_.holder();
  log_.Write(
      report::log_level::info, "placement_holder",
      {{"holder", last_holder_.value()}, {"epoch", lease_.fencing().count()}});
}

void order_dispatcher::SendOrders(time_point now) {
  if (now < next_plan_at_)
    return;
  next_plan_at_ = now + kPlanSpacing * static_cast<int64_t>(endpoints_.size());
  for (auto& [service, planner] : planners_) {
    for (engine_order& order : planner.Plan(now))
      SendOrder(std::move(order));
    for (load_notice& notice : planner.TakeNotices()) {
      notice.authority_epoch = lease_.fencing().count();
      if (on_notice_)
        on_notice_(notice);
    }
    for (const endpoint_id& engine : planner.TakeEnginesToQuery(now))
      RequestReport(engine);
  }
}

void order_dispatcher::Call(pooled_endpoint& endpoint,
                            const http::request& message,
                            std::function<void(const http::response*)> done) {
  calls_.emplace_back();
  const auto entry = std::prev(calls_.end());
  *entry = std::make_unique<http::buffered_call>(
      loop_, *endpoint.client, message, kEngineCallTimeout,
      kMaxEngineAnswerBytes,
      [this, entry, done = std::move(done)](const http::response* answer,
                                            http::call_failure) {
        const auto finished = std::move(*entry);
        calls_.erase(entry);
        done(answer);
      });
}

void order_dispatcher::SendOrder(engine_order order) {
  const auto endpoint = endpoints_.Find(order.endpoint);
  if (!endpoint)
    return OnOrderAnswer(order, order_verdict::invalid);
  ++sent_orders_;
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

void order_dispatcher::OnOrderAnswer(const engine_order& order,
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

placement_planner* order_dispatcher::PlannerOf(const endpoint_id& engine) {
  const auto endpoint = endpoints_.Find(engine);
  if (!endpoint)
    return nullptr;
  const auto found = planners_.find(endpoint->entry.service);
  return found == planners_.end() ? nullptr : &found->second;
}

void order_dispatcher::RequestReport(const endpoint_id& engine) {
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
