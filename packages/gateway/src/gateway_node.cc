#include "gateway_node.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

#include "call_session.h"
#include "jasminepath/base/digest.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::gateway {
namespace {

// Table in which nodes register their addresses.
constexpr char kNodeTable[] = "jasminepath-nodes";
constexpr char kAddressField[] = "address";
constexpr char kZoneField[] = "zone";
constexpr char kProcessorField[] = "processor";
constexpr char kMetricsPath[] = "/metrics";
constexpr char kLogLevel[] = "info";

// Interval of periodic work: leases, queues and detection of silent peers.
constexpr duration kTickInterval = Milliseconds(50);
// Number of nodes of a zone that poll the store for changes of the endpoint
// list and of the configuration.
constexpr int64_t kEndpointReadersPerZone = 1;
constexpr int64_t kSiteReadersPerZone = 2;
// Number of nodes of a zone that write the version history.
constexpr int64_t kVersionWritersPerZone = 1;
// Number of nodes of a zone that watch the placement lease and may take it.
constexpr int64_t kPlacementCandidatesPerZone = 1;
// The endpoint list changes all the time; configuration changes have to take
// effect soon. The site allows two seconds from a change in the store to its
// effect on every node; within them, a node that no longer hears of changes has
// to notice that and to read them itself.
constexpr follower_timing kEndpointTiming{Milliseconds(250), Milliseconds(500),
                                          Milliseconds(1100)};
constexpr follower_timing kSiteTiming{Milliseconds(120), Milliseconds(1000),
                                      Milliseconds(1300)};
// Time after the start in which the first digests of peers arrive, so that not
// every new node assumes that it is the first of its zone.
constexpr duration kStartupSettleTime = Milliseconds(600);
// Number of nodes of a zone up to which all send digests at the default
// interval. In larger zones the interval grows with the number of nodes,
// because each node receives the digests of all others, up to a multiple at
// which a team's use is still reported in time.
constexpr int64_t kMaxNodesAtFullRate = 30;
constexpr int64_t kMaxDigestIntervalFactor = 2;
// Number of nodes assumed to share the rates until the registered nodes have
// been read.
constexpr int64_t kAssumedNodeCount = 64;
// Interval at which nodes repeat what they know of crashes: several times
// within the time that the site gives a node which has started. Two nodes of a
// zone do so, since one of them may be that node.
constexpr duration kCrashHistoryInterval = Milliseconds(900);
constexpr int64_t kCrashHistorySendersPerZone = 2;
// Delay before a failed registration is retried.
constexpr duration kRegisterRetryDelay = Milliseconds(500);
// Time reserved at the end of the grace period for the exit itself.
constexpr duration kExitMargin = Milliseconds(700);
constexpr duration kStopCheckInterval = Milliseconds(100);
// Time between the last answers and the exit, so that the answers reach their
// callers.
constexpr duration kAnswerFlushTime = Milliseconds(200);
// Maximum delay of a node that other nodes compete with for a row of the store.
constexpr int64_t kMaxCandidateDelayMs = 400;

uint64_t DrawIncarnation() {
  std::random_device device;
  return (uint64_t{device()} << 32 | device()) | 1;
}

duration CandidateDelay(const vm_id& node) {
  return Milliseconds(static_cast<int64_t>(
      StableHash(node.value()) % static_cast<uint64_t>(kMaxCandidateDelayMs)));
}

}  // namespace

