#ifndef JASMINEPATH_REPORT_EVENT_LOG_H_
#define JASMINEPATH_REPORT_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace jasminepath::report {

enum class log_level { debug, info, warning, error };

// One key=value pair of a log line. FormatEvent() quotes the value if needed.
// `name` must outlive the field.
class log_field {
 public:
  log_field(std::string_view name, std::string_view text);
  log_field(std::string_view name, int64_t number);

  std::string_view name() const { return name_; }
  const std::string& text() const { return text_; }

 private:
  std::string_view name_;
  std::string text_;
};

// Formats "event=NAME key=value ..." on one line.
std::string FormatEvent(std::string_view event,
                        std::initializer_list<log_field> fields);

// The node's structured log. A separate thread writes the lines. It reads them
// from a bounded queue that drops the oldest line when full, so that a slow
// disk never delays a call. Thread-safe. Callers must not pass keys or prompts.
class event_log {
 public:
  // Writes to `file`, or to standard output if `file` is empty. `level` is the
  // minimum level: "debug", "info", "warning" or "error". `instance` is added
  // to each line.
  event_log(const std::string& file,
            const std::string& level,
            const std::string& instance);
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;
  // Writes the queued lines.
  ~event_log();

  void Write(log_level level,
             std::string_view event,
             std::initializer_list<log_field> fields);

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_EVENT_LOG_H_
