#include "platform/client.h"

#include "platform/codec.h"

namespace jackdaw {
namespace {

namespace asio = boost::asio;

// Idle connections kept to the platform.
constexpr std::size_t kKeptConnections = 8;

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context,
                               const MonotonicClock& clock,
                               const Endpoint& endpoint)
    : client_(context, clock, kKeptConnections), endpoint_(endpoint) {}

asio::awaitable<Result<HttpResponse>> PlatformClient::Exchange(
    std::string method,
    std::string target,
    std::string body,
    Instant deadline) {
  HttpRequest request{std::move(method),
                      std::move(target),
                      {{"Content-Type", "application/json"}},
                      std::move(body)};
  Result<HttpResponse> answer =
      co_await client_.Fetch(endpoint_, std::move(request), deadline);
  if (!answer) {
    co_return answer.error();
  }
  const int status = answer.value().status;
  if (status == 404) {
    co_return Error{ErrorKind::kNotFound, "the platform has no such object",
                    "check the name"};
  }
  // 409 and 412 carry the outcome of a condition in their body.
  if (status >= 300 && status != 409 && status != 412) {
    co_return Error{ErrorKind::kUnavailable,
                    "the platform answered " + std::to_string(status),
                    "check the platform's health"};
  }
  co_return answer;
}

asio::awaitable<Result<std::string>> PlatformClient::Call(std::string method,
                                                          std::string target,
                                                          std::string body,
                                                          Instant deadline) {
  Result<HttpResponse> answer = co_await Exchange(
      std::move(method), std::move(target), std::move(body), deadline);
  if (!answer) {
    co_return answer.error();
  }
  co_return std::move(answer.value().body);
}

asio::awaitable<Result<Commit>> PlatformClient::Transact(
    Transaction transaction,
    Instant deadline) {
  Result<std::string> body = co_await Call(
      "POST", "/v1/table/transact", EncodeTransaction(transaction), deadline);
  co_return body ? DecodeCommit(body.value()) : Result<Commit>(body.error());
}

asio::awaitable<Result<std::vector<Row>>> PlatformClient::Read(
    ReadQuery query,
    Instant deadline) {
  Result<std::string> body =
      co_await Call("POST", "/v1/table/read", EncodeReadQuery(query), deadline);
  co_return body ? DecodeRows(body.value())
                 : Result<std::vector<Row>>(body.error());
}

asio::awaitable<Result<void>> PlatformClient::PutObject(std::string name,
                                                        std::string bytes,
                                                        Instant deadline) {
  Result<std::string> body =
      co_await Call("PUT", "/v1/objects/" + name, std::move(bytes), deadline);
  co_return body ? Result<void>(success()) : Result<void>(body.error());
}

asio::awaitable<Result<bool>> PlatformClient::CreateObject(std::string name,
                                                           std::string bytes,
                                                           Instant deadline) {
  Result<HttpResponse> answer = co_await Exchange("PUT", "/v1/objects/" + name,
                                                  std::move(bytes), deadline);
  co_return answer ? Result<bool>(answer.value().status != 412)
                   : Result<bool>(answer.error());
}

asio::awaitable<Result<std::string>> PlatformClient::GetObject(
    std::string name,
    Instant deadline) {
  co_return co_await Call("GET", "/v1/objects/" + name, {}, deadline);
}

asio::awaitable<Result<std::vector<std::string>>> PlatformClient::ListObjects(
    std::string prefix,
    Instant deadline) {
  Result<std::string> body = co_await Call(
      "GET", "/v1/objects?prefix=" + EncodeQuery(prefix), {}, deadline);
  co_return body ? DecodeNames(body.value())
                 : Result<std::vector<std::string>>(body.error());
}

asio::awaitable<Result<std::vector<InstanceEntry>>> PlatformClient::Instances(
    Instant deadline) {
  Result<std::string> body =
      co_await Call("GET", "/v1/instances", {}, deadline);
  co_return body ? DecodeInstances(body.value())
                 : Result<std::vector<InstanceEntry>>(body.error());
}

asio::awaitable<Result<void>> PlatformClient::Announce(InstanceEntry entry,
                                                       Instant deadline) {
  Result<std::string> body =
      co_await Call("PUT", "/v1/instances", EncodeInstance(entry), deadline);
  co_return body ? Result<void>(success()) : Result<void>(body.error());
}

}  // namespace jackdaw