gateway_node::gateway_node(const gateway_settings& settings,
                           const boost::asio::ip::tcp::endpoint& store,
                           const protocol_codec& codec,
                           settings_reader reader)
    : settings_(settings),
      codec_(codec),
      reader_(std::move(reader)),
      loop_(1),
      incarnation_(DrawIncarnation()),
      random_(incarnation_),
      log_("",
           kLogLevel,
           settings.node.value() + "/" + std::to_string(incarnation_ % 100000)),
      endpoints_(loop_, settings.zone),
      retries_(settings.bounds.retry_share, settings.bounds.retry_reserve),
      suspects_(settings.node),
      store_(loop_, store, codec_, log_),
      version_history_(store_,
                       endpoints_.versions(),
                       CandidateDelay(settings.node),
                       log_),
      origin_history_(settings.node,
                      store_,
                      endpoints_.versions(),
                      origins_,
                      log_),
      stream_versions_(
          endpoints_.versions(),
          origins_,
          [this](time_point now) { return Awareness(now); },
          [this](const origin_query& query, int round) {
            return peers_.Ask(query, round, StableHash(query.attempt.value()),
                              boot_clock::now());
          },
          boot_clock::now()),
      context_{
          loop_,   codec_, log_,      endpoints_, limiter_,         retries_,
          queue_,  calls_, suspects_, origins_,   stream_versions_, metrics_,
          nullptr, {}},
      site_rows_(loop_,
                 store_,
                 codec_.configuration_table(),
                 kSiteTiming,
                 random_,
                 [this] { OnSiteRows(); }),
      endpoint_rows_(loop_,
                     store_,
                     codec_.endpoint_table(),
                     kEndpointTiming,
                     random_,
                     [this] { OnEndpointRows(); }),
      suspect_archive_(kNodeTable, settings.zone, store_, suspects_, log_),
      order_dispatcher_(loop_,
                        settings_,
                        incarnation_,
                        CandidateDelay(settings.node),
                        store_,
                        codec_,
                        endpoints_,
                        log_),
      peers_(loop_,
             settings.node,
             settings.zone,
             settings.cpu_millicores,
             log_),
      relay_(loop_, log_),
      caller_server_(
          loop_,
          [this](http::request message, std::shared_ptr<http::exchange> reply) {
            AcceptCall(std::move(message), std::move(reply));
          }),
      probe_server_(loop_,
                    [this](const http::request& message,
                           const std::shared_ptr<http::exchange>& reply) {
                      AnswerProbe(message, reply);
                    }),
      internal_server_(loop_,
                       [this](const http::request& message,
                              const std::shared_ptr<http::exchange>& reply) {
                         AnswerInternal(message, reply);
                       }),
      signals_(loop_),
      tick_timer_(loop_),
      digest_timer_(loop_),
      stop_timer_(loop_),
      register_timer_(loop_) {}

gateway_node::~gateway_node() = default;

result<void, std::string> gateway_node::Open() {
  for (auto* server : {&caller_server_, &probe_server_, &internal_server_}) {
    const std::string& address =
        server == &caller_server_  ? settings_.caller_address
        : server == &probe_server_ ? settings_.readiness_address
                                   : settings_.metrics_address();
    const auto opened = server->Listen(address);
    if (!opened)
      return failure(opened.error());
  }
  const auto bound = peers_.Open(settings_.peer_address());
  if (!bound)
    return failure(bound.error());
  peers_.OnMessage(
      [this](const peer_message& message) { OnPeerMessage(message); });
  for (table_follower* table : {&site_rows_, &endpoint_rows_}) {
    table->OnChanges([this](const table_changes& changes) {
      BroadcastTableChanges(changes);
    });
  }
  store_.OnEraChange([this] { OnStoreEra(); });
  peers_.OnGone([this](const vm_id& node) { OnPeerGone(node); });
  origins_.OnBegun([this](const stream_origin& origin) {
    peers_.BroadcastInZone(origin);
    const time_point now = boot_clock::now();
    peers_.SendToOtherZones(origin, now);
    origin_history_.Add(origin, now);
  });
  order_dispatcher_.OnNotice(
      [this](const load_notice& notice) { OnNotice(notice); });
  log_.Write(report::log_level::info, "started",
             {{"node", settings_.node.value()},
              {"zone", settings_.zone.value()},
              {"callers", settings_.caller_address},
              {"store", settings_.store_address}});
  return success();
}

void gateway_node::Run() {
  boost::system::error_code ignored;
  for (const int number : {SIGTERM, SIGINT, SIGHUP})
    signals_.add(number, ignored);
  std::signal(SIGPIPE, SIG_IGN);
  WatchSignals();
  started_at_ = boot_clock::now();
  site_rows_.Start();
  endpoint_rows_.Start();
  Register();
  Tick();
  ScheduleDigest();
  loop_.run();
  for (const auto& call : calls_.Calls())
    call->LogCut("exit");
  log_.Write(
      report::log_level::info, "stopped",
      {{"node", settings_.node.value()},
       {"cut_calls", static_cast<int64_t>(caller_server_.busy_count())}});
}

