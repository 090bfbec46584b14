#include "fleet/table_read.h"

namespace jackdaw::serving {

boost::asio::awaitable<Result<platform::RowSet>> ReadTable(
    platform::StoreClient& store,
    std::string table,
    const MonotonicClock& clock,
    Micros page_timeout,
    std::uint64_t* calls) {
  platform::RowSet all;
  std::string from;
  for (;;) {
    if (calls != nullptr) {
      ++*calls;
    }
    Result<platform::RowSet> page = co_await store.Read(
        table, std::string(), from, std::string(), clock.Now() + page_timeout);
    if (!page) {
      co_return page.error();
    }
    if (from.empty()) {
      all.epoch = page.value().epoch;
      all.version = page.value().version;
    } else if (page.value().epoch != all.epoch) {
      co_return Error{ErrorKind::kUnavailable,
                      "the store came back older while " + table + " was read",
                      "read the table again"};
    }
    all.store_ms = page.value().store_ms;
    const bool more = page.value().more && !page.value().rows.empty();
    for (platform::StoredRow& row : page.value().rows) {
      all.rows.push_back(std::move(row));
    }
    if (!more) {
      co_return all;
    }
    // The next page starts behind the last key read.
    from = all.rows.back().at.key + '\0';
  }
}

}  // namespace jackdaw::serving
