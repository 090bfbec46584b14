#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "record.h"
#include "store.h"

namespace review {

/// Stand-in of an engine of a plain service. It registers itself, runs each
/// request for some milliseconds and answers it with its signature.
class Engine {
 public:
  Engine(std::string id,
         std::string service,
         std::string zone,
         int slots,
         std::chrono::milliseconds work,
         Store& store,
         Record& record);

 private:
  std::optional<Response> Handle(const Request& request);

  std::string id_;
  int slots_;
  std::chrono::milliseconds work_;
  Record& record_;
  std::atomic<int> running_{0};
  std::unique_ptr<Server> server_;
};

}  // namespace review