void gateway_node::WatchSignals() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int number) {
        if (error)
          return;
        if (number == SIGHUP)
          Reload();
        else
          BeginStop();
        WatchSignals();
      });
}

void gateway_node::Reload() {
  const auto read = reader_();
  if (!read) {
    log_.Write(report::log_level::error, "reload_failed",
               {{"reason", read.error().message}});
    return;
  }
  // Changed addresses take effect at the next start.
  settings_.bounds = read.value().bounds;
  log_.Write(report::log_level::info, "reloaded",
             {{"lease_ms", ToMilliseconds(settings_.bounds.lease)}});
  if (stopping_)
    ScheduleStop();
}

void gateway_node::AcceptCall(http::request message,
                              std::shared_ptr<http::exchange> reply) {
  auto decoded = codec_.DecodeRequest(std::move(message));
  if (!decoded) {
    log_.Write(report::log_level::info, "call",
               {{"outcome", "refused"}, {"reason", decoded.error().message}});
    reply->Respond(codec_.EncodeOwnAnswer(400, {}, std::nullopt), "");
    return;
  }
  std::make_shared<call_session>(context_, std::move(decoded).value(),
                                 std::move(reply))
      ->Start();
  if (queue_.TakeNewLoadDemand())
    SendUrgentDemand();
}

bool gateway_node::IsReady() const {
  return context_.site && endpoint_rows_.copy().is_initialized() && !stopping_;
}

void gateway_node::AnswerProbe(const http::request& message,
                               const std::shared_ptr<http::exchange>& reply) {
  int status = 404;
  if (codec_.IsReadinessCheck(message))
    status = IsReady() ? 200 : 503;
  reply->Respond({status, {}}, "");
}

void gateway_node::AnswerInternal(
    const http::request& message,
    const std::shared_ptr<http::exchange>& reply) {
  const std::string_view path = http::PathOf(message.target);
  if (path == kMetricsPath)
    return reply->Respond({200, {{"Content-Type", "text/plain"}}},
                          metrics_.Text(Gauges()));
  for (const table_follower* table : {&site_rows_, &endpoint_rows_}) {
    if (path == table_relay::PathOfTable(*table))
      return reply->Respond({200, {}}, relay_.Answer(*table, message.target));
  }
  reply->Respond({404, {}}, "");
}

gateway_gauges gateway_node::Gauges() const {
  gateway_gauges gauges;
  gauges.connections = static_cast<int64_t>(caller_server_.connection_count());
  gauges.waiting = static_cast<int64_t>(queue_.size());
  gauges.endpoint_connections_opened =
      static_cast<int64_t>(endpoints_.opened_connections());
  gauges.store_calls = store_.calls();
  gauges.store_failures = store_.failures();
  gauges.peers = static_cast<int64_t>(peers_.peers().size());
  gauges.site_version = context_.site ? context_.site->version() : 0;
  gauges.blocked_suspects = suspects_.BlockedCount(boot_clock::now());
  gauges.orders = order_dispatcher_.sent_orders();
  gauges.holds_placement = order_dispatcher_.IsHolder(boot_clock::now());
  gauges.endpoint_list_age = endpoint_rows_.Age(boot_clock::now());
  gauges.endpoint_list_version = endpoint_rows_.copy().version().number();
  gauges.store_era = store_.era().count();
  gauges.store_era_age =
      boot_clock::now() - std::max(started_at_, store_.era_changed_at());
  gauges.reads_endpoints = endpoint_rows_.is_polling();
  gauges.ready = IsReady();
  return gauges;
}

void gateway_node::OnSiteRows() {
  const auto row = site_rows_.copy().rows().find(codec_.configuration_key());
  if (row == site_rows_.copy().rows().end())
    return;
  auto decoded = codec_.DecodeSite(row->second.value);
  if (!decoded) {
    log_.Write(report::log_level::error, "configuration_unreadable",
               {{"row_version", row->second.version.number()},
                {"reason", decoded.error().message}});
    return;
  }
  site_pointer next = std::move(decoded).value();
  if (context_.site && next->version() <= context_.site->version())
    return;
  log_.Write(report::log_level::info, "configuration",
             {{"version", next->version()},
              {"row_version", row->second.version.number()},
              {"bytes", static_cast<int64_t>(row->second.value.size())},
              {"routes", static_cast<int64_t>(next->routes().size())},
              {"teams", static_cast<int64_t>(next->teams().size())}});
  context_.site = next;
  caller_server_.SetLimits(next->limits());
  limiter_.SetNodeCount(peers_known_ ? peers_.node_count() : kAssumedNodeCount);
  limiter_.SetTeams(next->teams(), boot_clock::now());
  order_dispatcher_.SetSite(*next);
  context_.stop.SetRoutes(next->routes());
  for (const route& item : next->routes()) {
    if (item.resumable)
      endpoints_.versions().ExtendSpan(item.timeout + kMaxListDelay);
  }
  queue_.WakeAll();
}

