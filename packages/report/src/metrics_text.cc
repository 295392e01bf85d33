#include "jasminepath/report/metrics_text.h"

#include <array>
#include <charconv>

namespace jasminepath::report {

namespace {

std::string FormatNumber(double value) {
  constexpr std::size_t kMaxDoubleCharacters = 32;
  std::array<char, kMaxDoubleCharacters> buffer;
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return std::string(buffer.data(), end.ptr);
}

std::string Escaped(std::string_view text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || (c == '"' && escape_quotes))
      escaped += '\\';
    if (c == '\n')
      escaped += "\\n";
    else
      escaped += c;
  }
  return escaped;
}

std::string FormatLabels(const metric_labels& labels) {
  std::string text;
  for (const metric_label& label : labels) {
    text += text.empty() ? "{" : ",";
    text += label.name + "=\"" + Escaped(label.value, true) + "\"";
  }
  return text.empty() ? text : text + "}";
}

metric_labels WithBound(metric_labels labels, const std::string& bound) {
  labels.push_back({"le", bound});
  return labels;
}

}  // namespace

void metrics_text::Counter(std::string_view name,
                           std::string_view help,
                           const metric_labels& labels,
                           int64_t value) {
  WriteHeader(name, help, "counter");
  WriteSample(name, labels, std::to_string(value));
}

void metrics_text::Gauge(std::string_view name,
                         std::string_view help,
                         const metric_labels& labels,
                         double value) {
  WriteHeader(name, help, "gauge");
  WriteSample(name, labels, FormatNumber(value));
}

void metrics_text::Histogram(std::string_view name,
                             std::string_view help,
                             const metric_labels& labels,
                             const latency_histogram& value) {
  WriteHeader(name, help, "histogram");
  const std::string bucket_name = std::string(name) + "_bucket";
  const int64_t total = value.count();
  int64_t below = 0;
  double sum = 0;
  double bound = 0;
  for (const latency_bucket& bucket : value.Buckets()) {
    // The last bucket has no upper bound; the sum uses the bound of the
    // previous one.
    bound = bucket.upper == duration::max() ? bound : ToSeconds(bucket.upper);
    sum += static_cast<double>(bucket.count) * bound;
    const bool is_outside = below == total || below + bucket.count == 0;
    below += bucket.count;
    if (!is_outside && bucket.upper != duration::max()) {
      WriteSample(bucket_name, WithBound(labels, FormatNumber(bound)),
                  std::to_string(below));
    }
  }
  WriteSample(bucket_name, WithBound(labels, "+Inf"), std::to_string(total));
  WriteSample(std::string(name) + "_sum", labels, FormatNumber(sum));
  WriteSample(std::string(name) + "_count", labels, std::to_string(total));
}

void metrics_text::WriteHeader(std::string_view name,
                               std::string_view help,
                               std::string_view type) {
  if (name == last_name_)
    return;
  last_name_ = std::string(name);
  text_ += "# HELP " + last_name_ + " " + Escaped(help, false) + "\n# TYPE " +
           last_name_ + " " + std::string(type) + "\n";
}

void metrics_text::WriteSample(std::string_view name,
                               const metric_labels& labels,
                               const std::string& value) {
  text_ += std::string(name) + FormatLabels(labels) + " " + value + "\n";
}

}  // namespace jasminepath::report
