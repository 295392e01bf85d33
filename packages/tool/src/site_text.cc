#include "site_text.h"

namespace jasminepath::tool {

exit_code WriteFaults(const config::fault_list& faults,
                      command_streams streams) {
  for (const config::fault& item : faults)
    streams.err << item << '\n';
  streams.err << faults.size() << (faults.size() == 1 ? " fault" : " faults")
              << '\n';
  return exit_code::usage;
}

void WriteSummary(const config::site& site, std::ostream& out) {
  std::size_t endpoints = 0;
  std::size_t models = 0;
  for (const config::service& item : site.compiled.services) {
    endpoints += item.endpoints.size();
    models += item.models.size();
  }
  out << "checked: site=" << site.compiled.site
      << " services=" << site.compiled.services.size()
      << " endpoints=" << endpoints << " models=" << models
      << " teams=" << site.compiled.teams.size() << '\n';
}

void WriteLines(const std::vector<std::string>& lines, std::ostream& out) {
  for (const std::string& line : lines)
    out << "  " << line << '\n';
}

}  // namespace jasminepath::tool