void gateway_node::OnEndpointRows() {
  endpoint_changes changes = endpoint_list_.Update(
      endpoint_rows_.copy().rows(), endpoint_rows_.TakeChangedKeys(),
      [this](const std::string& key, const std::string& value) {
        return codec_.DecodeEndpoint(key, value);
      },
      [this](const table_row& row, const decode_error& error) {
        log_.Write(report::log_level::warning, "endpoint_unreadable",
                   {{"endpoint", row.key},
                    {"row_version", row.version.number()},
                    {"reason", error.message}});
      });
  ApplyEndpoints(std::move(changes));
}

void gateway_node::ApplyEndpoints(endpoint_changes changes) {
  const time_point now = boot_clock::now();
  const store_era era = endpoint_rows_.copy().version().era();
  changes = departures_.Filter(std::move(changes), era, now);
  for (const endpoint_entry& entry : changes.listed) {
    if (entry.draining)
      departures_.Record(entry.id, entry.started_at_ms, era, now);
  }
  for (const endpoint_id& id : changes.removed) {
    if (const auto known = endpoints_.Find(id))
      departures_.Record(id, known->entry.started_at_ms, era, now);
  }
  LogEndpointChanges(changes);
  const time_point unstable_at =
      std::max(store_.failed_at(), store_.era_changed_at());
  const duration grace = unstable_at != time_point{}
                             ? MissingEntryGrace(unstable_at, now)
                             : duration::zero();
  if (era > endpoint_list_era_) {
    log_.Write(report::log_level::info, "endpoint_list_era",
               {{"before", endpoint_list_era_.count()},
                {"era", era.count()},
                {"list_version", endpoint_rows_.copy().version().number()},
                {"changed", static_cast<int64_t>(changes.listed.size())},
                {"missing", static_cast<int64_t>(changes.removed.size())},
                {"missing_kept_ms", ToMilliseconds(grace)},
                {"held_back", static_cast<int64_t>(departures_.held_count())}});
    endpoint_list_era_ = era;
  }
  endpoints_.Apply(changes, grace, now);
  order_dispatcher_.OnEndpoints(changes, now);
  order_dispatcher_.Tick(now);
  queue_.WakeAll();
}

// Logs which endpoints are added, start to drain or are removed. Changes of
// their models are too frequent to log.
void gateway_node::LogEndpointChanges(const endpoint_changes& changes) {
  const auto log = [this](const endpoint_id& id, std::string_view state) {
    log_.Write(
        report::log_level::info, "endpoint",
        {{"endpoint", id.value()},
         {"state", state},
         {"list_version", endpoint_rows_.copy().last_change().number()}});
  };
  // The first list may hold thousands of endpoints, so only their number is
  // logged.
  if (endpoints_.size() == 0) {
    log_.Write(
        report::log_level::info, "endpoints",
        {{"listed", static_cast<int64_t>(changes.listed.size())},
         {"list_version", endpoint_rows_.copy().last_change().number()}});
    return;
  }
  for (const endpoint_id& id : changes.removed)
    log(id, "unlisted");
  for (const endpoint_entry& entry : changes.listed) {
    const auto known = endpoints_.Find(entry.id);
    const bool is_new =
        !known || known->entry.started_at_ms != entry.started_at_ms;
    if (is_new || known->entry.draining != entry.draining)
      log(entry.id, entry.draining ? "draining" : "ready");
  }
}

