#include "caller_credentials.h"

#include <Poco/Net/HTTPRequest.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace jasminepath::node {
namespace {

using Poco::Net::HTTPRequest;

HTTPRequest Request(const std::string& target = "/v1/models") {
  return HTTPRequest("GET", target);
}

BOOST_AUTO_TEST_CASE(RequestWithoutKeyIsNotAnError) {
  BOOST_TEST(!ReadPresentedKey(Request()).value().has_value());
}

BOOST_AUTO_TEST_CASE(KeyIsReadFromEachSourceInAnyLetterCase) {
  HTTPRequest bearer = Request();
  bearer.add("AUTHORIZATION", "bEaReR a.b");
  BOOST_TEST(*ReadPresentedKey(bearer).value() == "a.b");
  HTTPRequest api = Request();
  api.add("x-API-key", "a.b");
  BOOST_TEST(*ReadPresentedKey(api).value() == "a.b");
  HTTPRequest plain = Request();
  plain.add("Api-Key", "a.b");
  BOOST_TEST(*ReadPresentedKey(plain).value() == "a.b");
  BOOST_TEST(*ReadPresentedKey(Request("/x?API_KEY=a.b")).value() == "a.b");
}

BOOST_AUTO_TEST_CASE(EqualKeysAreAcceptedAndDifferentKeysRejected) {
  HTTPRequest repeated = Request("/x?api_key=a.b");
  repeated.add("Authorization", "Bearer a.b");
  repeated.add("X-Api-Key", "a.b");
  BOOST_TEST(*ReadPresentedKey(repeated).value() == "a.b");
  repeated.add("X-Api-Key", "c.d");
  BOOST_TEST(
      (ReadPresentedKey(repeated).error() == credential_error::conflicting));
}

BOOST_AUTO_TEST_CASE(OtherAuthorizationSchemesAreRejected) {
  HTTPRequest basic = Request();
  basic.add("Authorization", "Basic abc");
  BOOST_TEST((ReadPresentedKey(basic).error() == credential_error::malformed));
}

}  // namespace
}  // namespace jasminepath::node
