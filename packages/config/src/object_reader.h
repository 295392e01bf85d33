#ifndef JASMINEPATH_CONFIG_SRC_OBJECT_READER_H_
#define JASMINEPATH_CONFIG_SRC_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fault_collector.h"
#include "jasminepath/base/boot_time.h"
#include "jasminepath/base/units.h"
#include "jasminepath/config/json_value.h"

namespace jasminepath::config {

// Inclusive bounds of a number.
struct number_range {
  int64_t minimum = 0;
  int64_t maximum = std::numeric_limits<int64_t>::max();
};

// Maximum duration in a file: 30 days.
inline constexpr int64_t kMaxDurationMs = int64_t{30} * 24 * 3600 * 1000;

// Reads the members of one JSON object and reports their faults to a collector.
// A getter that reports a fault returns its fallback, or an empty value or the
// minimum if the member is required. Finish() reports members that no getter
// has read.
class object_reader {
 public:
  // `value` and `faults` must outlive the reader.
  object_reader(const json_value& value,
                std::string path,
                fault_collector& faults);

  // Reads a required string of 1 to 512 bytes.
  std::string String(std::string_view name);
  std::optional<std::string> OptionalString(std::string_view name);
  // Reads a required name: at most 128 letters, digits, '.', '_' and '-'.
  std::string Name(std::string_view name);
  // Reads a required "ip:port" with a port above 0.
  std::string Address(std::string_view name);
  std::string OptionalAddress(std::string_view name);
  // Reads a required "ip:port" whose port may be 0.
  std::string ListenAddress(std::string_view name);

  int64_t RequiredInteger(std::string_view name, number_range range);
  int64_t Integer(std::string_view name, int64_t fallback, number_range range);
  double Number(std::string_view name, double fallback, double max);
  bool Bool(std::string_view name, bool fallback);
  // Reads a number of milliseconds; `name` ends in "_ms".
  duration Duration(std::string_view name, duration fallback);
  // Reads a number of bytes; `name` ends in "_bytes".
  bytes Size(std::string_view name, bytes fallback, number_range range);
  // Reads one of `names` and returns its index. The member is required if
  // `fallback` is not set.
  std::size_t Choice(std::string_view name,
                     const std::vector<std::string_view>& names,
                     std::optional<std::size_t> fallback);

  // Calls `read` for each object of an optional array.
  void Objects(std::string_view name,
               const std::function<void(object_reader&)>& read);
  // Calls `read` for an optional object.
  void Object(std::string_view name,
              const std::function<void(object_reader&)>& read);
  // Reads an optional array of names.
  std::vector<std::string> Names(std::string_view name);
  // Reads an optional array of "ip:port" strings with ports above 0.
  std::vector<std::string> Addresses(std::string_view name);

  bool Has(std::string_view name) const;

  // Reports a fault at a member, or at the object if `name` is empty.
  void Report(std::string_view name, std::string problem, std::string remedy);

  // Reports members that no getter has read, each with the most similar known
  // name. Call this after all getters.
  void Finish();

  const std::string& path() const { return path_; }

 private:
  const json_value* LookUp(std::string_view name);
  const json_value* LookUpRequired(std::string_view name);
  const json_value::array* LookUpArray(std::string_view name);
  std::optional<std::string> ReadText(std::string_view name,
                                      const json_value& value);
  std::string ReadAddress(const std::string& path,
                          const json_value& value,
                          bool port_zero_allowed);
  int64_t ReadInteger(std::string_view name,
                      const json_value& value,
                      int64_t fallback,
                      number_range range);
  std::string MemberPath(std::string_view name) const;

  const json_value& value_;
  std::string path_;
  fault_collector& faults_;
  std::vector<std::string> known_names_;
};

// Whether object_reader::Name() accepts the text.
bool IsName(std::string_view text);

// Returns the candidate with the smallest edit distance to `text`, or an empty
// text if no candidate is similar enough.
std::string NearestName(std::string_view text,
                        const std::vector<std::string>& candidates);

}  // namespace jasminepath::config

#endif  // JASMINEPATH_CONFIG_SRC_OBJECT_READER_H_
