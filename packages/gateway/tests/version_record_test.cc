#include "version_record.h"

#include <boost/test/unit_test.hpp>

namespace jasminepath::gateway {
namespace {

BOOST_AUTO_TEST_CASE(VersionRecordIsReadAsWritten) {
  const version_record record{{software_version("41"), 1234},
                              {software_version("42"), std::nullopt}};
  const auto decoded = DecodeVersionRecord(EncodeVersionRecord(record));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded.value() == record));
}

BOOST_AUTO_TEST_CASE(MalformedVersionRecordsAreErrors) {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"versions":{}})", R"({"versions":[1]})",
        R"({"versions":[{"leftMs":1}]})", R"({"versions":[{"version":41}]})",
        R"({"versions":[{"version":"41","leftMs":"1"}]})"})
    BOOST_TEST(!DecodeVersionRecord(text).has_value(), text);
}

}  // namespace
}  // namespace jasminepath::gateway
