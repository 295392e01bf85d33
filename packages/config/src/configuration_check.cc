#include "configuration_check.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

#include "object_reader.h"

namespace jasminepath::config {

namespace {

// Paths that the node serves itself.
constexpr std::array<std::string_view, 5> kReservedPrefixes = {
    "/v1/", "/healthz", "/readyz", "/metrics", "/admin"};

std::string ItemPath(const source_location& location,
                     std::string_view member,
                     std::size_t index) {
  return location.path + "." + std::string(member) + "[" +
         std::to_string(index) + "]";
}

// Reports duplicate names of one kind.
class unique_names {
 public:
  // `kind` appears in the fault, for example "endpoint".
  explicit unique_names(std::string_view kind) : kind_(kind) {}

  void Add(const std::string& name,
           const source_location& location,
           const std::string& path) {
    if (name.empty())
      return;
    const std::string where = location.faults->file() + " " + path;
    const auto [known, is_new] = first_use_.emplace(name, where);
    if (is_new)
      return;
    location.faults->Add(path,
                         std::string(kind_) + " \"" + name + "\" is used twice",
                         "choose another; the first is at " + known->second);
  }

 private:
  std::string_view kind_;
  std::map<std::string, std::string> first_use_;
};

class configuration_checker {
 public:
  configuration_checker(const configuration& value,
                        const source_locations& locations)
      : value_(value), locations_(locations) {
    for (const team& item : value_.teams)
      AddName(item.id.value(), team_names_);
    for (const service& item : value_.services)
      AddName(item.id.value(), service_names_);
  }

  void Run() {
    CheckTeams();
    CheckObjectives();
    for (std::size_t i = 0; i < value_.services.size(); ++i)
      CheckService(value_.services[i], locations_.services[i]);
  }

 private:
  // If a name could not be read, references are not checked, since one may
  // refer to that name.
  void AddName(const std::string& name, std::vector<std::string>& names) {
    names.push_back(name);
    has_all_names_ = has_all_names_ && !name.empty();
  }

  void CheckTeams() {
    const source_location& location = locations_.site;
    for (std::size_t i = 0; i < value_.teams.size(); ++i) {
      teams_.Add(value_.teams[i].id.value(), location,
                 ItemPath(location, "teams", i) + ".id");
    }
  }

  void CheckObjectives() {
    const source_location& location = locations_.site;
    for (std::size_t i = 0; i < value_.objectives.size(); ++i) {
      const objective& item = value_.objectives[i];
      const std::string path = ItemPath(location, "objectives", i);
      CheckReference("team", item.team.value(), team_names_, location,
                     path + ".team");
      CheckReference("service", item.service.value(), service_names_, location,
                     path + ".service");
      objectives_.Add(item.team.value() + " " + item.service.value(), location,
                      path);
    }
  }

  void CheckService(const service& item, const source_location& location) {
    services_.Add(item.id.value(), location, location.path + ".id");
    for (std::size_t i = 0; i < item.teams.size(); ++i) {
      CheckReference("team", item.teams[i].value(), team_names_, location,
                     ItemPath(location, "teams", i));
    }
    CheckEndpoints(item, location);
    if (item.kind == service_kind::model)
      CheckModelService(item, location);
    else
      CheckPlainService(item, location);
  }

  void CheckEndpoints(const service& item, const source_location& location) {
    if (item.endpoints.empty()) {
      location.faults->Add(location.path + ".endpoints", "is missing or empty",
                           "add at least one endpoint");
    }
    for (std::size_t i = 0; i < item.endpoints.size(); ++i) {
      const endpoint& target = item.endpoints[i];
      const std::string path = ItemPath(location, "endpoints", i);
      endpoints_.Add(target.id.value(), location, path + ".id");
      addresses_.Add(target.address, location, path + ".address");
      if (item.kind == service_kind::model && target.memory.count() == 0) {
        location.faults->Add(path + ".memory_bytes", "is missing or 0",
                             "write the memory that is available to models");
      }
      if (item.kind == service_kind::model)
        model_vms_.Add(target.vm.value(), location, path + ".vm");
    }
  }

