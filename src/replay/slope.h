#pragma once

#include <span>

namespace jackdaw {

/// A measured point: the size of something and what it costs.
struct CostPoint {
  double size = 0;
  double cost = 0;
};

/// Straight line through measured points.
struct CostLine {
  double base = 0;
  double per_unit = 0;

  double At(double size) const { return base + per_unit * size; }
};

/// Least-squares line. @param points at least two of different size
constexpr CostLine FitLine(std::span<const CostPoint> points) {
  double n = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& point : points) {
    n += 1;
    sum_x += point.size;
    sum_y += point.cost;
    sum_xx += point.size * point.size;
    sum_xy += point.size * point.cost;
  }
  CostLine line;
  line.per_unit = (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  line.base = (sum_y - line.per_unit * sum_x) / n;
  return line;
}

}  // namespace jackdaw
