#ifndef JASMINEPATH_ENDPOINT_SRC_HEAD_SYNTAX_H_
#define JASMINEPATH_ENDPOINT_SRC_HEAD_SYNTAX_H_

#include <string_view>

namespace jasminepath::endpoint {

// Whether the first line of an answer's head is a status line of HTTP/1 with a
// status from 100 to 599. POCO accepts other numbers.
bool HasValidStatusLine(std::string_view head);

// Whether all further lines of the head, which ends with an empty line, are
// header fields: a token, a colon right after it, and a value without control
// characters. POCO accepts any name. Folded lines, which are obsolete, are not
// valid.
bool HasValidFields(std::string_view head);

}  // namespace jasminepath::endpoint

#endif  // JASMINEPATH_ENDPOINT_SRC_HEAD_SYNTAX_H_
