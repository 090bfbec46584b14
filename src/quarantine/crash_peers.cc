#include "quarantine/crash_peers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "proto/peer.pb.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

peer::Envelope NoticeOf(std::uint64_t ask_id,
                        const std::string& digest,
                        const Suspect& suspect) {
  peer::Envelope envelope;
  auto& notice = *envelope.mutable_crash_notice();
  notice.set_ask_id(ask_id);
  notice.set_digest(digest);
  for (const auto& target : suspect.targets) {
    notice.add_targets(target);
  }
  notice.set_until_ms(ToMillis(suspect.until));
  notice.set_quarantined(suspect.quarantined);
  return envelope;
}

}  // namespace

CrashPeers::CrashPeers(Duty& duty,
                       std::string name,
                       FleetViewHolder& view,
                       DecisionThread& decisions,
                       PeerService& peers)
    : duty_(duty),
      name_(std::move(name)),
      view_(view),
      decisions_(decisions),
      peers_(peers) {
  peers_.Handle(peer::Envelope::kCrashNotice,
                [this](const peer::Envelope& envelope) { OnNotice(envelope); });
  peers_.Handle(peer::Envelope::kCrashAnswer,
                [this](const peer::Envelope& envelope) { OnAnswer(envelope); });
}

asio::awaitable<PeerAnswers> CrashPeers::Tell(std::string digest,
                                              Suspect suspect,
                                              Micros limit) {
  Question question(duty_);
  const std::uint64_t ask_id = next_ask_++;
  const FleetViewPtr view = view_.Get();
  for (const auto& instance : view->instances) {
    if (instance.name != name_) {
      question.awaited.insert(instance.name);
    }
  }
  if (question.awaited.empty()) {
    co_return PeerAnswers{true, false};
  }
  questions_[ask_id] = &question;
  const peer::Envelope notice = NoticeOf(ask_id, digest, suspect);
  for (const auto& instance : view->instances) {
    if (instance.name != name_) {
      peers_.Send(instance.name, notice);
    }
  }
  question.timer.expires_after(limit);
  static_cast<void>(
      co_await question.timer.async_wait(asio::as_tuple(asio::use_awaitable)));
  questions_.erase(ask_id);
  co_return PeerAnswers{question.awaited.empty(), question.running};
}

void CrashPeers::TellCleared(const std::string& digest) {
  peer::Envelope envelope = NoticeOf(0, digest, {});
  envelope.mutable_crash_notice()->set_cleared(true);
  const FleetViewPtr view = view_.Get();
  for (const auto& instance : view->instances) {
    if (instance.name != name_) {
      peers_.Send(instance.name, envelope);
    }
  }
}

void CrashPeers::OnNotice(const peer::Envelope& envelope) {
  const auto& notice = envelope.crash_notice();
  Suspect suspect;
  suspect.targets.assign(notice.targets().begin(), notice.targets().end());
  suspect.until = Instant(std::chrono::milliseconds(notice.until_ms()));
  suspect.quarantined = notice.quarantined();
  asio::co_spawn(duty_.context(),
                 Answer(envelope.sender(), notice.ask_id(), notice.digest(),
                        std::move(suspect), notice.cleared()),
                 asio::detached);
}

// The ledger takes the notice before the answer leaves, so that "not running"
// also means that it will not run here without a claim.
asio::awaitable<void> CrashPeers::Answer(std::string asker,
                                         std::uint64_t ask_id,
                                         std::string digest,
                                         Suspect suspect,
                                         bool cleared) {
  auto take = [digest, suspect, cleared](CrashLedger& ledger,
                                         Instant now) -> Result<bool> {
    if (cleared) {
      ledger.OnCleared(digest);
    } else {
      ledger.OnNotice(now, digest, suspect);
    }
    return ledger.Running(digest);
  };
  Result<bool> running = co_await decisions_.UseCrashes<bool>(std::move(take));
  if (ask_id == 0 || !running) {
    co_return;
  }
  peer::Envelope answer;
  answer.mutable_crash_answer()->set_ask_id(ask_id);
  answer.mutable_crash_answer()->set_running(running.value());
  peers_.Send(asker, std::move(answer));
}

void CrashPeers::OnAnswer(const peer::Envelope& envelope) {
  const auto found = questions_.find(envelope.crash_answer().ask_id());
  if (found == questions_.end()) {
    return;
  }
  Question& question = *found->second;
  question.awaited.erase(envelope.sender());
  question.running = question.running || envelope.crash_answer().running();
  if (question.awaited.empty()) {
    question.timer.cancel();
  }
}

}  // namespace jackdaw
