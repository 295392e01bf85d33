#ifndef JASMINEPATH_TOOL_JSON_DIFFERENCE_H_
#define JASMINEPATH_TOOL_JSON_DIFFERENCE_H_

#include <string>
#include <vector>

#include "jasminepath/config/json_value.h"

namespace jasminepath::tool {

// What changed between two documents, a line for each: "+ path" for what is
// new, "- path" for what is gone and "~ path: before -> after" for values.
// Items of arrays are matched by the members that name them ("id"; "team" and
// "service"; "method" and "path_prefix"), else by their place.
std::vector<std::string> Difference(const config::json_value& before,
                                    const config::json_value& after);

}  // namespace jasminepath::tool

#endif  // JASMINEPATH_TOOL_JSON_DIFFERENCE_H_
