#include "replay/bar_chart.h"

#include <algorithm>
#include <cstdio>

namespace jackdaw {
namespace {

// Measures in pixels.
constexpr int kWidth = 760;
constexpr int kLabelWidth = 260;
constexpr int kValueWidth = 90;
constexpr int kRowHeight = 24;
constexpr int kBarHeight = 16;
constexpr int kTop = 40;

std::string Escaped(std::string_view text) {
  std::string safe;
  for (const char c : text) {
    switch (c) {
      case '&':
        safe += "&amp;";
        break;
      case '<':
        safe += "&lt;";
        break;
      case '>':
        safe += "&gt;";
        break;
      default:
        safe += c;
    }
  }
  return safe;
}

std::string Number(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

std::string TextAt(int x,
                   int y,
                   std::string_view anchor,
                   std::string_view text) {
  return "<text x=\"" + std::to_string(x) + "\" y=\"" + std::to_string(y) +
         "\" text-anchor=\"" + std::string(anchor) + "\">" + Escaped(text) +
         "</text>\n";
}

}  // namespace

std::string BarChartSvg(std::string_view title, std::span<const Bar> bars) {
  double largest = 0;
  for (const auto& bar : bars) {
    largest = std::max(largest, bar.value);
  }
  const int height = kTop + kRowHeight * static_cast<int>(bars.size()) + 10;
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    std::to_string(kWidth) + "\" height=\"" +
                    std::to_string(height) +
                    "\" font-family=\"sans-serif\" font-size=\"13\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  svg += TextAt(10, 24, "start", title);
  int y = kTop;
  for (const auto& bar : bars) {
    const double room = kWidth - kLabelWidth - kValueWidth;
    const int width =
        largest <= 0 ? 0 : static_cast<int>(room * bar.value / largest);
    svg += TextAt(kLabelWidth - 8, y + kBarHeight - 3, "end", bar.label);
    svg += "<rect x=\"" + std::to_string(kLabelWidth) + "\" y=\"" +
           std::to_string(y) + "\" width=\"" +
           std::to_string(std::max(1, width)) + "\" height=\"" +
           std::to_string(kBarHeight) + "\" fill=\"#4472a8\"/>\n";
    svg += TextAt(kLabelWidth + std::max(1, width) + 6, y + kBarHeight - 3,
                  "start", Number(bar.value));
    y += kRowHeight;
  }
  return svg + "</svg>\n";
}

}  // namespace jackdaw
