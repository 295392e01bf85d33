#include "svg_writer.h"

#include <utility>

namespace jasminepath::report {

namespace {

std::string Attribute(std::string_view name, int value) {
  return " " + std::string(name) + "=\"" + std::to_string(value) + "\"";
}

std::string Escaped(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<')
      escaped += "&lt;";
    else if (c == '&')
      escaped += "&amp;";
    else if (c == '>')
      escaped += "&gt;";
    else
      escaped += c;
  }
  return escaped;
}

}  // namespace

svg_writer::svg_writer(int width, int height) {
  image_ = "<svg xmlns=\"http://www.w3.org/2000/svg\"" +
           Attribute("width", width) + Attribute("height", height) +
           " font-family=\"sans-serif\" font-size=\"11\">\n"
           "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
}

void svg_writer::Rectangle(const svg_box& box, std::string_view colour) {
  image_ += "<rect" + Attribute("x", box.x) + Attribute("y", box.y) +
            Attribute("width", box.width) + Attribute("height", box.height) +
            " fill=\"" + std::string(colour) + "\"/>\n";
}

void svg_writer::Line(int x1, int y1, int x2, int y2) {
  image_ += "<line" + Attribute("x1", x1) + Attribute("y1", y1) +
            Attribute("x2", x2) + Attribute("y2", y2) +
            " stroke=\"black\" stroke-dasharray=\"4 3\"/>\n";
}

void svg_writer::Text(int x, int y, std::string_view text) {
  image_ += "<text" + Attribute("x", x) + Attribute("y", y) + ">" +
            Escaped(text) + "</text>\n";
}

std::string svg_writer::Finish() {
  return std::move(image_) + "</svg>\n";
}

}  // namespace jasminepath::report
