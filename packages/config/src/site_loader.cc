#include "jasminepath/config/site_loader.h"

#include <algorithm>
#include <deque>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

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

// Reads the files of one directory; keeps a collector for each file.
class site_reader {
 public:
  explicit site_reader(std::string directory)
      : directory_(std::move(directory)) {}

  result<site, fault_list> Read() {
    const std::vector<std::string> files = ListServiceFiles();
    ReadSiteFile();
    for (const std::string& file : files)
      ReadServiceFile(file);
    CheckConfiguration(site_.compiled, places_);
    fault_list all = AllFaults();
    if (!all.empty())
      return failure(std::move(all));
    return std::move(site_);
  }

 private:
  std::vector<std::string> ListServiceFiles() {
    std::vector<std::string> files;
    std::error_code error;
    std::filesystem::recursive_directory_iterator entry(directory_, error);
    const std::filesystem::recursive_directory_iterator end;
    while (!error && entry != end) {
      if (EndsWith(entry->path().filename().string(), kServiceSuffix))
        files.push_back(entry->path().string());
      entry.increment(error);
    }
    if (error) {
      Collector(directory_)
          .Add("$", "cannot be listed: " + error.message(),
               "name a directory that this user may read");
    } else if (files.empty()) {
      Collector(directory_)
          .Add("$", "holds no service file",
               "add at least one file whose name ends in .service.json");
    }
    std::sort(files.begin(), files.end());
    return files;
  }

  void ReadSiteFile() {
    const std::filesystem::path directory(directory_);
    fault_collector& faults = Collector((directory / kSiteFile).string());
    places_.site = {&faults, "$"};
    const std::optional<json_value> document = ReadDocument(faults);
    if (!document)
      return;
    object_reader reader(*document, "$", faults);
    ReadSiteFields(reader, site_.compiled);
    site_.platform_address = reader.OptionalAddress("platform_address");
    reader.Finish();
  }

  void ReadServiceFile(const std::string& file) {
    fault_collector& faults = Collector(file);
    const std::optional<json_value> document = ReadDocument(faults);
    if (!document)
      return;
    object_reader reader(*document, "$", faults);
    if (document->AsObject() == nullptr)
      return;
    site_.compiled.services.push_back(ReadService(reader));
    reader.Finish();
    places_.services.push_back({&faults, "$"});
  }

  std::optional<json_value> ReadDocument(fault_collector& faults) {
    const std::optional<std::string> text = ReadTextFile(faults.file(), faults);
    std::optional<json_value> document;
    if (text)
      document = ParseDocument(*text, faults);
    places_.complete = places_.complete && document.has_value();
    return document;
  }

  fault_collector& Collector(const std::string& file) {
    return collectors_.emplace_back(file);
  }

  fault_list AllFaults() const {
    fault_list all;
    for (const fault_collector& collector : collectors_)
      all.insert(all.end(), collector.faults().begin(),
                 collector.faults().end());
    return all;
  }

  std::string directory_;
  // A deque keeps the addresses that places_ refers to.
  std::deque<fault_collector> collectors_;
  source_places places_;
  site site_;
};

}  // namespace

result<site, fault_list> LoadSite(const std::string& directory) {
  return site_reader(directory).Read();
}

}  // namespace jasminepath::config