void gateway_node::OnStoreEra() {
  order_dispatcher_.OnStoreEra(store_.era(), boot_clock::now());
  for (table_follower* table : {&site_rows_, &endpoint_rows_}) {
    log_.Write(report::log_level::info, "table_of_earlier_era",
               {{"table", table->copy().table()},
                {"era", table->copy().version().era().count()},
                {"version", table->copy().version().number()},
                {"store_era", store_.era().count()}});
    table->OnStoreEra();
  }
  version_history_.OnStoreEra();
  origin_history_.OnStoreEra();
  suspect_archive_.OnStoreEra();
  // A node that was registered in what the store has lost would not be found by
  // those that start now, nor find them.
  register_timer_.Start(CandidateDelay(settings_.node), [this] { Register(); });
}

// A node without duties may call the store only now and then. The era of its
// own answers counts, so that a peer's word alone changes nothing here.
void gateway_node::CheckPeerEra(store_era era) {
  if (store_.era() == store_era() || era <= std::max(store_.era(), peer_era_))
    return;
  peer_era_ = era;
  register_timer_.Start(CandidateDelay(settings_.node),
                        [this] { ReadPeers(); });
}

void gateway_node::Register() {
  config::json_value::object fields;
  fields.push_back(
      {kAddressField, config::json_value(settings_.peer_address())});
  fields.push_back({kZoneField, config::json_value(settings_.zone.value())});
  fields.push_back(
      {kProcessorField, config::json_value(settings_.cpu_millicores)});
  register_call_ = store_.Write(
      {kNodeTable, settings_.node.value(),
       config::WriteJson(config::json_value(std::move(fields))), std::nullopt},
      [this](const store_answer& answer) { OnRegistered(answer); });
}

void gateway_node::OnRegistered(const store_answer& answer) {
  if (answer.status != store_status::done)
    return register_timer_.Start(kRegisterRetryDelay, [this] { Register(); });
  ReadPeers();
}

void gateway_node::ReadPeers() {
  register_call_ =
      store_.Read(kNodeTable, "", kPageTimeout,
                  [this](const store_answer& answer) { OnPeersRead(answer); });
}

// A node registers before it reads, so that of two new nodes at least one finds
// the other and contacts it with its first digest.
void gateway_node::OnPeersRead(const store_answer& answer) {
  if (answer.status != store_status::done)
    return register_timer_.Start(kRegisterRetryDelay, [this] { ReadPeers(); });
  const time_point now = boot_clock::now();
  for (const table_row& row : answer.page.rows) {
    if (suspect_archive_.OnRow(row, answer.page.store_time_ms, now))
      continue;
    const auto parsed = config::ParseJson(row.value);
    if (parsed)
      peers_.Add(vm_id(row.key),
                 zone_id(parsed.value().StringOr(kZoneField, "")),
                 parsed.value().IntegerOr(kProcessorField, 0),
                 parsed.value().StringOr(kAddressField, ""), now);
    else
      log_.Write(report::log_level::warning, "registration_unreadable",
                 {{"node", row.key}, {"reason", parsed.error().message}});
  }
  if (!peers_known_) {
    peers_known_ = true;
    // Restarts the limiter with this node's share of each burst.
    limiter_ = fleet_rate_limiter();
    limiter_.SetNodeCount(peers_.node_count());
    if (context_.site)
      limiter_.SetTeams(context_.site->teams(), now);
  }
  SendDigest();
}

void gateway_node::OnPeerMessage(const peer_message& message) {
  if (const auto* digest = std::get_if<peer_digest>(&message))
    return OnDigest(*digest);
  if (const auto* changes = std::get_if<table_changes>(&message)) {
    for (table_follower* table : {&site_rows_, &endpoint_rows_}) {
      if (table->copy().table() == changes->table &&
          !table->ApplyChanges(*changes, boot_clock::now()))
        relay_.Fetch(changes->table_server_address, {}, *table);
    }
    return;
  }
  if (const auto* report = std::get_if<crash_report>(&message)) {
    if (report->is_zone_report == (report->zone != settings_.zone))
      suspects_.OnReport(*report, boot_clock::now());
    return;
  }
  if (const auto* history = std::get_if<crash_history>(&message))
    return suspects_.OnHistory(*history, boot_clock::now());
  if (const auto* origin = std::get_if<stream_origin>(&message))
    return origins_.Learn(*origin, boot_clock::now());
  if (const auto* query = std::get_if<origin_query>(&message))
    return OnOriginQuery(*query);
  if (const auto* reply = std::get_if<origin_reply>(&message))
    return stream_versions_.OnReply(*reply, boot_clock::now());
  ApplyNotice(std::get<load_notice>(message), boot_clock::now());
  queue_.WakeAll();
}

