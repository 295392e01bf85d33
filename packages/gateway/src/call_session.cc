#include "call_session.h"

#include <algorithm>

#include "jasminepath/base/digest.h"

namespace jasminepath::gateway {
namespace {

// Time reserved for the transfer of the answer to the caller.
constexpr duration kAnswerMargin = Milliseconds(30);
// Minimum remaining time with which a request is sent to an endpoint.
constexpr duration kMinTimeToSend = Milliseconds(40);
// Maximum number of attempts for one request, including those that an endpoint
// refused to run or that found no connection.
constexpr int64_t kMaxTries = 6;
// Time for which a request avoids an endpoint that has failed it.
constexpr duration kAvoidEndpointTime = Milliseconds(250);
// Time that a request waits for a load beyond its announced completion, or
// without an announcement.
constexpr duration kLoadWaitTimeout = Seconds(6);
// Maximum idle time of a reused connection, since the peer may be closing it:
// for streams that must not run twice and for repeatable requests. Other
// requests that must not run twice use new connections only.
constexpr duration kMaxIdleForNonRepeatableStream = Milliseconds(1000);
constexpr duration kMaxIdleForRepeatable = Seconds(4);
constexpr duration kConnectTimeout = Milliseconds(500);
// Timeout without data after which a repeatable request is sent to another
// endpoint: a multiple of the route's objective, within bounds.
constexpr int kSilenceTimeoutObjectives = 2;
constexpr duration kMinSilenceTimeout = Milliseconds(700);
constexpr duration kMaxSilenceTimeout = Milliseconds(3500);
// The same between two events of a stream, as a multiple of the route's pause
// objective. Sound endpoints may pause for more than a second.
constexpr int kSilenceTimeoutPauses = 5;
// Sealed answers of success are buffered up to this size and passed on as a
// whole; all others must not exceed it.
constexpr std::size_t kMaxBufferedAnswerBytes = 262144;
// Unsent bytes for a slow caller at which reading from the endpoint is paused.
constexpr std::size_t kMaxUnsentBytes = 262144;
// Values of Retry-After where nothing more precise is known.
constexpr duration kDefaultRetryAfter = Milliseconds(300);
constexpr duration kNoConfigurationRetryAfter = Milliseconds(500);
// The caller's next attempt goes to another node, which may serve it at once.
constexpr duration kOtherNodeRetryAfter = Milliseconds(20);
constexpr duration kBlockedRetryAfter = Seconds(30);
// Lowest priority that engines accept.
constexpr int64_t kLowestPriority = 9;

http::response_head WithoutConnectionFields(const http::response_head& head) {
  http::response_head out;
  out.status = head.status;
  for (const http::header& field : head.headers.fields()) {
    if (!http::IsConnectionField(field.name))
      out.headers.Add(field.name, field.value);
  }
  return out;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

// The type in the Content-Type header without its parameters.
std::string_view MediaType(const http::response_head& head) {
  const std::string_view type = head.headers.ValueOf("Content-Type");
  return type.substr(0, type.find_first_of("; \t"));
}

// Whether the next endpoint's answer can continue the one that has begun.
bool IsSameKind(const http::response_head& begun,
                const http::response_head& next) {
  return begun.status == next.status &&
         http::IsEqualIgnoringCase(MediaType(begun), MediaType(next));
}

// Whether an endpoint may have worked on the call without completing an
// answer.
bool IsMissingAnswer(decision::attempt_end end) {
  return end != decision::attempt_end::answered &&
         end != decision::attempt_end::refused &&
         end != decision::attempt_end::connect_failed;
}

}  // namespace

call_session::call_session(call_context& context,
                           caller_request request,
                           std::shared_ptr<http::exchange> reply)
    : context_(context),
      request_(std::move(request)),
      reply_(std::move(reply)),
      site_(context.site),
      deadline_timer_(context.loop),
      silence_timer_(context.loop) {}

call_session::~call_session() = default;

void call_session::Start() {
  keep_alive_ = shared_from_this();
  const auto keep = keep_alive_;
  context_.calls.Add(*this);
  arrived_at_ = reply_->received_at();
  received_whole_at_ = boot_clock::now();
  if (!site_)
    return Refuse(503, "no_configuration", kNoConfigurationRetryAfter);
  if (!Authorize())
    return;
  const duration max_wait =
      std::min(request_.max_wait.value_or(route_->timeout), route_->timeout);
  deadline_ = arrived_at_ + max_wait;
  fingerprint_ = Fingerprint(request_, team_.id);
  parts_ = SharedParts(request_);
  if (IsBlocked())
    return RefuseBlocked();
  if (!CheckRateLimit())
    return;
  ChooseService();
  if (!request_.model.empty()) {
    context_.queue.CountArrival(request_.model, request_.adapter,
                                boot_clock::now());
    std::string affinity_key = request_.model.value();
    if (request_.prompt.size() > 1) {
      for (std::size_t i = 0; i + 1 < request_.prompt.size(); ++i) {
        affinity_key.append("\n").append(request_.prompt[i].id);
        shared_tokens_ += request_.prompt[i].tokens;
      }
    }
    affinity_ = StableHash(affinity_key);
  }
  last_event_id_ = request_.last_event_id;
  reply_->OnClientDisconnect([this] { OnCallerDisconnect(); });
  StartDeadlineTimer();
  if (last_event_id_ && route_->resumable)
    return FindStreamVersion();
  Dispatch();
}

bool call_session::Authorize() {
  route_ = site_->FindRoute(request_.host, http::PathOf(request_.target));
  if (route_ == nullptr) {
    RespondWithError(404, "no_route");
    return false;
  }
  priority_ = route_->priority;
  if (route_->open || site_->teams().empty())
    return true;
  const team* found = site_->FindTeam(request_.key);
  if (found == nullptr) {
    RespondWithError(401, "unknown_key");
    return false;
  }
  team_ = *found;
  priority_ = team_.priority.value_or(priority_);
  return true;
}

bool call_session::CheckRateLimit() {
  if (team_.id.empty())
    return true;
  const int64_t size =
      request_.prompt_tokens
          ? *request_.prompt_tokens + request_.output_tokens.value_or(0)
          : team_.default_request_tokens;
  const time_point now = boot_clock::now();
  charged_tokens_ = size;
  if (context_.limiter.Take(team_.id, size, now))
    return true;
  Refuse(429, "over_rate", context_.limiter.TimeToRefill(team_.id, now));
  return false;
}

void call_session::ChooseService() {
  int64_t total = 0;
  for (const weighted_service& part : route_->services)
    total += part.weight;
  if (total > 0) {
    auto point = static_cast<int64_t>(StableHash(request_.id.value()) %
                                      static_cast<uint64_t>(total));
    for (const weighted_service& part : route_->services) {
      service_ = part.service;
      point -= part.weight;
      if (point < 0)
        break;
    }
  }
  spec_ = site_->FindService(service_);
}

void call_session::FindStreamVersion() {
  context_.stream_versions.Find(
      service_, request_.resumed_request.value_or(request_id()),
      boot_clock::now(),
      [weak = weak_from_this()](const stream_version& found) {
        const auto self = weak.lock();
        if (self && !self->ended_)
          self->OnStreamVersion(found);
      });
}

void call_session::OnStreamVersion(const stream_version& found) {
  if (!found.version) {
    context_.log.Write(
        report::log_level::info, "stream_version_unknown",
        {{"request", request_.id.value()},
         {"reason", found.reason},
         {"span_ms", ToMilliseconds(context_.endpoints.versions().span())},
         {"list_age_ms", ToMilliseconds(found.list_age)}});
    return Refuse(503, found.reason, kDefaultRetryAfter);
  }
  stream_version_ = found.version;
  Dispatch();
}

model_id call_session::NeededModel() const {
  return spec_ != nullptr && spec_->engine ? request_.model : model_id();
}

void call_session::RecordFirstByte() {
  relayed_at_ = boot_clock::now();
  first_byte_after_ = relayed_at_ - arrived_at_;
  context_.metrics.RecordFirstByte(service_, *first_byte_after_);
}

void call_session::RecordPause() {
  const time_point now = boot_clock::now();
  longest_pause_ = std::max(longest_pause_, now - relayed_at_);
  relayed_at_ = now;
}

endpoint_query call_session::MakeQuery() const {
  endpoint_query query;
  query.service = service_;
  query.model = NeededModel();
  query.tie_break_seed = StableHash(request_.id.value());
  query.version = stream_version_;
  if (!stream_version_ && route_->resumable)
    query.version =
        context_.stream_versions.RequiredVersion(service_, boot_clock::now());
  if (spec_ != nullptr && spec_->engine) {
    query.adapter = request_.adapter;
    query.affinity = affinity_;
    query.shared_tokens = shared_tokens_;
  }
  const time_point now = boot_clock::now();
  for (const auto& [endpoint, failed_at] : recently_failed_) {
    if (now - failed_at < kAvoidEndpointTime)
      query.avoid.push_back(endpoint);
  }
  return query;
}

void call_session::Wake() {
  if (!ended_ && queued_)
    Dispatch();
}

void call_session::OnStopSchedule() {
  if (!ended_)
    StartDeadlineTimer();
}

void call_session::Dispatch() {
  if (TimeLeft() < kMinTimeToSend + kAnswerMargin)
    return FailCall();
  if (IsBlocked())
    return RefuseBlocked();
  if (!CanCompleteFrom(boot_clock::now()))
    return Refuse(503, "node_stops", kOtherNodeRetryAfter);
  const auto choice = context_.endpoints.Pick(MakeQuery(), boot_clock::now());
  if (!choice.endpoint)
    return WaitForEndpoint(choice.miss);
  if (tries_ >= kMaxTries)
    return FailCall();
  // Every send after the first one consumes retry budget.
  if (sends_ > 0 && !context_.retries.For(service_).Take())
    return WaitForRetryBudget();
  if (queued_) {
    context_.queue.Remove(*this);
    queued_ = false;
  }
  Send(choice.endpoint);
}

bool call_session::CanCompleteFrom(time_point start) const {
  return may_have_run_ || answer_started_ ||
         context_.stop.CanComplete(*route_, received_whole_at_, deadline_,
                                   start);
}

void call_session::WaitForEndpoint(pick_miss miss) {
  if (miss == pick_miss::no_version) {
    last_failure_ = "no_version";
    return RefuseOrFail("no_version", kDefaultRetryAfter);
  }
  const time_point now = boot_clock::now();
  const bool for_load = miss == pick_miss::not_loaded;
  const bool may_refuse = for_load && !answer_started_;
  if (may_refuse && spec_ != nullptr && spec_->engine &&
      spec_->engine->FindModel(request_.model) == nullptr)
    return RefuseOrFail("unknown_model", kDefaultRetryAfter);
  const time_point ready_at = context_.queue.ReadyAt(request_.model);
  if (may_refuse && ready_at > deadline_ - kMinTimeToSend)
    return RefuseOrFail("load_too_late",
                        std::max<duration>(ready_at - now, kDefaultRetryAfter));
  if (may_refuse && !CanCompleteFrom(std::max(now, ready_at)))
    return RefuseOrFail("node_stops", kOtherNodeRetryAfter);
  if (may_refuse && now - std::max(ready_at, arrived_at_) > kLoadWaitTimeout)
    return RefuseOrFail("not_loaded", kDefaultRetryAfter);
  Enqueue(for_load, for_load
                        ? "not_loaded"
                        : (miss == pick_miss::full ? "full" : "no_endpoint"));
}

void call_session::Enqueue(bool for_load, std::string_view reason) {
  if (queued_ && queued_for_load_ == for_load)
    return;
  queued_ = true;
  queued_for_load_ = for_load;
  context_.queue.Add(*this, priority_, deadline_, request_.model,
                     request_.adapter, for_load);
  Log("waiting", reason, 0);
}

// An answer that has begun cannot be refused any more, so it waits until its
// deadline; other calls fail.
void call_session::WaitForRetryBudget() {
  if (!answer_started_) {
    Log("retry_denied", "budget", 0);
    return FailCall();
  }
  Enqueue(false, "retry_budget");
}

http::call_options call_session::MakeCallOptions(
    const pooled_endpoint& endpoint) const {
  http::call_options options;
  options.connect_timeout = std::min<duration>(kConnectTimeout, TimeLeft());
  options.head_timeout = std::max<duration>(TimeLeft(), kMinTimeToSend);
  if (route_->IsRepeatable())
    options.max_idle_time = kMaxIdleForRepeatable;
  else if (route_->kind == request_kind::streaming)
    options.max_idle_time = kMaxIdleForNonRepeatableStream;
  else
    options.max_idle_time = duration::zero();
  if (endpoint.health.ShouldUseNewConnection())
    options.max_idle_time = duration::zero();
  // The endpoint may send its answer to the earlier attempt once more, which
  // then could not be distinguished from the answer to this one.
  for (const auto& [used_endpoint, connection] : used_connections_) {
    if (used_endpoint == endpoint.entry.id)
      options.excluded_connections.push_back(connection);
  }
  return options;
}

void call_session::Send(std::shared_ptr<pooled_endpoint> endpoint) {
  attempt_fields fields;
  fields.endpoint = endpoint->entry.id;
  fields.time_left = TimeLeft() - kAnswerMargin;
  fields.team = team_.id;
  if (spec_ != nullptr && spec_->engine)
    fields.priority = std::clamp<int64_t>(priority_, 0, kLowestPriority);
  fields.last_event_id = last_event_id_;
  if (sends_ == 0)
    context_.retries.For(service_).OnFirstAttempt();
  if (tries_ == 0)
    first_sent_at_ = boot_clock::now();
  ++sends_;
  ++tries_;
  context_.metrics.CountAttempt();
  context_.endpoints.Begin(*endpoint, NeededModel());
  attempt_ = attempt();
  attempt_->endpoint = std::move(endpoint);
  attempt_->version = attempt_->endpoint->entry.version;
  last_endpoint_ = attempt_->endpoint->entry.id;
  attempt_->sent_at = boot_clock::now();
  relayed_events_.BeginAnswer();
  const http::call_options options = MakeCallOptions(*attempt_->endpoint);
  Log("sent", attempt_->endpoint->entry.id.value(), 0);
  call_ = attempt_->endpoint->client->Send(
      http::Serialize(context_.codec.EncodeAttempt(request_, fields)),
      request_.method == "HEAD", options, *this);
  attempt_->connection = call_->connection_id();
  StartSilenceTimer();
}

// A repeatable request is retried at another endpoint when its endpoint stops
// sending.
void call_session::StartSilenceTimer() {
  if (!route_->IsRepeatable() || runs_ + 1 >= route_->max_attempts)
    return;
  duration silence =
      std::clamp<duration>(route_->objective * kSilenceTimeoutObjectives,
                           kMinSilenceTimeout, kMaxSilenceTimeout);
  if (answer_started_)
    silence = std::max<duration>(
        route_->pause_objective * kSilenceTimeoutPauses, kMinSilenceTimeout);
  silence_timer_.Start(silence, [this] { OnSilence(); });
}

// The endpoint may be sound and go on, so its attempt is given up only if
// another endpoint can take the request now.
void call_session::OnSilence() {
  const auto keep = shared_from_this();
  if (!attempt_)
    return;
  const endpoint_id silent = attempt_->endpoint->entry.id;
  endpoint_query query = MakeQuery();
  query.avoid.push_back(silent);
  const auto choice = context_.endpoints.Pick(query, boot_clock::now());
  const bool is_in_rotation =
      choice.endpoint && choice.endpoint->health.StageAt(boot_clock::now()) ==
                             decision::endpoint_health::stage::in_use;
  if (!is_in_rotation || tries_ >= kMaxTries || !CanContinueAnswer() ||
      TimeLeft() < kMinTimeToSend + kAnswerMargin || IsBlocked() ||
      !context_.retries.For(service_).Take())
    return StartSilenceTimer();
  may_have_run_ = true;
  ++runs_;
  call_.reset();
  EndAttempt(decision::attempt_end::silent);
  Avoid(silent);
  splitter_.Reset();
  Log("attempt_failed", "silent", 0);
  Send(choice.endpoint);
}

bool call_session::IsRelayedStream(const http::response_head& head,
                                   const answer_fields& fields) const {
  return route_->kind == request_kind::streaming && IsSuccess(head.status) &&
         fields.sealed && !fields.not_run && !fields.other_endpoint &&
         (!answer_started_ || IsSameKind(started_head_, head));
}

bool call_session::OnHead(const http::response_head& head) {
  answer_fields fields = context_.codec.DecodeAnswer(head);
  if (fields.request && *fields.request != request_.id) {
    Log("answer_skipped", "other_request", head.status);
    return false;
  }
  // Only refusals and errors may lack a request id. On a reused connection, one
  // without an id may repeat the answer to an earlier request.
  const bool is_success =
      IsSuccess(head.status) && !fields.not_run && !fields.other_endpoint;
  if (!fields.request && (is_success || call_->uses_reused_connection())) {
    Log("answer_skipped", "no_request_id", head.status);
    return false;
  }
  attempt_->fields = fields;
  attempt_->head = head;
  attempt_->head_seen = true;
  if (IsRelayedStream(head, fields)) {
    attempt_->relaying = true;
    StartSilenceTimer();
    // The head is relayed together with the first event, so that an attempt
    // which ends earlier can still be repeated.
  } else {
    silence_timer_.Cancel();
  }
  return true;
}

void call_session::RecordAnswered() {
  if (attempt_->answered)
    return;
  attempt_->answered = true;
  context_.suspects.OnAnswered(parts_, boot_clock::now());
}

void call_session::RecordCrash(const attempt& failed) {
  std::vector<uint64_t> suspects = {fingerprint_};
  // A part that was answered is no longer suspected; the request may crash its
  // endpoint up to the end of the answer.
  if (!failed.answered)
    suspects.insert(suspects.end(), parts_.begin(), parts_.end());
  context_.suspects.OnCrash(suspects, failed.endpoint->entry.id, failed.sent_at,
                            boot_clock::now());
}

void call_session::OnBody(std::string_view piece) {
  if (attempt_->relaying && route_->kind == request_kind::streaming) {
    StartSilenceTimer();
    RelayEvents(piece);
    return;
  }
  if (attempt_->relaying)
    return Relay(piece);
  attempt_->body.append(piece);
  if (attempt_->body.size() <= kMaxBufferedAnswerBytes)
    return;
  // Nothing of an answer that doesn't continue the begun one may be passed on.
  if (answer_started_ || !IsSuccess(attempt_->head.status) ||
      !attempt_->fields.sealed || attempt_->fields.not_run)
    return OnFailure(http::call_failure::malformed);
  attempt_->relaying = true;
  const std::string body = std::move(attempt_->body);
  Relay(body);
}

void call_session::RelayEvents(std::string_view piece) {
  if (!route_->resumable) {
    if (!attempt_->events.Scan(piece))
      return OnFailure(http::call_failure::malformed);
    if (attempt_->events.HasCompleteEvent())
      RecordAnswered();
    return Relay(piece);
  }
  // Only complete events are relayed, so that the stream can be resumed at
  // another endpoint.
  if (!splitter_.Append(piece))
    return OnFailure(http::call_failure::malformed);
  std::string events;
  while (auto event = splitter_.Next()) {
    if (!relayed_events_.Add(*event))
      return OnFailure(http::call_failure::malformed);
    RecordAnswered();
    if (event->index)
      last_event_id_ = std::to_string(*event->index);
    events.append(event->raw);
  }
  if (events.empty())
    return;
  RecordStreamVersion();
  Relay(events);
}

void call_session::RecordStreamVersion() {
  if (stream_version_)
    return;
  stream_version_ = attempt_->version;
  const time_point now = boot_clock::now();
  // A resumed stream is known under the caller's first request.
  if (!request_.last_event_id &&
      context_.endpoints.versions().RecordsOrigins(service_, now))
    context_.origins.Begin({request_.id, *stream_version_}, now);
}

void call_session::Relay(std::string_view piece) {
  if (!answer_started_) {
    answer_started_ = true;
    started_head_ = attempt_->head;
    RecordFirstByte();
    reply_->Start(WithoutConnectionFields(attempt_->head));
  }
  RecordPause();
  reply_->Write(piece);
  if (reply_->unsent_bytes() < kMaxUnsentBytes || !call_)
    return;
  call_->Pause();
  reply_->OnSent([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->call_)
      self->call_->Resume();
  });
}

void call_session::EndAttempt(decision::attempt_end end) {
  silence_timer_.Cancel();
  if (attempt_->fields.closing)
    attempt_->endpoint->client->CloseIdle();
  if (end != decision::attempt_end::answered)
    used_connections_.emplace_back(attempt_->endpoint->entry.id,
                                   attempt_->connection);
  const time_point now = boot_clock::now();
  context_.endpoints.End(*attempt_->endpoint, NeededModel(), end, now);
  if (IsMissingAnswer(end))
    context_.stop.RecordMissingAnswer(route_->name, now - first_sent_at_);
  attempt_.reset();
  context_.queue.WakeAll();
}

void call_session::Avoid(const endpoint_id& endpoint) {
  recently_failed_.emplace_back(endpoint, boot_clock::now());
}

void call_session::OnEnd() {
  const auto keep = shared_from_this();
  call_.reset();
  const attempt done = *attempt_;
  const int status = done.head.status;
  if (done.fields.not_run || done.fields.other_endpoint) {
    if (done.fields.other_endpoint)
      context_.endpoints.OnNotHeld(*done.endpoint, request_.model,
                                   request_.adapter, boot_clock::now());
    EndAttempt(decision::attempt_end::refused);
    Avoid(done.endpoint->entry.id);
    return RetryOrFail(done.fields.not_run ? "not_run" : "misdirected");
  }
  ++runs_;
  may_have_run_ = true;
  // A stream that ends with its connection may lack even its first event.
  const bool is_stream = route_->kind == request_kind::streaming;
  const bool has_events = done.fields.sealed && status == 200 &&
                          request_.method != "HEAD" && !last_event_id_;
  const bool lacks_events = is_stream && has_events && !done.answered;
  if (lacks_events)
    RecordCrash(done);
  if (!is_stream && IsSuccess(status) && done.fields.sealed)
    RecordAnswered();
  if (!done.fields.sealed && IsSuccess(status)) {
    EndAttempt(decision::attempt_end::cut);
    return RetryOrFail("unsealed");
  }
  if (done.relaying && route_->kind == request_kind::streaming &&
      (splitter_.HasPartial() || done.events.IsInsideEvent())) {
    if (!lacks_events)
      RecordCrash(done);
    EndAttempt(decision::attempt_end::cut);
    Avoid(done.endpoint->entry.id);
    splitter_.Reset();
    return RetryOrFail("cut_event");
  }
  if (answer_started_ && !done.relaying) {
    EndAttempt(decision::attempt_end::server_error);
    Avoid(done.endpoint->entry.id);
    return RetryOrFail("no_continuation");
  }
  if (status >= 500) {
    EndAttempt(decision::attempt_end::server_error);
    Avoid(done.endpoint->entry.id);
    endpoint_failure_ = http::response{done.head, done.body};
    return RetryOrFail("status_" + std::to_string(status));
  }
  EndAttempt(decision::attempt_end::answered);
  if (!lacks_events)
    context_.suspects.OnAnswered({fingerprint_}, boot_clock::now());
  if (IsSuccess(status))
    context_.stop.RecordAnswer(route_->name,
                               boot_clock::now() - first_sent_at_);
  if (answer_started_) {
    reply_->Finish();
  } else {
    RecordFirstByte();
    reply_->Respond(WithoutConnectionFields(done.head), done.body);
  }
  Finish("answered", status);
}

void call_session::OnFailure(http::call_failure failure) {
  const auto keep = shared_from_this();
  call_.reset();
  const attempt done = *attempt_;
  const bool sent = failure != http::call_failure::not_sent;
  if (sent) {
    ++runs_;
    may_have_run_ = true;
    if (failure == http::call_failure::broken)
      RecordCrash(done);
  }
  EndAttempt(sent ? decision::attempt_end::cut
                  : decision::attempt_end::connect_failed);
  if (!sent) {
    // The request never left this node, so it counts neither as a run nor as a
    // retry.
    --sends_;
  }
  Avoid(done.endpoint->entry.id);
  splitter_.Reset();
  RetryOrFail(std::string(http::NameOf(failure)));
}

bool call_session::CanContinueAnswer() const {
  return !answer_started_ || relayed_events_.CanContinue();
}

bool call_session::CanRetry() {
  if (!CanContinueAnswer())
    return false;
  if (may_have_run_ && !route_->IsRepeatable())
    return false;
  return runs_ < std::max<int64_t>(route_->max_attempts, 1);
}

void call_session::RetryOrFail(const std::string& reason) {
  Log("attempt_failed", reason, 0);
  last_failure_ = reason;
  if (!CanRetry())
    return FailCall();
  Dispatch();
}

bool call_session::IsBlocked() const {
  const time_point now = boot_clock::now();
  if (context_.suspects.IsBlocked(parts_, now))
    return true;
  // An answer that has begun may still be completed: its endpoints may have
  // been lost for other reasons, and the number of its attempts is limited.
  return !answer_started_ && context_.suspects.IsBlocked({fingerprint_}, now);
}

void call_session::RefuseBlocked() {
  RefuseOrFail("crashes_endpoints", kBlockedRetryAfter);
}

// A refusal states that the call has not run.
void call_session::RefuseOrFail(std::string_view reason, duration retry_after) {
  if (may_have_run_ || answer_started_)
    return FailCall();
  Refuse(503, reason, retry_after);
}

// Ends the call with the most specific failure that is certain.
void call_session::FailCall() {
  if (answer_started_)
    return Cut(last_failure_);
  if (!may_have_run_)
    return Refuse(503, "not_run", kDefaultRetryAfter);
  if (endpoint_failure_) {
    reply_->Respond(WithoutConnectionFields(endpoint_failure_->head),
                    endpoint_failure_->body);
    return Finish("endpoint_failure", endpoint_failure_->head.status);
  }
  RespondWithError(502, "endpoint_lost");
}

void call_session::Cut(std::string_view cause) {
  LogCut(cause);
  reply_->Abort();
  Finish("cut", 0);
}

void call_session::StartDeadlineTimer() {
  deadline_timer_.Start(TimeLeft() - kAnswerMargin, [this] { OnDeadline(); });
}

void call_session::OnDeadline() {
  const auto keep = shared_from_this();
  if (attempt_) {
    call_.reset();
    may_have_run_ = true;
    EndAttempt(decision::attempt_end::cancelled);
  }
  if (answer_started_)
    return Cut(deadline_ <= context_.stop.schedule().ends_at ? "deadline"
                                                             : "node_stops");
  if (!may_have_run_)
    return Refuse(503, "timed_out_waiting", kDefaultRetryAfter);
  RespondWithError(504, "timed_out");
}

void call_session::OnCallerDisconnect() {
  const auto keep = shared_from_this();
  if (attempt_) {
    call_.reset();
    EndAttempt(decision::attempt_end::cancelled);
  }
  Finish("caller_left", 0);
}

void call_session::Refuse(int status,
                          std::string_view reason,
                          duration retry_after) {
  reply_->Respond(
      context_.codec.EncodeOwnAnswer(status, request_.id, retry_after), "");
  Log("refused", reason, status);
  if (charged_tokens_ > 0 && status != 429)
    context_.limiter.Return(team_.id, charged_tokens_);
  Finish("refused", status);
}

void call_session::RespondWithError(int status, std::string_view reason) {
  reply_->Respond(
      context_.codec.EncodeOwnAnswer(status, request_.id, std::nullopt), "");
  Log("failed", reason, status);
  Finish("failed", status);
}

void call_session::Finish(std::string_view outcome, int status) {
  if (ended_)
    return;
  ended_ = true;
  deadline_timer_.Cancel();
  silence_timer_.Cancel();
  if (queued_)
    context_.queue.Remove(*this);
  queued_ = false;
  context_.metrics.RecordEnd(outcome, boot_clock::now() - arrived_at_);
  if (outcome != "refused" && outcome != "failed")
    Log(outcome, "", status);
  context_.calls.Remove(*this);
  keep_alive_.reset();
}

duration call_session::TimeLeft() const {
  return std::min(deadline_, context_.stop.schedule().ends_at) -
         boot_clock::now();
}

void call_session::LogCut(std::string_view cause) const {
  const bool is_stopping = context_.stop.is_stopping();
  context_.log.Write(
      report::log_level::warning, "call_cut",
      {{"request", request_.id.value()},
       {"cause", cause},
       {"route", route_ != nullptr ? route_->name : std::string()},
       {"endpoint", last_endpoint_.value()},
       {"answer_began", static_cast<int64_t>(answer_started_)},
       {"connection_position", reply_->connection_position()},
       {"stopping", static_cast<int64_t>(is_stopping)},
       {"arrived_after_stop_ms",
        is_stopping
            ? ToMilliseconds(arrived_at_ - context_.stop.schedule().began_at)
            : 0},
       {"age_ms", ToMilliseconds(boot_clock::now() - arrived_at_)}});
}

void call_session::Log(std::string_view outcome,
                       std::string_view reason,
                       int status) {
  context_.log.Write(
      report::log_level::info, "call",
      {{"request", request_.id.value()},
       {"outcome", outcome},
       {"reason", reason},
       {"status", status},
       {"route", route_ != nullptr ? route_->name : std::string()},
       {"team", team_.id.value()},
       {"model", request_.model.value()},
       {"adapter", request_.adapter.value()},
       {"site_version", site_ ? site_->version() : 0},
       {"tokens", charged_tokens_},
       {"sends", sends_},
       {"first_byte_ms",
        first_byte_after_ ? ToMilliseconds(*first_byte_after_) : -1},
       {"longest_pause_ms", ToMilliseconds(longest_pause_)},
       {"age_ms", ToMilliseconds(boot_clock::now() - arrived_at_)}});
}

}  // namespace jasminepath::gateway
