#include "record/batch_writer.h"

#include <boost/json.hpp>

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Timeout of one read or write in the object store.
constexpr Micros kStoreTimeout = 2s;

std::string EndMarkerDocument(const RecordOwner& owner,
                              std::uint64_t last,
                              Instant now) {
  return boost::json::serialize(
      boost::json::object{{"instance", owner.instance},
                          {"incarnation", owner.incarnation},
                          {"last", last},
                          {"clean", true},
                          {"when_ms", ToMillis(now)}});
}

}  // namespace

std::string EndMarkerName(const RecordOwner& owner) {
  return "refusal-ends/" + owner.instance + "." +
         std::to_string(owner.incarnation);
}

BatchWriter::BatchWriter(asio::io_context& context,
                         const MonotonicClock& clock,
                         const Endpoint& platform)
    : clock_(clock), platform_(context, clock, platform) {}

asio::awaitable<Result<std::uint64_t>> BatchWriter::Store(LineBatch batch) {
  Result<bool> created = co_await platform_.CreateObject(
      batch.name, batch.bytes, clock_.Now() + kStoreTimeout);
  if (!created) {
    co_return created.error();
  }
  if (created.value()) {
    co_return batch.last;
  }
  Result<std::string> found =
      co_await platform_.GetObject(batch.name, clock_.Now() + kStoreTimeout);
  if (!found) {
    co_return found.error();
  }
  const std::uint64_t last = LastNumber(found.value());
  if (last < batch.first) {
    co_return Error{
        ErrorKind::kMalformed,
        "object '" + batch.name + "' contains no valid refusal records",
        "remove it from the object store"};
  }
  co_return last;
}

asio::awaitable<Result<bool>> BatchWriter::StoreEndMarker(RecordOwner owner,
                                                          std::uint64_t last) {
  co_return co_await platform_.CreateObject(
      EndMarkerName(owner), EndMarkerDocument(owner, last, clock_.Now()),
      clock_.Now() + kStoreTimeout);
}

}  // namespace jackdaw