void gateway_node::OnOriginQuery(const origin_query& query) {
  peers_.Reply(stream_versions_.Answer(query, boot_clock::now()));
}

node_awareness gateway_node::Awareness(time_point now) const {
  return {version_history_.is_known() && origin_history_.is_known(),
          endpoint_rows_.Age(now), peers_known_ && peers_.HearsMost(now)};
}

void gateway_node::ApplyNotice(const load_notice& notice, time_point now) {
  endpoints_.OnNotice(notice, now);
  if (notice.change == load_change::loading)
    queue_.SetReadyAt(notice.model, now + Milliseconds(notice.ready_in_ms));
}

void gateway_node::OnDigest(const peer_digest& digest) {
  const time_point now = boot_clock::now();
  // A node of another zone sends its own digest only to report urgent demand to
  // the placement holder; its zone's representative reports everything else.
  if (digest.zone != settings_.zone && !digest.is_zone_digest) {
    order_dispatcher_.OnUrgentDemand(digest, now);
    return;
  }
  if (digest.is_zone_digest && digest.zone == settings_.zone)
    return;
  if (!digest.is_zone_digest)
    summary_.OnDigest(digest, now);
  CheckPeerEra(store_era(digest.store_era));
  endpoints_.OnDigest(digest);
  limiter_.OnDigest(digest, now);
  order_dispatcher_.OnDigest(digest, now);
  for (auto [table, status] :
       {std::pair{&site_rows_, digest.site_table},
        std::pair{&endpoint_rows_, digest.endpoint_table}}) {
    if (table->IsBehind(status, store_era(digest.store_era), now))
      relay_.Fetch(digest.table_server_address, digest.node, *table);
  }
  if (order_dispatcher_.IsHolder(now))
    order_dispatcher_.Tick(now);
}

void gateway_node::BroadcastTableChanges(const table_changes& changes) {
  table_changes message = changes;
  message.table_server_address = settings_.metrics_address();
  peers_.BroadcastChanges(std::move(message));
}

void gateway_node::OnPeerGone(const vm_id& node) {
  endpoints_.ForgetPeer(node);
  limiter_.ForgetPeer(node);
  order_dispatcher_.ForgetPeer(node);
  summary_.Forget(node);
  suspects_.ForgetPeer(node);
}

// The notices of this node's planners apply to this node as well.
void gateway_node::OnNotice(const load_notice& notice) {
  const time_point now = boot_clock::now();
  peers_.BroadcastInZone(notice);
  peers_.SendToOtherZones(notice, now);
  ApplyNotice(notice, now);
  boost::asio::post(loop_, [this] { queue_.WakeAll(); });
}

peer_digest gateway_node::MakeDigest(time_point now) {
  peer_digest digest;
  digest.node = settings_.node;
  digest.zone = settings_.zone;
  digest.cpu_millicores = settings_.cpu_millicores;
  digest.incarnation = incarnation_;
  digest.sequence = ++digest_sequence_;
  digest.interval_ms = ToMilliseconds(DigestInterval(now));
  digest.table_server_address = settings_.metrics_address();
  digest.store_era = store_.era().count();
  digest.site_table = site_rows_.Status(store_.era(), now);
  digest.endpoint_table = endpoint_rows_.Status(store_.era(), now);
  if (order_dispatcher_.IsHolder(now)) {
    digest.authority_holder = settings_.node;
    digest.authority_epoch = order_dispatcher_.lease().fencing().count();
    const store_version row = order_dispatcher_.lease().version();
    if (row.era() == store_.era())
      digest.authority_version = row.number();
  }
  digest.teams = limiter_.Usage();
  digest.endpoints = endpoints_.Running();
  digest.models = queue_.Demand(now);
  digest.unreachable = endpoints_.Unreachable(now);
  digest.leaving = stopping_;
  return digest;
}

