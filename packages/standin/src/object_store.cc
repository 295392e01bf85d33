#include "object_store.h"

namespace jasminepath::standin {

bool object_store::Put(const std::string& name,
                       const std::string& body,
                       bool only_create) {
  const std::lock_guard lock(mutex_);
  if (only_create && objects_.contains(name))
    return false;
  objects_[name] = body;
  return true;
}

std::optional<std::string> object_store::Get(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = objects_.find(name);
  if (found == objects_.end())
    return std::nullopt;
  return found->second;
}

std::vector<std::string> object_store::List(const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> names;
  for (auto object = objects_.lower_bound(prefix);
       object != objects_.end() && object->first.starts_with(prefix); ++object)
    names.push_back(object->first);
  return names;
}

}  // namespace jasminepath::standin
