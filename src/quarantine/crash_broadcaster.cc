#include "quarantine/crash_broadcaster.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

peer::Envelope MakeNotice(std::uint64_t query_id,
                          const std::string& digest,
                          const Suspect& suspect) {
  peer::Envelope envelope;
  auto& notice = *envelope.mutable_crash_notice();
  notice.set_ask_id(query_id);
  notice.set_digest(digest);
  for (const auto& target : suspect.targets) {
    notice.add_targets(target);
  }
  notice.set_until_ms(ToMillis(suspect.until));
  notice.set_quarantined(suspect.quarantined);
  return envelope;
}

}  // namespace

CrashBroadcaster::CrashBroadcaster(Duty& thread,
                                   std::string name,
                                   FleetViewHolder& view,
                                   DecisionThread& decisions,
                                   PeerService& peers)
    : thread_(thread),
      name_(std::move(name)),
      view_(view),
      decisions_(decisions),
      peers_(peers) {
  peers_.RegisterHandler(
      peer::Envelope::kCrashNotice,
      [this](const peer::Envelope& envelope) { OnNotice(envelope); });
  peers_.RegisterHandler(
      peer::Envelope::kCrashAnswer,
      [this](const peer::Envelope& envelope) { OnAnswer(envelope); });
}

asio::awaitable<PeerAnswers> CrashBroadcaster::Broadcast(std::string digest,
                                                         Suspect suspect,
                                                         Micros timeout) {
  PendingQuery query(thread_);
  const std::uint64_t query_id = next_query_id_++;
  const FleetViewPtr view = view_.Get();
  for (const auto& instance : view->instances) {
    if (instance.name != name_) {
      query.awaiting.insert(instance.name);
    }
  }
  if (query.awaiting.empty()) {
    co_return PeerAnswers{true, false};
  }
  pending_[query_id] = &query;
  const peer::Envelope notice = MakeNotice(query_id, digest, suspect);
  for (const auto& instance : view->instances) {
    if (instance.name != name_) {
      peers_.Send(instance.name, notice);
    }
  }
  query.timer.expires_after(timeout);
  static_cast<void>(
      co_await query.timer.async_wait(asio::as_tuple(asio::use_awaitable)));
  pending_.erase(query_id);
  co_return PeerAnswers{query.awaiting.empty(), query.running};
}

void CrashBroadcaster::BroadcastCleared(const std::string& digest) {
  peer::Envelope envelope = MakeNotice(0, digest, {});
  envelope.mutable_crash_notice()->set_cleared(true);
  const FleetViewPtr view = view_.Get();
  for (const auto& instance : view->instances) {
    if (instance.name != name_) {
      peers_.Send(instance.name, envelope);
    }
  }
}

void CrashBroadcaster::OnNotice(const peer::Envelope& envelope) {
  const auto& notice = envelope.crash_notice();
  Suspect suspect;
  suspect.targets.assign(notice.targets().begin(), notice.targets().end());
  suspect.until = Instant(std::chrono::milliseconds(notice.until_ms()));
  suspect.quarantined = notice.quarantined();
  asio::co_spawn(thread_.context(),
                 SendAnswer(envelope.sender(), notice.ask_id(), notice.digest(),
                            std::move(suspect), notice.cleared()),
                 asio::detached);
}

// The tracker records the suspect before the answer is sent, so that the answer
// "not running" also means that it will not run here without a claim.
asio::awaitable<void> CrashBroadcaster::SendAnswer(std::string requester,
                                                   std::uint64_t query_id,
                                                   std::string digest,
                                                   Suspect suspect,
                                                   bool cleared) {
  auto update = [digest, suspect, cleared](CrashTracker& tracker,
                                           Instant now) -> Result<bool> {
    if (cleared) {
      tracker.OnCleared(digest);
    } else {
      tracker.OnNotice(now, digest, suspect);
    }
    return tracker.IsRunning(digest);
  };
  Result<bool> running =
      co_await decisions_.UseCrashes<bool>(std::move(update));
  if (query_id == 0 || !running) {
    co_return;
  }
  peer::Envelope answer;
  answer.mutable_crash_answer()->set_ask_id(query_id);
  answer.mutable_crash_answer()->set_running(running.value());
  peers_.Send(requester, std::move(answer));
}

void CrashBroadcaster::OnAnswer(const peer::Envelope& envelope) {
  const auto found = pending_.find(envelope.crash_answer().ask_id());
  if (found == pending_.end()) {
    return;
  }
  PendingQuery& query = *found->second;
  query.awaiting.erase(envelope.sender());
  query.running = query.running || envelope.crash_answer().running();
  if (query.awaiting.empty()) {
    query.timer.cancel();
  }
}

}  // namespace jackdaw
