#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/error.h"

namespace jackdaw {

/// Kind of an artifact in accelerator memory.
enum class ArtifactKind : std::uint8_t { kModel, kAdapter };

/// One version of a model or of an adapter that targets can load.
struct Artifact {
  ArtifactKind kind = ArtifactKind::kModel;
  std::string name;
  std::int64_t version = 1;

  friend bool operator==(const Artifact& a, const Artifact& b) = default;
  friend bool operator<(const Artifact& a, const Artifact& b) {
    return std::tie(a.kind, a.name, a.version) <
           std::tie(b.kind, b.name, b.version);
  }
};

enum class OrderOp : std::uint8_t { kLoad, kUnload };

/// An order to a model engine to load or unload an artifact. `fence` is the
/// fencing number of the lease under which it was given; an engine that checks
/// it rejects orders with a lower number.
struct Order {
  std::string id;
  std::uint64_t fence = 0;
  OrderOp op = OrderOp::kLoad;
  Artifact item;
  std::int64_t memory_mb = 0;
};

/// State of an artifact as the engine reports it.
enum class ArtifactState : std::uint8_t { kLoading, kResident, kUnloading };

/// An artifact in the memory of an engine, in any state.
struct EngineArtifact {
  Artifact item;
  std::int64_t memory_mb = 0;
  ArtifactState state = ArtifactState::kResident;
};

boost::json::object ToJson(const Order& order);
Result<Order> ReadOrder(const boost::json::value& value, std::string path);
std::string EncodeOrder(const Order& order);
Result<Order> DecodeOrder(std::string_view body);

boost::json::array ToJson(const std::vector<EngineArtifact>& items);
Result<std::vector<EngineArtifact>> ReadEngineArtifacts(
    const std::vector<boost::json::value>& values,
    const std::string& path);

/// Returns a human-readable text such as `model m@2`.
std::string ToText(const Artifact& item);

}  // namespace jackdaw
