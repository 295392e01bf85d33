#ifndef JASMINEPATH_REPORT_SRC_SVG_WRITER_H_
#define JASMINEPATH_REPORT_SRC_SVG_WRITER_H_

#include <string>
#include <string_view>

namespace jasminepath::report {

// Position and size of a rectangle in pixels.
struct svg_box {
  int x = 0;
  int y = 0;
  int width = 0;
  int height = 0;
};

// Writes a small SVG image. Coordinates are in pixels; texts are escaped.
class svg_writer {
 public:
  svg_writer(int width, int height);

  void Rectangle(const svg_box& box, std::string_view colour);
  void Line(int x1, int y1, int x2, int y2);
  void Text(int x, int y, std::string_view text);

  // Completes the image and returns it. Call this last.
  std::string Finish();

 private:
  std::string image_;
};

}  // namespace jasminepath::report

#endif  // JASMINEPATH_REPORT_SRC_SVG_WRITER_H_
