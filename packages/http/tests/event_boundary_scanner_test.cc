#include "jasminepath/http/event_boundary_scanner.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "jasminepath/http/event_stream_splitter.h"

namespace jasminepath::http {
namespace {

BOOST_AUTO_TEST_CASE(ScannerFindsBoundariesForEverySplitOfTheInput) {
  struct row {
    std::string stream;
    bool is_inside;
  };
  for (const row& item :
       {row{"", false}, row{"\n", false}, row{"data: a\n\n", false},
        row{"data: a\r\n\r\n", false}, row{"data: a\n\n\n", false},
        row{"data: a\n\n: b\n\n", false}, row{"d", true},
        row{"data: a\n", true}, row{"data: a\r\n\r", true},
        row{"data: a\n\nid: 2\n", true}, row{"a\n\nb\r\n\r\nx\r\n", true},
        row{"a\n\nb\nx\r", true}}) {
    for (std::size_t cut = 0; cut <= item.stream.size(); ++cut) {
      event_boundary_scanner scanner;
      BOOST_TEST(scanner.Scan(item.stream.substr(0, cut)));
      BOOST_TEST(scanner.Scan(item.stream.substr(cut)));
      BOOST_TEST(scanner.IsInsideEvent() == item.is_inside);
    }
  }
}

BOOST_AUTO_TEST_CASE(ScannerDetectsTheFirstCompleteEvent) {
  event_boundary_scanner scanner;
  for (const char* chunk : {"\n", "data: a", "\r\n", "\r"}) {
    BOOST_TEST(scanner.Scan(chunk));
    BOOST_TEST(!scanner.HasCompleteEvent());
  }
  BOOST_TEST(scanner.Scan("\n"));
  BOOST_TEST(scanner.HasCompleteEvent());
  BOOST_TEST(scanner.Scan("data: b"));
  BOOST_TEST(scanner.HasCompleteEvent());
}

BOOST_AUTO_TEST_CASE(ScannerRejectsAnOversizedEvent) {
  event_boundary_scanner scanner;
  const std::string most(kMaxEventBytes, 'x');
  BOOST_TEST(scanner.Scan(most));
  BOOST_TEST(!scanner.Scan("x"));
}

}  // namespace
}  // namespace jasminepath::http
