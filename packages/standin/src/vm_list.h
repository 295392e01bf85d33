#ifndef JASMINEPATH_STANDIN_VM_LIST_H_
#define JASMINEPATH_STANDIN_VM_LIST_H_

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::standin {

// One VM as the platform lists it.
struct vm_entry {
  std::string vm;
  bool leaving = false;

  friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

// The platform's VM list, which shows a change only after a lag. Safe from
// several threads.
class vm_list {
 public:
  // Replaces the list as seen from `visible_at` on.
  void Set(std::vector<vm_entry> vms, time_point visible_at);
  // The list as it shows at `now`.
  std::vector<vm_entry> Visible(time_point now);

 private:
  struct dated_list {
    time_point visible_at;
    std::vector<vm_entry> vms;
  };

  std::mutex mutex_;
  std::vector<vm_entry> visible_;
  std::deque<dated_list> pending_;
};

}  // namespace jasminepath::standin

#endif  // JASMINEPATH_STANDIN_VM_LIST_H_
