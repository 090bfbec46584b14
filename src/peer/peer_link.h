#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/bounded_ring.h"
#include "core/error.h"

namespace jackdaw {

/// Serialized message to one peer.
struct PeerMessage {
  /// Address of the peer, `ip:port`.
  std::string address;
  std::string bytes;
};

/// Thread that exchanges messages with other instances over ZeroMQ. Each
/// instance binds one PULL socket and connects one PUSH socket to each peer
/// that it sends to. Messages may be lost, but none is delivered twice.
class PeerLink {
 public:
  using Receiver = std::function<void(std::string bytes)>;

  /// Longest message. A configuration is one row of the platform's store, which
  /// holds at most 64 KB.
  static constexpr std::size_t kMaxMessageBytes = 96UL * 1024;

  /// @param receiver called on the thread of the link for each message
  explicit PeerLink(Receiver receiver);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Binds the socket and starts the thread.
  /// @param address `ip:port`; with port 0 the system picks a free port
  /// @returns the bound address, or kAddressInUse
  Result<std::string> Start(std::string_view address);
  void Stop();

  /// Queues a message for sending. @returns false if the queue is full or the
  /// message too long
  bool TrySend(PeerMessage message);

 private:
  struct Sockets;
  void Run();
  void Receive();
  void Send();

  Receiver receiver_;
  BoundedRing<PeerMessage> outgoing_;
  std::atomic<bool> stop_{false};
  std::unique_ptr<Sockets> sockets_;
  std::thread thread_;
};

}  // namespace jackdaw
