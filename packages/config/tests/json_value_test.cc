#include "jasminepath/config/json_value.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::config {
namespace {

constexpr int64_t kMaxExact = int64_t{1} << 53;

json_value RandomValue(int depth) {
  const int kind = *rc::gen::inRange(0, depth > 0 ? 7 : 5);
  switch (kind) {
    case 0:
      return json_value();
    case 1:
      return json_value(*rc::gen::arbitrary<bool>());
    case 2:
      return json_value(*rc::gen::inRange<int64_t>(-kMaxExact, kMaxExact + 1));
    case 3:
      return json_value(*rc::gen::arbitrary<int>() / 8.0);
    case 4:
      return json_value(
          *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)));
    default:
      break;
  }
  const int count = *rc::gen::inRange(0, 4);
  json_value parent = kind == 5 ? json_value(json_value::array())
                                : json_value(json_value::object());
  for (int i = 0; i < count; ++i)
    parent.Append("m" + std::to_string(i), RandomValue(depth - 1));
  return parent;
}

BOOST_AUTO_TEST_CASE(DocumentsRoundTripThroughJsonText) {
  BOOST_TEST(rc::check("a written document parses to itself", [] {
    json_value document{json_value::array()};
    document.Append("", RandomValue(4));
    for (unsigned indent : {0U, 2U}) {
      const auto parsed = ParseJson(WriteJson(document, indent));
      RC_ASSERT(parsed.has_value());
      RC_ASSERT(parsed.value() == document);
    }
  }));
}

BOOST_AUTO_TEST_CASE(WritesIndentedObjects) {
  const json_value document(json_value::object{
      {"a", json_value(json_value::array{json_value(int64_t{1})})},
      {"b", json_value(json_value::object())}});
  BOOST_TEST(WriteJson(document) == R"({"a":[1],"b":{}})");
  BOOST_TEST(WriteJson(document, 2) ==
             "{\n  \"a\": [\n    1\n  ],\n  \"b\": {}\n}");
}

BOOST_AUTO_TEST_CASE(RejectsMalformedJson) {
  const std::string bad_texts[] = {
      "",
      "{",
      "nul",
      "{} {}",
      R"({"a":1,"a":2})",
      R"({"a":1,})",
      "[1 2]",
      std::string(100, '[') + std::string(100, ']')};
  for (const std::string& text : bad_texts) {
    BOOST_TEST_CONTEXT(text)
    BOOST_TEST(!ParseJson(text).has_value());
  }
}

}  // namespace
}  // namespace jasminepath::config