void gateway_node::SendDigest() {
  const time_point now = boot_clock::now();
  const peer_digest digest = MakeDigest(now);
  const vm_id holder = order_dispatcher_.lease().holder();
  peers_.SendDigest(digest, holder, now);
  summary_.OnDigest(digest, now);
  if (peers_.IsZoneRepresentative(now)) {
    peer_digest zone_digest = summary_.MakeZoneDigest(store_.era(), now);
    zone_digest.node = peer_group::NameOfZone(settings_.zone);
    zone_digest.zone = settings_.zone;
    zone_digest.nodes = peers_.zone_node_count();
    zone_digest.is_zone_digest = true;
    zone_digest.incarnation = digest.incarnation;
    zone_digest.sequence = digest.sequence;
    zone_digest.table_server_address = digest.table_server_address;
    zone_digest.site_table = digest.site_table;
    zone_digest.endpoint_table = digest.endpoint_table;
    peers_.SendZoneDigest(zone_digest, holder, now);
  }
  SendCrashReports(now);
  order_dispatcher_.OnDigest(digest, now);
  if (order_dispatcher_.IsHolder(now))
    order_dispatcher_.Tick(now);
}

void gateway_node::SendCrashReports(time_point now) {
  for (const blocked_suspect& blocked : suspects_.TakeNewlyBlocked(now))
    log_.Write(report::log_level::warning, "suspect_blocked",
               {{"suspect", std::to_string(blocked.suspect)},
                {"crashes", blocked.crashes},
                {"answered", static_cast<int64_t>(blocked.answered)}});
  crash_report own = suspects_.OwnReport(now);
  own.zone = settings_.zone;
  if (!own.suspects.empty())
    peers_.BroadcastInZone(own);
  SendCrashHistory(now);
  if (!peers_.IsZoneRepresentative(now))
    return;
  crash_report zone_report = suspects_.ZoneReport(settings_.zone, now);
  zone_report.node = peer_group::NameOfZone(settings_.zone);
  if (!zone_report.suspects.empty())
    peers_.SendToOtherZones(zone_report, now);
}

// Repeats what the fleet knows of crashes, for nodes that have started since.
void gateway_node::SendCrashHistory(time_point now) {
  const int64_t rank = peers_.RankInZone(now);
  if (rank >= kCrashHistorySendersPerZone || now < next_crash_history_at_)
    return;
  next_crash_history_at_ = now + kCrashHistoryInterval;
  crash_history history = suspects_.History(now);
  if (history.suspects.empty())
    return;
  history.node = settings_.node;
  history.zone = settings_.zone;
  peers_.BroadcastInZone(history);
  if (rank == 0)
    peers_.SendToOtherZones(history, now);
}

// Informs the placement holder immediately that a call waits for a load.
void gateway_node::SendUrgentDemand() {
  const time_point now = boot_clock::now();
  const peer_digest digest = MakeDigest(now);
  summary_.OnDigest(digest, now);
  peers_.SendTo(order_dispatcher_.lease().holder(), digest);
  order_dispatcher_.OnDigest(digest, now);
  if (order_dispatcher_.IsHolder(now))
    order_dispatcher_.Tick(now);
}

// Nodes with duties and nodes with waiting calls send at the default interval,
// so that a failure or the demand is detected quickly.
duration gateway_node::DigestInterval(time_point now) const {
  const bool needs_fast_digests = duty_rank_ < kSiteReadersPerZone ||
                                  order_dispatcher_.IsHolder(now) ||
                                  queue_.size() > 0 || stopping_;
  if (needs_fast_digests)
    return kDigestInterval;
  const duration scaled =
      kDigestInterval * peers_.zone_node_count() / kMaxNodesAtFullRate;
  return std::clamp(scaled, kDigestInterval,
                    kDigestInterval * kMaxDigestIntervalFactor);
}

void gateway_node::ScheduleDigest() {
  digest_timer_.Start(DigestInterval(boot_clock::now()), [this] {
    SendDigest();
    ScheduleDigest();
  });
}

