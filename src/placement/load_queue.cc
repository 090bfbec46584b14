#include "placement/load_queue.h"

#include <algorithm>

#include "core/object_reader.h"

namespace jackdaw {
namespace {

namespace json = boost::json;

// Largest timestamp accepted when decoding, in microseconds.
constexpr std::int64_t kMaxMicros = 1LL << 60;
// Time after which a ticket expires unless it is renewed.
constexpr Micros kTicketLifetime = 10s;

Instant ReadInstant(ObjectReader& reader, std::string_view name) {
  return Instant{Micros(reader.IntegerOr(name, 0, kMaxMicros, 0))};
}

std::int64_t ToMicros(Instant moment) {
  return moment.time_since_epoch().count();
}

}  // namespace

// A waiting load starts when a slot is free, the rate allows it and no other
// waiting load has higher priority or, at equal priority, was requested
// earlier.
bool LoadQueue::MayStart(Instant now,
                         const LoadTicket& ticket,
                         int slots,
                         int loads_per_second) const {
  int running = 0;
  for (const auto& other : tickets_) {
    if (other.started_at != Instant{}) {
      ++running;
    } else if (other.priority > ticket.priority ||
               (other.priority == ticket.priority &&
                other.requested_at < ticket.requested_at)) {
      return false;
    }
  }
  const Micros spacing = Micros(1s) / loads_per_second;
  return running < slots && now >= last_started_at_ + spacing;
}

bool LoadQueue::Ask(Instant now,
                    const LoadTicket& ticket,
                    int slots,
                    int loads_per_second) {
  Expire(now);
  auto found = std::find_if(
      tickets_.begin(), tickets_.end(), [&](const LoadTicket& other) {
        return other.target == ticket.target && other.model == ticket.model;
      });
  if (found == tickets_.end()) {
    tickets_.push_back(ticket);
    found = std::prev(tickets_.end());
    found->requested_at = now;
    found->started_at = Instant{};
  }
  found->priority = ticket.priority;
  found->expires_at = now + kTicketLifetime;
  if (found->started_at == Instant{} &&
      MayStart(now, *found, slots, loads_per_second)) {
    found->started_at = now;
    last_started_at_ = now;
  }
  return found->started_at != Instant{};
}

bool LoadQueue::Remove(std::string_view target, std::string_view model) {
  return std::erase_if(tickets_, [&](const LoadTicket& ticket) {
           return ticket.target == target && ticket.model == model;
         }) > 0;
}

void LoadQueue::Expire(Instant now) {
  std::erase_if(tickets_, [&](const LoadTicket& ticket) {
    return ticket.expires_at <= now;
  });
}

int LoadQueue::CountAhead(LoadPriority priority) const {
  return static_cast<int>(std::count_if(
      tickets_.begin(), tickets_.end(), [&](const LoadTicket& ticket) {
        return ticket.started_at != Instant{} || ticket.priority >= priority;
      }));
}

std::string LoadQueue::Encode() const {
  json::array tickets;
  for (const auto& ticket : tickets_) {
    tickets.push_back(
        json::object{{"target", ticket.target},
                     {"model", ticket.model},
                     {"priority", static_cast<int>(ticket.priority)},
                     {"asked_at_us", ToMicros(ticket.requested_at)},
                     {"begun_at_us", ToMicros(ticket.started_at)},
                     {"expires_at_us", ToMicros(ticket.expires_at)}});
  }
  return json::serialize(
      json::object{{"tickets", std::move(tickets)},
                   {"last_begun_at_us", ToMicros(last_started_at_)}});
}

Result<LoadQueue> LoadQueue::Decode(std::string_view value) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseJson(value));
  ObjectReader reader(parsed, "");
  LoadQueue queue;
  queue.last_started_at_ = ReadInstant(reader, "last_begun_at_us");
  for (const auto& item : reader.ItemsOr("tickets")) {
    ObjectReader one(item, reader.PathOf("tickets"));
    LoadTicket ticket;
    ticket.target = one.Text("target");
    ticket.model = one.Text("model");
    ticket.priority = static_cast<LoadPriority>(one.Integer(
        "priority", 0, static_cast<int>(LoadPriority::kNoCopyCallersWait)));
    ticket.requested_at = ReadInstant(one, "asked_at_us");
    ticket.started_at = ReadInstant(one, "begun_at_us");
    ticket.expires_at = ReadInstant(one, "expires_at_us");
    BOOST_OUTCOME_TRY(one.Finish());
    queue.tickets_.push_back(std::move(ticket));
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  return queue;
}

}  // namespace jackdaw
