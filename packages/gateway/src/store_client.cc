#include "store_client.h"

#include <boost/asio/post.hpp>

namespace jasminepath::gateway {
namespace {

// Timeout of a poll beyond the time that the store is asked to wait.
constexpr duration kPollMargin = Milliseconds(800);
// Limits on the store's answers: a page of rows, which the store ends at a
// megabyte of rows; all changed rows of a table; the outcome of a write.
constexpr std::size_t kMaxPageBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxPollBytes = std::size_t{16} << 20;
constexpr std::size_t kMaxWriteAnswerBytes = std::size_t{1} << 20;
// Maximum rise of the era between two answers; a larger one is not believed.
constexpr store_era kMaxEraRise(1000);

}  // namespace

store_client::store_client(http::event_loop& loop,
                           const boost::asio::ip::tcp::endpoint& address,
                           const store_codec& codec,
                           report::event_log& log)
    : loop_(loop), client_(loop, address), codec_(codec), log_(log) {}

store_client::handle store_client::Read(const std::string& table,
                                        const std::string& from_key,
                                        duration timeout,
                                        callback done) {
  return Start(codec_.EncodeRead(table, from_key), timeout, kMaxPageBytes, true,
               std::move(done));
}

store_client::handle store_client::Poll(const std::string& table,
                                        const store_version& after,
                                        duration wait,
                                        callback done) {
  return Start(codec_.EncodePoll(table, after, wait), wait + kPollMargin,
               kMaxPollBytes, true, std::move(done));
}

store_client::handle store_client::Write(const conditional_write& write,
                                         callback done) {
  return Start(codec_.EncodeWrite(write), kRowTimeout, kMaxWriteAnswerBytes,
               false, std::move(done));
}

store_client::handle store_client::Start(const http::request& message,
                                         duration timeout,
                                         std::size_t max_body_bytes,
                                         bool expects_rows,
                                         callback done) {
  ++calls_;
  return std::make_unique<http::buffered_call>(
      loop_, client_, message, timeout, max_body_bytes,
      [this, expects_rows, done = std::move(done)](const http::response* answer,
                                                   http::call_failure failure) {
        done(Interpret(answer, failure, expects_rows));
      });
}

store_answer store_client::Interpret(const http::response* answer,
                                     http::call_failure failure,
                                     bool expects_rows) {
  store_answer out;
  if (answer == nullptr) {
    out.status = failure == http::call_failure::not_sent
                     ? store_status::unavailable
                     : store_status::unknown;
    RecordOutcome(false, std::string(http::NameOf(failure)));
    return out;
  }
  if (!RecordEra(*answer))
    return out;
  out.status = codec_.StatusOf(*answer);
  if (out.status == store_status::unavailable ||
      out.status == store_status::unknown) {
    RecordOutcome(false, "status " + std::to_string(answer->head.status));
    return out;
  }
  if (out.status == store_status::done) {
    std::string fault;
    if (expects_rows) {
      auto page = codec_.DecodeRows(*answer, era());
      if (page)
        out.page = std::move(page).value();
      else
        fault = page.error().message;
    } else {
      const auto written = codec_.DecodeWritten(*answer, era());
      if (written)
        out.written = written.value();
      else
        fault = written.error().message;
    }
    if (!fault.empty()) {
      out.status = store_status::unknown;
      RecordOutcome(false, fault);
      return out;
    }
  }
  RecordOutcome(true, "");
  return out;
}

bool store_client::RecordEra(const http::response& answer) {
  const auto era = codec_.EraOf(answer);
  if (!era || era == era_)
    return true;
  if (!era_) {
    era_ = era;
    return true;
  }
  const bool is_late = *era < *era_;
  if (is_late || *era - *era_ > kMaxEraRise) {
    log_.Write(report::log_level::warning,
               is_late ? "store_answer_late" : "store_era_unlikely",
               {{"era", era->count()}, {"known_era", era_->count()}});
    return !is_late;
  }
  log_.Write(report::log_level::warning, "store_era",
             {{"before", era_->count()}, {"era", era->count()}});
  era_ = era;
  era_changed_at_ = boot_clock::now();
  if (on_era_change_)
    boost::asio::post(loop_, on_era_change_);
  return true;
}

void store_client::RecordOutcome(bool served, const std::string& reason) {
  if (!served) {
    failed_at_ = boot_clock::now();
    ++failures_;
  }
  if (served == reachable_)
    return;
  reachable_ = served;
  if (served)
    log_.Write(report::log_level::info, "store_regained",
               {{"calls", calls_}, {"failures", failures_}});
  else
    log_.Write(report::log_level::warning, "store_lost",
               {{"reason", reason}, {"calls", calls_}});
}

}  // namespace jasminepath::gateway
