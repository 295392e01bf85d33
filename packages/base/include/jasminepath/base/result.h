#ifndef JASMINEPATH_BASE_RESULT_H_
#define JASMINEPATH_BASE_RESULT_H_

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

namespace jasminepath {

// A value or a typed error. Accessing the one that is not present is a
// programming error and terminates the process. Each layer has its own error
// type.
template <typename Value, typename Error>
using result = boost::outcome_v2::
    basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

}  // namespace jasminepath

#endif  // JASMINEPATH_BASE_RESULT_H_
