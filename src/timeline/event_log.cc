#include "timeline/event_log.h"

#include <boost/json.hpp>

namespace jackdaw {

EventLog::EventLog(const MonotonicClock& clock, std::size_t capacity)
    : clock_(clock), capacity_(capacity) {}

void EventLog::Add(EventKind kind,
                   std::string_view request_id,
                   std::string_view workspace,
                   std::string_view target,
                   std::string detail) {
  const std::lock_guard lock(mutex_);
  if (events_.size() == capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  events_.push_back({hybrid_.Next(clock_.Now()), kind, std::string(request_id),
                     std::string(workspace), std::string(target),
                     std::move(detail)});
}

HybridTimestamp EventLog::NextTimestamp() {
  const std::lock_guard lock(mutex_);
  return hybrid_.Next(clock_.Now());
}

void EventLog::Observe(HybridTimestamp remote) {
  const std::lock_guard lock(mutex_);
  hybrid_.Observe(remote);
}

std::vector<Event> EventLog::Snapshot() const {
  const std::lock_guard lock(mutex_);
  return {events_.begin(), events_.end()};
}

std::uint64_t EventLog::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

std::string EncodeEvents(std::string_view process, const EventLog& log) {
  boost::json::array items;
  for (const auto& event : log.Snapshot()) {
    items.push_back(boost::json::object{{"stamp", event.stamp},
                                        {"kind", EventName(event.kind)},
                                        {"request", event.request_id},
                                        {"workspace", event.workspace},
                                        {"target", event.target},
                                        {"detail", event.detail}});
  }
  return boost::json::serialize(
      boost::json::object{{"process", process},
                          {"dropped", log.dropped()},
                          {"events", std::move(items)}});
}

}  // namespace jackdaw
