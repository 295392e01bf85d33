#include "jasminepath/report/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <utility>

namespace jasminepath::report {
namespace {

constexpr std::size_t kMaxQueuedLines = 8192;
constexpr std::size_t kWriterThreads = 1;
constexpr auto kFlushInterval = std::chrono::seconds(1);
constexpr char kLinePattern[] = "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";

spdlog::level::level_enum ToSpdlog(log_level level) {
  switch (level) {
    case log_level::debug:
      return spdlog::level::debug;
    case log_level::info:
      return spdlog::level::info;
    case log_level::warning:
      return spdlog::level::warn;
    case log_level::error:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool NeedsQuotes(std::string_view text) {
  if (text.empty())
    return true;
  return text.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void AppendEscaped(std::string& line, char c) {
  if (c == '"' || c == '\\') {
    line += '\\';
    line += c;
    return;
  }
  const bool is_control = static_cast<unsigned char>(c) < 0x20;
  line += is_control ? ' ' : c;
}

void AppendValue(std::string& line, std::string_view text) {
  if (!NeedsQuotes(text)) {
    line += text;
    return;
  }
  line += '"';
  for (const char c : text)
    AppendEscaped(line, c);
  line += '"';
}

}  // namespace

log_field::log_field(std::string_view name, std::string_view text)
    : name_(name), text_(text) {}

log_field::log_field(std::string_view name, int64_t number)
    : name_(name), text_(std::to_string(number)) {}

std::string FormatEvent(std::string_view event,
                        std::initializer_list<log_field> fields) {
  std::string line = "event=";
  line += event;
  for (const log_field& field : fields) {
    line += ' ';
    line += field.name();
    line += '=';
    AppendValue(line, field.text());
  }
  return line;
}

struct event_log::implementation {
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::string instance;
};

event_log::event_log(const std::string& file,
                     const std::string& level,
                     const std::string& instance)
    : implementation_(std::make_unique<implementation>()) {
  spdlog::sink_ptr sink;
  if (file.empty())
    sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  else
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  implementation_->instance = instance;
  implementation_->pool = std::make_shared<spdlog::details::thread_pool>(
      kMaxQueuedLines, kWriterThreads);
  implementation_->logger = std::make_shared<spdlog::async_logger>(
      "node", std::move(sink), implementation_->pool,
      spdlog::async_overflow_policy::overrun_oldest);
  implementation_->logger->set_pattern(kLinePattern,
                                       spdlog::pattern_time_type::utc);
  implementation_->logger->set_level(level == "warning"
                                         ? spdlog::level::warn
                                         : spdlog::level::from_str(level));
  implementation_->logger->flush_on(spdlog::level::warn);
  spdlog::flush_every(kFlushInterval);
}

event_log::~event_log() {
  implementation_->logger->flush();
  implementation_->logger.reset();
}

void event_log::Write(log_level level,
                      std::string_view event,
                      std::initializer_list<log_field> fields) {
  const auto spdlog_level = ToSpdlog(level);
  if (!implementation_->logger->should_log(spdlog_level))
    return;
  std::string line = FormatEvent(event, fields);
  line += " instance=";
  line += implementation_->instance;
  implementation_->logger->log(spdlog_level, spdlog::string_view_t(line));
}

}  // namespace jasminepath::report
