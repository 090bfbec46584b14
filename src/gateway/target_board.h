#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/target.h"
#include "serving/config.h"
#include "serving/request_metadata.h"

namespace jackdaw::serving {

using TargetPtr = std::shared_ptr<Target>;

/// What a target is chosen for.
struct TargetNeed {
  std::string_view service;
  const RequestMetadata* call = nullptr;
  /// Engine of the service; null for a plain service.
  const EngineSpec* engine = nullptr;
  /// Targets that are not to be chosen again.
  std::span<const TargetPtr> excluded;
};

/// Why no target was chosen, or that one was.
enum class PickOutcome : std::uint8_t {
  kChosen,
  /// The service has no target that takes work.
  kNoTarget,
  /// Targets are there, but none holds the model.
  kNoModel,
  /// Targets hold the model, but none is known to hold the adapter.
  kNoAdapter,
};

/// The choice of a target, with what decided it.
struct TargetPick {
  PickOutcome outcome = PickOutcome::kNoTarget;
  TargetPtr target;
  /// Expected time to the first byte, in milliseconds.
  double expected_ms = 0;
  int candidates = 0;
};

/// How a request ended at a target.
enum class TargetOutcome : std::uint8_t {
  kAnswered,
  /// The target's answer says that it failed.
  kFailed,
  /// The target refused and said that it had not run the request.
  kRefused,
  /// No connection could be opened.
  kUnreachable,
  /// The connection broke before the answer was whole.
  kBroken,
  /// The caller or the deadline ended it.
  kAbandoned,
};

/// Digest under which instances tell each other of a target.
std::uint64_t TargetDigest(std::string_view id);
/// Digest of a prompt part under the request's model and adapter, the same at
/// all instances.
std::uint64_t PartDigest(const RequestMetadata& call, std::uint64_t part);

/// The targets of the fleet as one instance sees them, and the choice among
/// them: least expected time to the first byte, with the failure domain, the
/// prompt cache and the share of failures weighed in.
class TargetBoard {
 public:
  /// @param failure_domain the instance's own
  explicit TargetBoard(std::string failure_domain);

  /// Takes an entry as registered. @returns true where the target is new, is
  /// a new incarnation, or changed its state or models
  bool Update(const TargetRegistration& entry);
  /// The entry is gone: no new request is sent there.
  void Remove(std::string_view id);

  TargetPick Pick(const TargetNeed& need, Instant now) const;

  /// A request is sent to the target.
  /// @returns the prompt tokens that the target probably has to read
  std::int64_t OnSent(Target& target, const RequestMetadata& call, Instant now);
  /// Another instance has sent a request to a target.
  void OnSentElsewhere(std::uint64_t target_digest,
                       std::int64_t tokens,
                       std::span<const std::uint64_t> parts,
                       Instant now);
  /// The first byte of an answer came.
  /// @param reading time that was expected for reading, 0 for a plain request
  void OnFirstByte(Target& target,
                   const ResponseMetadata& answer,
                   Micros reading,
                   Instant sent_at,
                   Instant now);
  /// A request ended there. @param had_first_byte OnFirstByte was called
  void OnEnded(Target& target,
               TargetOutcome outcome,
               bool had_first_byte,
               Instant sent_at,
               Instant now);
  /// Time that the target probably takes to read the request's prompt.
  static Micros ReadingTime(const Target& target,
                            const RequestMetadata& call,
                            Instant now);
  /// What is known of an adapter changed.
  void SetAdapter(Target& target, std::string_view adapter, bool held);

  TargetPtr Find(std::string_view id) const;
  /// Targets of a service that take work.
  std::vector<TargetPtr> Usable(std::string_view service) const;
  const std::unordered_map<std::string, TargetPtr>& all() const {
    return targets_;
  }

 private:
  static void AddReading(Target& target, std::int64_t tokens, Instant now);
  double Cost(const Target& target, const TargetNeed& need, Instant now) const;

  std::string failure_domain_;
  std::unordered_map<std::string, TargetPtr> targets_;
  std::unordered_map<std::uint64_t, TargetPtr> by_digest_;
};

}  // namespace jackdaw::serving