void gateway_node::Tick() {
  const time_point now = boot_clock::now();
  peers_.Check(now);
  UpdateDuties(now);
  origin_history_.Tick(
      version_history_.is_known() && endpoint_rows_.copy().is_initialized(),
      peers_.node_count(), now);
  suspect_archive_.Tick(peers_.IsZoneRepresentative(now), now);
  stream_versions_.Check(now);
  if (peers_known_)
    limiter_.SetNodeCount(peers_.node_count());
  retries_.SetNodes(peers_.node_count());
  endpoints_.DropMissing(now);
  auto released = departures_.TakeReleased(now);
  if (!released.empty())
    ApplyEndpoints({std::move(released), {}});
  order_dispatcher_.Tick(now);
  if (queue_.size() > 0)
    queue_.WakeAll();
  if (IsReady() != was_ready_) {
    was_ready_ = !was_ready_;
    log_.Write(
        report::log_level::info, was_ready_ ? "ready" : "not_ready",
        {{"site_version", context_.site ? context_.site->version() : 0},
         {"endpoints_version", endpoint_rows_.copy().version().number()}});
  }
  tick_timer_.Start(kTickInterval, [this] { Tick(); });
}

// Assigns the duties by rank: few nodes of each zone read the store's tables
// for the others, represent the zone and watch the placement lease.
void gateway_node::UpdateDuties(time_point now) {
  const bool settled = now - started_at_ > kStartupSettleTime;
  const int64_t rank = peers_.RankInZone(now);
  if (settled)
    ConfirmTables(rank, now);
  version_history_.Tick(settled && rank < kVersionWritersPerZone &&
                            endpoint_rows_.copy().is_initialized(),
                        now);
  endpoint_rows_.SetPolling(settled && rank < kEndpointReadersPerZone);
  site_rows_.SetPolling(settled && rank < kSiteReadersPerZone);
  order_dispatcher_.SetCandidate(settled && rank < kPlacementCandidatesPerZone,
                                 now);
  if (!settled)
    return;
  // Changes among ranks without duties have no effect.
  const int64_t duty_rank = std::min(rank, kSiteReadersPerZone);
  if (duty_rank == duty_rank_)
    return;
  duty_rank_ = duty_rank;
  log_.Write(report::log_level::info, "duties",
             {{"rank", rank},
              {"speaks", static_cast<int64_t>(rank == 0)},
              {"reads_endpoints",
               static_cast<int64_t>(rank < kEndpointReadersPerZone)},
              {"reads_configuration",
               static_cast<int64_t>(rank < kSiteReadersPerZone)},
              {"zone_nodes", peers_.zone_node_count()}});
}

// Reads tables whose readers have fallen silent or are not served.
void gateway_node::ConfirmTables(int64_t rank, time_point now) {
  for (table_follower* table : {&site_rows_, &endpoint_rows_}) {
    if (table->ReadIfUnconfirmed(rank, now))
      log_.Write(report::log_level::info, "table_unconfirmed",
                 {{"table", table->copy().table()},
                  {"age_ms", ToMilliseconds(table->Age(now))},
                  {"version", table->copy().version().number()},
                  {"rank", rank}});
  }
}

void gateway_node::BeginStop() {
  if (stopping_)
    return;
  stopping_ = true;
  stop_began_ = boot_clock::now();
  log_.Write(report::log_level::info, "stopping",
             {{"busy", static_cast<int64_t>(caller_server_.busy_count())}});
  order_dispatcher_.BeginStop(stop_began_);
  caller_server_.BeginDrain();
  ScheduleStop();
  SendDigest();
  ContinueStop();
}

void gateway_node::ScheduleStop() {
  context_.stop.SetSchedule(
      {stop_began_, stop_began_ + settings_.lame_duck,
       stop_began_ + settings_.bounds.grace - kExitMargin - kAnswerFlushTime});
  for (const auto& call : calls_.Calls())
    call->OnStopSchedule();
  queue_.WakeAll();
}

// Keeps serving until the load balancer sends no new connections and all
// answers have ended, or until the grace period is nearly over.
void gateway_node::ContinueStop() {
  const duration age = boot_clock::now() - stop_began_;
  if (age >= settings_.lame_duck)
    caller_server_.StopAccepting();
  const bool is_grace_period_over = age > settings_.bounds.grace - kExitMargin;
  const bool done = age >= settings_.lame_duck &&
                    caller_server_.busy_count() == 0 &&
                    caller_server_.connection_count() == 0;
  if (is_grace_period_over || done) {
    loop_.stop();
    return;
  }
  stop_timer_.Start(kStopCheckInterval, [this] { ContinueStop(); });
}

}  // namespace jasminepath::gateway
