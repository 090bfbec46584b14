#pragma once

#include <boost/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace jackdaw {

/// Which events to show; empty members match every event.
struct TimelineFilter {
  std::string request;
  std::string workspace;
  std::string target;
};

/// Merges the event documents of all processes, in the order of their stamps.
/// @returns objects with the members of an event and `process`
std::vector<boost::json::object> MergeEvents(
    std::span<const boost::json::value> documents,
    const TimelineFilter& filter);

/// One line for each event.
std::string TimelineText(std::span<const boost::json::object> events);

/// Chrome trace-event JSON: one row for each process, instant events, and a
/// span from admission to end for each request.
std::string TimelineChrome(std::span<const boost::json::object> events);

}  // namespace jackdaw
