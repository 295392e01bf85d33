#ifndef JASMINEPATH_REPLAY_TRACE_FORMAT_H_
#define JASMINEPATH_REPLAY_TRACE_FORMAT_H_

#include <istream>
#include <ostream>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/fault.h"
#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// Reads a trace as docs/TRACE_FORMAT.md describes it and checks it. `name`
// names the input in faults, followed by a colon and the line.
result<trace, config::fault_list> ReadTrace(const std::string& name,
                                            std::istream& in);

// Reads a file; one that cannot be opened is a fault.
result<trace, config::fault_list> LoadTrace(const std::string& path);

// Writes a trace that ReadTrace reads back to an equal one, except for the
// configuration's version, which is 0.
void WriteTrace(const trace& value, std::ostream& out);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TRACE_FORMAT_H_
