#include "jasminepath/tool/parallel_for.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace jasminepath::tool {

namespace {

constexpr std::size_t kMaxThreads = 16;

}  // namespace

void ParallelFor(std::size_t count,
                 const std::function<void(std::size_t)>& work) {
  std::atomic<std::size_t> next = 0;
  const auto run = [&] {
    for (std::size_t i = next++; i < count; i = next++)
      work(i);
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::min(count, kMaxThreads); ++i)
    threads.emplace_back(run);
  for (std::thread& thread : threads)
    thread.join();
}

}  // namespace jasminepath::tool
