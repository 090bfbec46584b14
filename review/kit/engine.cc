#include "engine.h"

#include <thread>

namespace review {
namespace {

constexpr const char* kIp = "127.0.0.1";

}  // namespace

Engine::Engine(std::string id,
               std::string service,
               std::string zone,
               int slots,
               std::chrono::milliseconds work,
               Store& store,
               Record& record)
    : id_(std::move(id)), slots_(slots), work_(work), record_(record) {
  server_ = std::make_unique<Server>(
      FreeAddress(kIp),
      [this](const Request& request) { return Handle(request); });
  const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  store.Put("servers", id_,
            R"({"service":")" + service + R"(","address":")" +
                server_->address().Text() + R"(","zone":")" + zone +
                R"(","version":"1","slots":)" + std::to_string(slots_) +
                R"(,"state":"ready","cold-remaining-ms":0,"sequence":0,)" +
                R"("born":)" + std::to_string(born) + "}");
}

std::optional<Response> Engine::Handle(const Request& request) {
  Response response;
  const std::string attempt = FindField(request.headers, "X-Attempt-Id");
  if (request.Path() == "/healthz") {
    response.headers = {{"X-Instance-Id", id_}};
    return response;
  }
  response.headers = {{"X-Attempt-Id", attempt}, {"Keep-Alive", "timeout=20"}};
  const bool other = FindField(request.headers, "X-Expected-Instance") != id_;
  const bool full = running_ >= slots_;
  if (attempt.empty() || other || full) {
    response.status = attempt.empty() ? 400 : other ? 421 : 503;
    response.headers.emplace_back("X-Not-Executed", "1");
    return response;
  }
  ++running_;
  record_.OnRun(attempt);
  std::this_thread::sleep_for(work_);
  response.headers.emplace_back("X-Server-Signature", id_ + "." + attempt);
  response.headers.emplace_back(
      "X-Server-Load",
      std::to_string(running_--) + ",0," + std::to_string(slots_));
  response.body = "answer to " + attempt;
  return response;
}

}  // namespace review
