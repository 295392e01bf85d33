#include "jasminepath/gateway/site.h"

#include <algorithm>

namespace jasminepath::gateway {
namespace {

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return out;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const model_spec* engine_spec::FindModel(const model_id& model) const {
  const auto found =
      std::find_if(models.begin(), models.end(),
                   [&](const model_spec& spec) { return spec.model == model; });
  return found == models.end() ? nullptr : &*found;
}

site::site(int64_t version,
           std::vector<route> routes,
           std::vector<service_spec> services,
           std::vector<team> teams,
           http::server_limits limits)
    : version_(version),
      routes_(std::move(routes)),
      services_(std::move(services)),
      teams_(std::move(teams)),
      limits_(limits) {
  for (std::size_t i = 0; i < routes_.size(); ++i)
    routes_by_host_[LowerCase(routes_[i].host)].push_back(i);
  for (auto& [host, indexes] : routes_by_host_) {
    std::stable_sort(
        indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
          return routes_[a].path_prefix.size() > routes_[b].path_prefix.size();
        });
  }
  for (std::size_t i = 0; i < teams_.size(); ++i) {
    for (const std::string& key : teams_[i].keys)
      team_by_key_.emplace(key, i);
  }
}

const route* site::FindRoute(std::string_view host,
                             std::string_view path) const {
  const auto found = routes_by_host_.find(LowerCase(WithoutPort(host)));
  if (found == routes_by_host_.end())
    return nullptr;
  for (const std::size_t index : found->second) {
    if (path.starts_with(routes_[index].path_prefix))
      return &routes_[index];
  }
  return nullptr;
}

const team* site::FindTeam(std::string_view key) const {
  const auto found = team_by_key_.find(std::string(key));
  return found == team_by_key_.end() ? nullptr : &teams_[found->second];
}

const service_spec* site::FindService(const service_id& service) const {
  const auto found = std::find_if(
      services_.begin(), services_.end(),
      [&](const service_spec& spec) { return spec.service == service; });
  return found == services_.end() ? nullptr : &*found;
}

}  // namespace jasminepath::gateway
