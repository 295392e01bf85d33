#ifndef JASMINEPATH_STANDIN_VM_LIST_H_
#define JASMINEPATH_STANDIN_VM_LIST_H_

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "jasminepath/base/boot_time.h"

namespace jasminepath::standin {

// One VM in the platform's list.
struct vm_entry {
  std::string vm;
  bool is_leaving = false;

  friend bool operator==(const vm_entry&, const vm_entry&) = default;
};

// The platform's VM list, in which changes become visible after a delay.
// Thread-safe.
class vm_list {
 public:
  // Replaces the list. The new list is visible from `visible_at` on.
  void Set(std::vector<vm_entry> vms, time_point visible_at);
  // The list that is visible at `now`.
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
