#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "core/clock.h"
#include "platform/store_client.h"

namespace jackdaw::serving {

/// Reads all rows of a table, page by page. Rows of later pages may be newer
/// than the version of the result, which is that of the first page.
/// @param page_timeout time for each page, from when it is requested
/// @param calls if not null, counts the pages that were requested
/// @returns the rows, or the error of the first page that failed; kUnavailable
/// if the store came back from an older copy meanwhile
boost::asio::awaitable<Result<platform::RowSet>> ReadTable(
    platform::StoreClient& store,
    std::string table,
    const MonotonicClock& clock,
    Micros page_timeout,
    std::uint64_t* calls = nullptr);

}  // namespace jackdaw::serving
