#include "refusal_body.h"

#include <Poco/JSON/Object.h>

#include <algorithm>
#include <sstream>

namespace jasminepath::node {

std::string RefusalBody(const refusal& reason, const std::string& request) {
  Poco::JSON::Object::Ptr error = new Poco::JSON::Object;
  error->set("code", std::string(ToString(reason.code)));
  error->set("message", reason.message);
  error->set("type", std::string("jasminepath_refusal"));
  Poco::JSON::Object root;
  root.set("error", error);
  root.set("code", std::string(ToString(reason.code)));
  root.set("message", reason.message);
  root.set("run", std::string(ToString(reason.run)));
  root.set("request_id", request);
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

std::string RefusalEvent(const refusal& reason, const std::string& request) {
  return "event: error\ndata: " + RefusalBody(reason, request) + "\n\n";
}

int64_t RetryAfterSeconds(duration wait) {
  const auto whole =
      std::chrono::ceil<std::chrono::seconds>(std::max(wait, duration::zero()));
  return std::max<int64_t>(1, whole.count());
}

}  // namespace jasminepath::node
