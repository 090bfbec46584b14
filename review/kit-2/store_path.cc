#include "store_path.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace review {
namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Bytes of a request that are kept to recognise it.
constexpr std::size_t kKeptBytes = 16 * 1024;

}  // namespace

StorePath::StorePath(asio::io_context& context,
                     const Endpoint& listen,
                     const Endpoint& store)
    : context_(context), acceptor_(context, listen), store_(store) {
  asio::co_spawn(context_, Accept(), asio::detached);
}

void StorePath::Reset(Link& link) {
  boost::system::error_code ignored;
  link.instance.set_option(asio::socket_base::linger(true, 0), ignored);
  link.instance.close(ignored);
  link.store.close(ignored);
}

void StorePath::SetReset(bool reset) {
  reset_ = reset;
  for (const auto& weak : links_) {
    if (const LinkPtr link = weak.lock(); link != nullptr && reset) {
      Reset(*link);
    }
  }
  std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
}

asio::awaitable<void> StorePath::Accept() {
  for (;;) {
    auto link = std::make_shared<Link>(context_);
    auto [failure] = co_await acceptor_.async_accept(link->instance, kAwait);
    if (failure) {
      co_return;
    }
    if (reset_) {
      Reset(*link);
      continue;
    }
    links_.push_back(link);
    asio::co_spawn(context_, Serve(std::move(link)), asio::detached);
  }
}

asio::awaitable<void> StorePath::Serve(LinkPtr link) {
  auto [failure] = co_await link->store.async_connect(store_, kAwait);
  if (failure) {
    co_return;
  }
  asio::co_spawn(context_, Forward(link, true), asio::detached);
  co_await Forward(link, false);
}

asio::awaitable<void> StorePath::Forward(LinkPtr link, bool to_store) {
  Socket& from = to_store ? link->instance : link->store;
  Socket& to = to_store ? link->store : link->instance;
  std::array<char, 16 * 1024> bytes{};
  for (;;) {
    auto [failure, size] =
        co_await from.async_read_some(asio::buffer(bytes), kAwait);
    boost::system::error_code ignored;
    link->silent = link->silent || cut_;
    if (failure) {
      // The other side does not learn of an end beyond a cut.
      if (!link->silent || to_store) {
        to.close(ignored);
      }
      co_return;
    }
    if (to_store) {
      link->last_request.append(bytes.data(), size);
      if (link->last_request.size() > kKeptBytes) {
        link->last_request.erase(0, link->last_request.size() - kKeptBytes);
      }
    } else {
      const bool lost =
          !lose_answer_to_.empty() &&
          link->last_request.find(lose_answer_to_) != std::string::npos &&
          link->last_request.find("/rows-tx") != std::string::npos;
      link->last_request.clear();
      if (lost && !link->silent) {
        link->silent = true;
        lose_answer_to_.clear();
        ++lost_answers_;
      }
    }
    if (link->silent) {
      continue;
    }
    auto [broken, written] =
        co_await asio::async_write(to, asio::buffer(bytes, size), kAwait);
    if (broken) {
      from.close(ignored);
      co_return;
    }
  }
}

}  // namespace review
