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

/// A serialized message for one peer.
struct PeerMessage {
  /// Address of the peer, `ip:port`.
  std::string address;
  std::string bytes;
};

/// Thread that exchanges messages with the other instances over ZeroMQ. Each
/// instance binds one PULL socket and connects one PUSH socket to each peer
/// it writes to. Messages may be lost; none is delivered twice.
class PeerLink {
 public:
  using Receiver = std::function<void(std::string bytes)>;

  /// @param receiver called on the link's thread for each message
  explicit PeerLink(Receiver receiver);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Binds and starts the thread. @param address `ip:port`, port 0 picks one
  /// @returns the bound address, or kAddressInUse
  Result<std::string> Start(std::string_view address);
  void Stop();

  /// Hands over a message. @returns false when the ring is full
  bool TrySend(PeerMessage message);

 private:
  struct Sockets;
  void Run();

  Receiver receiver_;
  BoundedRing<PeerMessage> outgoing_;
  std::atomic<bool> stop_{false};
  std::unique_ptr<Sockets> sockets_;
  std::thread thread_;
};

}  // namespace jackdaw
