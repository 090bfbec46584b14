#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "quota/local_quotas.h"

namespace jackdaw::serving {

/// Units that a holder of parts has charged for this instance.
struct BorrowedUnits {
  std::string holder;
  /// Id of the request to the holder.
  std::uint64_t id = 0;
  double units = 0;
  /// The units may be spent until then.
  Instant usable_until{};
};

/// What was charged for one request of a caller.
struct QuotaCharge {
  std::string workspace;
  double own_units = 0;
  Instant taken_at{};
  std::vector<BorrowedUnits> borrowed;
};

/// Whether a caller's request is within its workspace's quota.
struct ChargeOutcome {
  bool granted = false;
  QuotaCharge charge;
  /// Time at which the fleet will have the units, if not granted.
  Instant retry_at{};
  /// Units that this instance lacked and holders that it asked for them, if not
  /// granted.
  double missing = 0;
  std::size_t holders_asked = 0;
};

/// A request to a holder to charge units for a request here.
struct UnitsRequest {
  std::string holder;
  std::uint64_t id = 0;
  std::string workspace;
  double units = 0;
};

/// A holder's answer: the units that it charged, and what it has left.
struct UnitsGrant {
  std::uint64_t id = 0;
  double units = 0;
  QuotaLevel left;
};

/// Units that go back to the holder that charged them.
struct UnitsReturn {
  std::string holder;
  /// Id of the request for the units, and of this return.
  std::uint64_t id = 0;
  std::uint64_t return_id = 0;
  double units = 0;
};

/// Charges the units of callers' requests: from the parts that this instance
/// holds, else from those of the workspace's other holders, which it asks one
/// after the other. The requests of a workspace are served in order, so that
/// small ones do not overtake a large one.
///
/// The holders are known by rendezvous hashing over the members. One that does
/// not answer, or had too little, is passed over until it can have the units,
/// so that a request beyond the quota is refused at once. One that the fleet
/// will have the units for within moments waits for them, unless requests of
/// the workspace are being refused.
///
/// A pure state machine: the caller passes events and the time, and carries out
/// the actions.
class UnitBroker {
 public:
  /// Decision on a request.
  struct Decision {
    std::uint64_t ticket = 0;
    ChargeOutcome outcome;
  };
  struct Actions {
    std::vector<UnitsRequest> requests;
    std::vector<UnitsReturn> returns;
    std::vector<Decision> decisions;
  };

  /// @param self name of this instance
  /// @param seed seed of the ids of requests, different for each process
  UnitBroker(LocalQuotas& quotas, std::string self, std::uint64_t seed)
      : quotas_(quotas), self_(std::move(self)), random_(seed) {}

  /// Sets the names of the instances that can hold parts.
  void SetMembers(std::vector<std::string> names);
  /// Requests the units of a caller's request. The decision is an action, at
  /// once or after the answers of holders.
  /// @returns the ticket that the decision names
  std::uint64_t Charge(std::string_view workspace, double units, Instant now);
  /// Returns the units of a request that has not run.
  void Refund(const QuotaCharge& charge, Instant now);
  void OnGrant(const UnitsGrant& grant, Instant now);
  /// Repeats requests without an answer, and passes over holders whose answers
  /// are overdue.
  void OnTime(Instant now);
  /// Returns when OnTime is to be called next; Instant::max() for never.
  Instant NextTimeout() const;
  /// Requests that were not answered in time, since the start.
  std::uint64_t timeouts() const { return timeouts_; }
  /// Returns and clears the pending actions.
  Actions TakeActions();

 private:
  struct Waiting {
    std::uint64_t ticket = 0;
    double units = 0;
    Instant give_up_at{};
    /// Whether the request has waited for the holders to gain units.
    bool waited = false;
  };
  struct PendingRequest {
    UnitsRequest request;
    Instant sent_at{};
    /// The request is sent once more then; max() once it has been.
    Instant resend_at{};
    Instant timeout_at{};
  };
  /// A request that was given up.
  struct Abandoned {
    std::string holder;
    Instant at{};
  };
  /// What a holder had left when it answered last.
  struct Estimate {
    QuotaLevel level;
    Instant at{};
  };
  struct WorkspaceQueue {
    std::deque<Waiting> waiting;
    std::deque<BorrowedUnits> borrowed;
    std::optional<PendingRequest> pending;
    /// The first request waits until then; max() if it does not.
    Instant resume_at = Instant::max();
    Instant refused_at{};
    /// Holders that were asked for the first waiting request.
    std::set<std::string> asked;
    std::map<std::string, Estimate> estimates;
    /// The holders as of the current members; empty until looked up.
    std::vector<std::string> holders;
  };

  void Advance(const std::string& workspace,
               WorkspaceQueue& queue,
               Instant now);
  void Grant(const std::string& workspace, WorkspaceQueue& queue, Instant now);
  bool WaitForUnits(WorkspaceQueue& queue, Instant units_at, Instant now) const;
  void Refuse(WorkspaceQueue& queue,
              double missing,
              Instant units_at,
              Instant now);
  Instant UnitsAt(const std::string& workspace,
                  const WorkspaceQueue& queue,
                  double missing,
                  Instant now) const;
  void SendRequest(const std::string& workspace,
                   WorkspaceQueue& queue,
                   const std::string& holder,
                   Instant now);
  std::optional<std::string> ChooseHolder(const WorkspaceQueue& queue,
                                          double missing,
                                          Instant now);
  std::optional<double> EstimatedBalance(const WorkspaceQueue& queue,
                                         const std::string& holder,
                                         Instant now) const;
  void LookUpHolders(const std::string& workspace, WorkspaceQueue& queue);
  void ReturnBorrowed(WorkspaceQueue& queue, Instant lapsed_before);
  void Return(const BorrowedUnits& part);
  static double Borrowed(const WorkspaceQueue& queue);

  LocalQuotas& quotas_;
  std::string self_;
  Random random_;
  std::vector<std::string> members_;
  std::map<std::string, WorkspaceQueue, std::less<>> queues_;
  /// Holders that did not answer are passed over until then.
  std::map<std::string, Instant> silent_until_;
  /// By the id of the request. Grants that come later are returned.
  std::map<std::uint64_t, Abandoned> abandoned_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t timeouts_ = 0;
  Actions actions_;
};

}  // namespace jackdaw::serving
