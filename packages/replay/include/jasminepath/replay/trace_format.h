#ifndef JASMINEPATH_REPLAY_TRACE_FORMAT_H_
#define JASMINEPATH_REPLAY_TRACE_FORMAT_H_

#include <istream>
#include <ostream>
#include <string>

#include "jasminepath/base/result.h"
#include "jasminepath/config/fault.h"
#include "jasminepath/replay/trace.h"

namespace jasminepath::replay {

// Reads and validates a trace in the format of docs/TRACE_FORMAT.md. Faults
// name their place as `name`, a colon and the line number.
result<trace, config::fault_list> ReadTrace(const std::string& name,
                                            std::istream& in);

// Reads a trace file. Returns a fault if the file cannot be opened.
result<trace, config::fault_list> LoadTrace(const std::string& path);

// Writes a trace. ReadTrace reads back an equal one, except that the version of
// its configuration is 0.
void WriteTrace(const trace& value, std::ostream& out);

}  // namespace jasminepath::replay

#endif  // JASMINEPATH_REPLAY_TRACE_FORMAT_H_
