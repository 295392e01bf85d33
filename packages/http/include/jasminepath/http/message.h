#ifndef JASMINEPATH_HTTP_MESSAGE_H_
#define JASMINEPATH_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace jasminepath::http {

// One header field. Names are compared case-insensitively.
struct header {
  std::string name;
  std::string value;

  friend bool operator==(const header&, const header&) = default;
};

// Header fields in the order they were received or are to be sent.
class header_list {
 public:
  header_list() = default;
  header_list(std::initializer_list<header> fields) : fields_(fields) {}

  void Add(std::string name, std::string value);
  // The value of the first field of that name, or null.
  const std::string* Find(std::string_view name) const;
  // The value of the first field of that name, or an empty string.
  std::string_view ValueOf(std::string_view name) const;

  const std::vector<header>& fields() const { return fields_; }

  friend bool operator==(const header_list&, const header_list&) = default;

 private:
  std::vector<header> fields_;
};

// A complete request.
struct request {
  std::string method;
  // Path and query as received.
  std::string target;
  header_list headers;
  std::string body;

  friend bool operator==(const request&, const request&) = default;
};

// Status line and header fields of an answer.
struct response_head {
  int status = 0;
  header_list headers;

  friend bool operator==(const response_head&, const response_head&) = default;
};

// A complete answer.
struct response {
  response_head head;
  std::string body;

  friend bool operator==(const response&, const response&) = default;
};

// Whether two strings are equal, ignoring ASCII case.
bool IsEqualIgnoringCase(std::string_view a, std::string_view b);

// Whether a field concerns one connection only and is never forwarded
// (RFC 9110, section 7.6.1), or frames the body of this connection's message.
bool IsConnectionField(std::string_view name);

// The standard reason phrase of a status code.
std::string_view ReasonPhrase(int status);

// Returns the request line, fields and body as sent. Adds Content-Length if the
// method usually has a body or the body is not empty.
std::string Serialize(const request& message);

// The target without its query.
std::string_view PathOf(std::string_view target);

// The value of a query parameter of the target, or an empty string.
std::string_view QueryValue(std::string_view target, std::string_view name);

}  // namespace jasminepath::http

#endif  // JASMINEPATH_HTTP_MESSAGE_H_
