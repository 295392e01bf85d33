#include "jasminepath/decision/admission/key_registry.h"

#include <boost/test/unit_test.hpp>

#include "jasminepath/base/digest.h"

namespace jasminepath::decision {
namespace {

config::team_key MakeKey(bool withdrawn = false) {
  return {key_id("k1"), team_id("beads"), Sha256Hex("secret"), withdrawn};
}

BOOST_AUTO_TEST_SUITE(key_registry_test)

BOOST_AUTO_TEST_CASE(KeyIdentifiesItsTeam) {
  key_registry keys;
  keys.Apply(MakeKey(), revision(5));
  const auto caller = keys.Check("k1.secret");
  BOOST_TEST(caller.has_value());
  BOOST_TEST(caller.value().team == team_id("beads"));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedUnknownAndWrongKeys) {
  key_registry keys;
  keys.Apply(MakeKey(), revision(5));
  for (const char* bad : {"", ".", "k1", "k1.", ".secret", "k1secret"})
    BOOST_TEST((keys.Check(bad).error() == key_error::malformed));
  BOOST_TEST((keys.Check("k2.secret").error() == key_error::unknown));
  BOOST_TEST((keys.Check("k1.Secret").error() == key_error::wrong_secret));
  BOOST_TEST((keys.Check("k1.secret.").error() == key_error::wrong_secret));
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyStaysInvalid) {
  key_registry keys;
  keys.Apply(MakeKey(), revision(5));
  keys.Apply(MakeKey(true), revision(7));
  keys.Apply(MakeKey(), revision(6));
  BOOST_TEST(!keys.IsValid(key_id("k1")));
  keys.Apply(MakeKey(), revision(9));
  BOOST_TEST(!keys.IsValid(key_id("k1")));
  BOOST_TEST((keys.Check("k1.secret").error() == key_error::key_withdrawn));
}

BOOST_AUTO_TEST_CASE(OlderFactDoesNotReplaceANewerOne) {
  key_registry keys;
  config::team_key moved = MakeKey();
  moved.team = team_id("pegs");
  keys.Apply(moved, revision(8));
  keys.Apply(MakeKey(), revision(5));
  BOOST_TEST(keys.Check("k1.secret").value().team == team_id("pegs"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace jasminepath::decision
