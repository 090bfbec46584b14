#pragma once

#include <span>
#include <string>
#include <string_view>

namespace jackdaw {

/// One bar of a chart.
struct Bar {
  std::string label;
  double value = 0;
};

/// Horizontal bar chart as an SVG document.
std::string BarChartSvg(std::string_view title, std::span<const Bar> bars);

}  // namespace jackdaw
