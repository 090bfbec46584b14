#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>

#include "fleet.h"

namespace review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Plays a case and returns its exit code.
/// @param play sets its last parameter to kHeld or kBroken
/// Arguments: folder for settings and logs, record file. With TROUBLE=0 in the
/// environment the disruption is left out.
inline int RunCase(
    int argc,
    char** argv,
    const std::function<Task(Fleet&, bool trouble, int& verdict)>& play) {
  if (argc != 3) {
    std::cerr << "usage: CASE WORK-FOLDER RECORD-FILE\n";
    return kCouldNotRun;
  }
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string_view(setting) != "0";
  int verdict = kCouldNotRun;
  try {
    boost::asio::io_context context(1);
    Fleet fleet(context, argv[1], argv[2]);
    fleet.Note(trouble ? "with the disruption" : "without the disruption");
    std::string failure;
    boost::asio::co_spawn(context, play(fleet, trouble, verdict),
                          [&](const std::exception_ptr& thrown) {
                            try {
                              if (thrown) {
                                std::rethrow_exception(thrown);
                              }
                            } catch (const std::exception& error) {
                              failure = error.what();
                              verdict = kCouldNotRun;
                            }
                            context.stop();
                          });
    context.run();
    fleet.Note(failure.empty() ? "verdict " + std::to_string(verdict)
                               : "could not run: " + failure);
    std::cout.flush();
    // The processes end with their objects; the event loop is not needed.
    for (auto& instance : fleet.instances()) {
      instance->process.reset();
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kCouldNotRun;
  }
  return verdict;
}

}  // namespace review
