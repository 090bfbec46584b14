#include "replay/placement_shape.h"

#include <array>

namespace jackdaw {
namespace {

constexpr std::array kShapes{
    PlacementShape{"ponte-nordeste", 8, 12, 3, 20, 1, 2, 2, 7200, 5},
    PlacementShape{"lantern-permits", 8, 18, 4, 25, 1, 16, 2, 7200, 5},
    PlacementShape{"design", 370, 640, 6, 200, 8, 16, 2, 3600, 30},
};

}  // namespace

std::optional<PlacementShape> FindPlacementShape(std::string_view name) {
  for (const auto& shape : kShapes) {
    if (shape.name == name) {
      return shape;
    }
  }
  return std::nullopt;
}

}  // namespace jackdaw
