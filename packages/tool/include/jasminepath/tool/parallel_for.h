#ifndef JASMINEPATH_TOOL_PARALLEL_FOR_H_
#define JASMINEPATH_TOOL_PARALLEL_FOR_H_

#include <cstddef>
#include <functional>

namespace jasminepath::tool {

// Calls `work` for each index below `count` on up to 16 threads. Blocks until
// all calls have returned.
void ParallelFor(std::size_t count,
                 const std::function<void(std::size_t)>& work);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_PARALLEL_FOR_H_
