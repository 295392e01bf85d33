#include "jasminepath/config/site_loader.h"

#include <algorithm>
#include <deque>
#include <filesystem>
#include <optional>
#include <string_view>
#include <system_error>
#include <utility>

#include "configuration_check.h"
#include "configuration_reader.h"
#include "text_file.h"

namespace jasminepath::config {

namespace {

constexpr std::string_view kSiteFile = "site.json";
constexpr std::string_view kServiceSuffix = ".service.json";

bool EndsWith(const std::string& text, std::string_view suffix) {
  return text.size() > suffix.size() &&
         text.compare(text.size() - suffix.size(), suffix.size(), suffix) == 0;
}

// Compiles the files of one site into a configuration. Owns one fault collector
// for each file.
class site_compiler {
 public:
  fault_collector& AddCollector(const std::string& file) {
    return collectors_.emplace_back(file);
  }

  // Reads site.json. `text` is nullopt if the file could not be read.
  void AddSite(const std::optional<std::string>& text,
               fault_collector& faults) {
    locations_.site = {&faults, "$"};
    const std::optional<json_value> document = Parse(text, faults);
    if (!document)
      return;
    object_reader reader(*document, "$", faults);
    ReadSiteFields(reader, site_.compiled);
    site_.platform_address = reader.OptionalAddress("platform_address");
    reader.Finish();
  }

  // Reads a service file. `text` is nullopt if the file could not be read.
  void AddService(const std::optional<std::string>& text,
                  fault_collector& faults) {
    const std::optional<json_value> document = Parse(text, faults);
    if (!document)
      return;
    object_reader reader(*document, "$", faults);
    if (document->AsObject() == nullptr)
      return;
    site_.compiled.services.push_back(ReadService(reader));
    reader.Finish();
    locations_.services.push_back({&faults, "$"});
  }

  // Checks the configuration as a whole. Returns the site or all faults.
  result<site, fault_list> Finish() {
    CheckConfiguration(site_.compiled, locations_);
    fault_list all;
    for (const fault_collector& collector : collectors_) {
      all.insert(all.end(), collector.faults().begin(),
                 collector.faults().end());
    }
    if (!all.empty())
      return failure(std::move(all));
    return std::move(site_);
  }

 private:
  std::optional<json_value> Parse(const std::optional<std::string>& text,
                                  fault_collector& faults) {
    std::optional<json_value> document;
    if (text)
      document = ParseDocument(*text, faults);
    locations_.is_complete = locations_.is_complete && document.has_value();
    return document;
  }

  // A deque, since locations_ holds pointers to the elements.
  std::deque<fault_collector> collectors_;
  source_locations locations_;
  site site_;
};

// Returns the service files below a directory, sorted by path.
std::vector<std::string> ListServiceFiles(const std::string& directory,
                                          fault_collector& faults) {
  std::vector<std::string> files;
  std::error_code error;
  std::filesystem::recursive_directory_iterator entry(directory, error);
  const std::filesystem::recursive_directory_iterator end;
  while (!error && entry != end) {
    if (EndsWith(entry->path().filename().string(), kServiceSuffix))
      files.push_back(entry->path().string());
    entry.increment(error);
  }
  if (error) {
    faults.Add("$", "cannot be listed: " + error.message(),
               "give the path of a directory that this user may read");
  } else if (files.empty()) {
    faults.Add("$", "contains no service file",
               "add at least one file whose name ends in .service.json");
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

result<site, fault_list> LoadSite(const std::string& directory) {
  site_compiler compiler;
  const std::vector<std::string> files =
      ListServiceFiles(directory, compiler.AddCollector(directory));
  const std::filesystem::path root(directory);
  fault_collector& site_faults =
      compiler.AddCollector((root / kSiteFile).string());
  compiler.AddSite(ReadTextFile(site_faults.file(), site_faults), site_faults);
  for (const std::string& file : files) {
    fault_collector& faults = compiler.AddCollector(file);
    compiler.AddService(ReadTextFile(file, faults), faults);
  }
  return compiler.Finish();
}

result<site, fault_list> ParseSite(const site_file& site_json,
                                   const std::vector<site_file>& services) {
  site_compiler compiler;
  compiler.AddSite(site_json.text, compiler.AddCollector(site_json.name));
  for (const site_file& file : services)
    compiler.AddService(file.text, compiler.AddCollector(file.name));
  return compiler.Finish();
}

}  // namespace jasminepath::config
