#ifndef JASMINEPATH_STANDIN_OBJECT_STORE_H_
#define JASMINEPATH_STANDIN_OBJECT_STORE_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jasminepath::standin {

// The platform's object store, in memory. Thread-safe.
class object_store {
 public:
  // Stores the object. False if `only_create` is set and the object exists.
  bool Put(const std::string& name, const std::string& body, bool only_create);
  std::optional<std::string> Get(const std::string& name) const;
  // The names that start with the prefix, sorted.
  std::vector<std::string> List(const std::string& prefix) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_OBJECT_STORE_H_
