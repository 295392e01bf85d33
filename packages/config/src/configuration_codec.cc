#include "jasminepath/config/configuration_codec.h"

#include "configuration_check.h"
#include "configuration_reader.h"
#include "configuration_writer.h"
#include "text_file.h"

namespace jasminepath::config {

namespace {

configuration ReadConfiguration(const json_value& document,
                                fault_collector& faults) {
  configuration value;
  source_locations locations;
  locations.site = {&faults, "$"};
  object_reader reader(document, "$", faults);
  ReadSiteFields(reader, value);
  reader.Objects("services", [&](object_reader& item) {
    value.services.push_back(ReadService(item));
    locations.services.push_back({&faults, item.path()});
  });
  reader.Finish();
  CheckConfiguration(value, locations);
  return value;
}

}  // namespace

std::string ToJson(const configuration& value) {
  return WriteJson(WriteConfiguration(value));
}

result<configuration, fault_list> ConfigurationFromJson(const std::string& json,
                                                        revision version) {
  fault_collector faults("");
  const std::optional<json_value> document = ParseDocument(json, faults);
  if (!document)
    return failure(faults.faults());
  configuration value = ReadConfiguration(*document, faults);
  if (!faults.empty())
    return failure(faults.faults());
  value.version = version;
  return value;
}

}  // namespace jasminepath::config
