#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "http.h"

namespace review {

/// Stand-in of the platform's metadata store: rows, conditional transactions
/// and the feed of changes. Each instance reaches it by a door of its own, so
/// that the store can treat instances differently.
class Store {
 public:
  /// How the store treats the calls that come by one door.
  enum class DoorState {
    kOpen,
    /// Calls get no answer and are not carried out.
    kSilent,
    /// Calls get 503.
    kBusy,
  };

  struct Row {
    std::string value;
    std::int64_t version = 0;
    bool dropped = false;
  };
  /// Table, part and key.
  using Key = std::tuple<std::string, std::string, std::string>;

  /// Returns whether the answer to a transaction that was carried out is lost.
  /// @param door index of the door @param key key of a row that was written
  using LoseAnswer =
      std::function<bool(std::size_t door, const std::vector<Key>& written)>;
  /// Called for each transaction that was carried out.
  using OnWrite = std::function<
      void(std::size_t door, const Key& key, const std::string& value)>;

  Store();
  ~Store();

  /// Opens a door at a free port of the IP number. @returns its index
  std::size_t AddDoor(const std::string& ip);
  const Address& DoorAddress(std::size_t door) const;
  /// A door that is shut also resets its connections if `reset` is set.
  void SetDoor(std::size_t door, DoorState state, bool reset = false);
  void set_lose_answer(LoseAnswer lose);
  void set_on_write(OnWrite on_write);

  /// Writes a row as the operator or a server does.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  /// Returns the value of a row in the empty part, or an empty string.
  std::string Get(const std::string& table, const std::string& key) const;
  /// Returns the number of rows whose key begins with the prefix.
  std::size_t Count(const std::string& table, const std::string& prefix) const;

 private:
  struct Door {
    std::unique_ptr<Server> server;
    DoorState state = DoorState::kOpen;
  };

  std::optional<Response> Handle(std::size_t door, const Request& request);
  std::optional<Response> Transact(std::size_t door, const Request& request);
  Response Read(const Request& request) const;
  std::optional<Response> Feed(std::size_t door, const Request& request);
  std::int64_t NowMs() const;
  bool IsOpen(std::size_t door) const;

  Instant started_at_ = Clock::now();
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::map<Key, Row> rows_;
  std::int64_t version_ = 0;
  LoseAnswer lose_answer_;
  OnWrite on_write_;
  bool ending_ = false;
};

/// Base64, as the values of rows are written.
std::string Encode64(std::string_view bytes);
std::string Decode64(std::string_view text);

}  // namespace review
