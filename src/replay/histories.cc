#include "replay/history.h"

namespace jackdaw {

std::span<const HistoryKind> HistoryKinds() {
  return {};
}

}  // namespace jackdaw
