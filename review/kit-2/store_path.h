#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// The network path of one instance to the store: a proxy that forwards bytes
/// between them, and that a case can cut.
class StorePath {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// @param listen address that the instance takes for the store's
  StorePath(boost::asio::io_context& context,
            const Endpoint& listen,
            const Endpoint& store);

  /// While the path is cut, bytes of either side are lost without a sign.
  void SetCut(bool cut) { cut_ = cut; }
  /// While the store turns the instance away, each connection is reset.
  void SetReset(bool reset);
  /// The answer to the next write that contains `text` is lost: the write
  /// reaches the store, and the connection then delivers nothing further.
  void LoseAnswerTo(std::string text) { lose_answer_to_ = std::move(text); }
  /// Number of answers that were lost so.
  int lost_answers() const { return lost_answers_; }
  Endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct Link {
    explicit Link(boost::asio::io_context& context)
        : instance(context), store(context) {}
    Socket instance;
    Socket store;
    /// The link was cut once and delivers nothing any more.
    bool silent = false;
    /// Bytes of the instance that were last forwarded.
    std::string last_request;
  };
  using LinkPtr = std::shared_ptr<Link>;

  static void Reset(Link& link);
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(LinkPtr link);
  boost::asio::awaitable<void> Forward(LinkPtr link, bool to_store);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Endpoint store_;
  bool cut_ = false;
  bool reset_ = false;
  std::vector<std::weak_ptr<Link>> links_;
  std::string lose_answer_to_;
  int lost_answers_ = 0;
};

}  // namespace review
