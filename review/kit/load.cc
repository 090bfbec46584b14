#include "load.h"

namespace review {

Load::Load(const Instance& instance, LoadShape shape, Record& record)
    : instance_(instance.name()),
      entry_(instance.entry()),
      shape_(std::move(shape)),
      record_(record) {
  for (int i = 0; i < kClients; ++i) {
    clients_.emplace_back([this, i] { Run(i); });
  }
}

Load::~Load() {
  ending_ = true;
  for (std::thread& client : clients_) {
    client.join();
  }
}

void Load::Run(int client) {
  const auto pause = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(kClients / shape_.per_second));
  Instant next = Clock::now() + pause * client / kClients;
  std::unique_ptr<Connection> connection;
  for (int i = 0; !ending_; ++i) {
    std::this_thread::sleep_until(next);
    next = std::max(next + pause, Clock::now());
    SendOne(connection, instance_ + "-" + shape_.tenant + "-" +
                            std::to_string(client) + "-" + std::to_string(i));
  }
}

void Load::SendOne(std::unique_ptr<Connection>& connection,
                   const std::string& id) {
  if (connection == nullptr) {
    connection = Connection::Open(entry_, std::chrono::seconds(1));
  }
  if (connection == nullptr) {
    return;
  }
  Request request{"GET", shape_.path, {}, ""};
  request.headers = {
      {"Host", shape_.host},
      {"X-Attempt-Id", id},
      {"X-Deadline-Ms", std::to_string(shape_.deadline.count())},
      {"X-Token-Count", std::to_string(shape_.prompt_tokens) + "," +
                            std::to_string(shape_.output_tokens)},
      {"Authorization", "Token " + shape_.key}};
  Record::Attempt attempt;
  attempt.id = id;
  attempt.tenant = shape_.tenant;
  attempt.instance = instance_;
  attempt.units = shape_.prompt_tokens + shape_.output_tokens;
  attempt.sent_ms = record_.NowMs();
  record_.OnSent(attempt);
  connection->SetReadLimit(shape_.deadline);
  if (!connection->Write(Encode(request))) {
    connection.reset();
    return;
  }
  const auto response = connection->ReadResponse();
  record_.OnAnswer(id, response ? response->status : 0);
  const bool closes =
      !response || FindField(response->headers, "Connection") == "close";
  if (closes) {
    connection.reset();
  }
}

}  // namespace review
