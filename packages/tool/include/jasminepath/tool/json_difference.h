#ifndef JASMINEPATH_TOOL_JSON_DIFFERENCE_H_
#define JASMINEPATH_TOOL_JSON_DIFFERENCE_H_

#include <string>
#include <vector>

#include "jasminepath/config/json_value.h"

namespace jasminepath::tool {

// Returns a line for each difference between two documents: "+ path" for added
// and "- path" for removed members and items, and "~ path: before -> after" for
// changed values. Items of arrays are matched by their identifying members
// ("id"; "team" and "service"; "method" and "path_prefix"), or by index if they
// have none.
std::vector<std::string> Difference(const config::json_value& before,
                                    const config::json_value& after);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_JSON_DIFFERENCE_H_
