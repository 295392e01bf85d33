#include "vm_list.h"

#include <utility>

namespace jasminepath::standin {

void vm_list::Set(std::vector<vm_entry> vms, time_point visible_at) {
  const std::lock_guard lock(mutex_);
  pending_.push_back({visible_at, std::move(vms)});
}

std::vector<vm_entry> vm_list::Visible(time_point now) {
  const std::lock_guard lock(mutex_);
  while (!pending_.empty() && pending_.front().visible_at <= now) {
    visible_ = std::move(pending_.front().vms);
    pending_.pop_front();
  }
  return visible_;
}

}  // namespace jasminepath::standin