  void CheckModelService(const service& item, const source_location& location) {
    if (item.models.empty()) {
      location.faults->Add(location.path + ".models", "is missing or empty",
                           "add at least one model, or set kind to \"plain\"");
    }
    if (!item.routes.empty()) {
      location.faults->Add(location.path + ".routes",
                           "is not allowed for kind \"model\"",
                           "remove it, or set kind to \"plain\"");
    }
    for (std::size_t i = 0; i < item.models.size(); ++i)
      CheckModel(item, item.models[i], location,
                 ItemPath(location, "models", i));
  }

  void CheckModel(const service& owner,
                  const model& item,
                  const source_location& location,
                  const std::string& path) {
    models_.Add(item.id.value(), location, path + ".id");
    for (std::size_t i = 0; i < item.adapters.size(); ++i) {
      models_.Add(item.adapters[i].id.value(), location,
                  path + ".adapters[" + std::to_string(i) + "].id");
    }
    const bytes needed = item.weights + item.cache_reserve;
    const bool fits = std::any_of(
        owner.endpoints.begin(), owner.endpoints.end(),
        [&](const endpoint& target) { return needed <= target.memory; });
    if (!fits && !owner.endpoints.empty()) {
      location.faults->Add(
          path,
          "needs " + std::to_string(needed.count()) +
              " bytes, more than any endpoint of the service has",
          "lower weights_bytes or cache_reserve_bytes, or add a "
          "larger endpoint");
    }
  }

  void CheckPlainService(const service& item, const source_location& location) {
    if (item.routes.empty()) {
      location.faults->Add(location.path + ".routes", "is missing or empty",
                           "add at least one route, or set kind to \"model\"");
    }
    if (!item.models.empty()) {
      location.faults->Add(location.path + ".models",
                           "is not allowed for kind \"plain\"",
                           "remove it, or set kind to \"model\"");
    }
    for (std::size_t i = 0; i < item.routes.size(); ++i)
      CheckRoute(item.routes[i], location, ItemPath(location, "routes", i));
  }

  void CheckRoute(const route& item,
                  const source_location& location,
                  const std::string& path) {
    if (item.path_prefix.empty())
      return;
    routes_.Add(item.method + " " + item.path_prefix, location, path);
    for (std::string_view reserved : kReservedPrefixes) {
      if (item.path_prefix.compare(0, reserved.size(), reserved) != 0)
        continue;
      location.faults->Add(
          path + ".path_prefix",
          "is reserved for the node: \"" + item.path_prefix + "\"",
          "choose a path outside " + std::string(reserved));
    }
  }

  void CheckReference(std::string_view kind,
                      const std::string& name,
                      const std::vector<std::string>& known,
                      const source_location& location,
                      const std::string& path) const {
    if (!locations_.is_complete || !has_all_names_ || name.empty() ||
        std::find(known.begin(), known.end(), name) != known.end())
      return;
    const std::string nearest = NearestName(name, known);
    location.faults->Add(
        path, "refers to an unknown " + std::string(kind) + " \"" + name + "\"",
        nearest.empty() ? "use one that the site defines"
                        : "did you mean \"" + nearest + "\"");
  }

  const configuration& value_;
  const source_locations& locations_;
  bool has_all_names_ = true;
  std::vector<std::string> team_names_;
  std::vector<std::string> service_names_;
  unique_names teams_{"team"};
  unique_names objectives_{"objective"};
  unique_names services_{"service"};
  unique_names endpoints_{"endpoint"};
  unique_names addresses_{"address"};
  unique_names model_vms_{"VM of a model endpoint"};
  unique_names models_{"model or adapter"};
  unique_names routes_{"route"};
};

}  // namespace

void CheckConfiguration(const configuration& value,
                        const source_locations& locations) {
  configuration_checker(value, locations).Run();
}

}  // namespace jasminepath::config
