#ifndef JASMINEPATH_STANDIN_OBJECT_SHELF_H_
#define JASMINEPATH_STANDIN_OBJECT_SHELF_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace jasminepath::standin {

// The platform's object store. Safe from several threads.
class object_shelf {
 public:
  // False if `only_create` is set and the object is there.
  bool Put(const std::string& name, const std::string& body, bool only_create);
  std::optional<std::string> Get(const std::string& name) const;
  // Names with the prefix, in order.
  std::vector<std::string> List(const std::string& prefix) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_OBJECT_SHELF_H_
