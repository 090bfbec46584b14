#include "gateway/send_window.h"

#include <algorithm>

namespace jackdaw::serving {
namespace {

// Share of the bound that instances out of contact use.
constexpr int kUnsureDivisor = 12;
// Share of the bound that instances use by notices alone.
constexpr int kNoticesDivisor = 2;

}  // namespace

int SendWindow::Limit(int bound, SendKnowledge knowledge) {
  const int unsure = bound / kUnsureDivisor;
  switch (knowledge) {
    case SendKnowledge::kUnsure:
      return unsure;
    case SendKnowledge::kNotices:
      return bound / kNoticesDivisor;
    case SendKnowledge::kLeader:
      break;
  }
  return bound - unsure;
}

void SendWindow::SetBound(int bound) {
  bound_ = bound;
  if (bound == 0) {
    sent_.clear();
  }
}

void SendWindow::OnSent(Instant now, bool own_decision) {
  if (!bounded()) {
    return;
  }
  std::erase_if(sent_,
                [&](const Sent& sent) { return sent.at + kSpan <= now; });
  // Further ones change nothing: there is no room before these are too old.
  if (sent_.size() > static_cast<std::size_t>(bound_)) {
    sent_.erase(sent_.begin());
  }
  sent_.push_back({now, own_decision});
}

std::span<const SendWindow::Sent> SendWindow::Recent(Instant now) const {
  const auto first =
      std::ranges::upper_bound(sent_, now - kSpan, {}, &Sent::at);
  return {first, sent_.end()};
}

int SendWindow::Count(Instant now) const {
  return static_cast<int>(Recent(now).size());
}

bool SendWindow::HasRoom(SendKnowledge knowledge, Instant now) const {
  if (!bounded()) {
    return true;
  }
  if (knowledge == SendKnowledge::kNotices &&
      std::ranges::count(Recent(now), true, &Sent::own_decision) >=
          std::max(1, Limit(bound_, SendKnowledge::kUnsure))) {
    return false;
  }
  return Count(now) < Limit(bound_, knowledge);
}

Instant SendWindow::NextRoom(SendKnowledge knowledge, Instant now) const {
  if (HasRoom(knowledge, now)) {
    return now;
  }
  const auto limit = static_cast<std::size_t>(Limit(bound_, knowledge));
  if (limit == 0 || sent_.size() < limit) {
    return now + kSpan;
  }
  const Instant room_at = sent_[sent_.size() - limit].at + kSpan;
  // Where the instance's own decisions are used up, the bound does not tell.
  return room_at > now ? room_at : now + kSpan;
}

}  // namespace jackdaw::serving
