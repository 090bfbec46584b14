#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "core/bounded_ring.h"
#include "core/error.h"
#include "core/event_loop.h"

namespace jackdaw {

/// A thread with one duty: an event loop fed by a bounded ring of tasks.
/// Other threads hand it work through the ring only; when the ring is full
/// the caller is told, so that pressure travels back to where work enters.
class Duty {
 public:
  using Task = std::function<void()>;

  /// @param name thread name, at most 15 characters
  /// @param ring_capacity tasks that may wait
  Duty(std::string name, std::size_t ring_capacity);
  ~Duty();
  Duty(const Duty&) = delete;
  Duty& operator=(const Duty&) = delete;

  /// Starts the thread.
  void Start();

  /// Stops the event loop and joins the thread; waiting tasks are dropped.
  void Stop();

  /// Destroys what is suspended on the event loop, after Stop. Called for all
  /// duties whose coroutines hold parts of each other before any is destroyed.
  void EndCoroutines();

  /// Hands a task to the thread. @returns false when the ring is full
  bool TryPost(Task task);

  boost::asio::io_context& context() { return context_; }
  const std::string& name() const { return name_; }

 private:
  void RunWaitingTasks();

  std::string name_;
  EventLoop context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  BoundedRing<Task> ring_;
  std::atomic<bool> wake_pending_{false};
  std::thread thread_;
};

/// Awaits what `make` returns and keeps the result in `*into`.
template <typename T, typename F>
boost::asio::awaitable<void> AwaitInto(F make,
                                       std::shared_ptr<Result<T>> into) {
  Result<T> result = co_await make();
  *into = std::move(result);
}

/// Runs the coroutine that `make` returns on `duty` and resumes the calling
/// coroutine on its own executor with the result.
/// @param make callable that returns boost::asio::awaitable<Result<T>>
/// @returns the result; kOverloaded when the ring of the duty is full,
/// kInternal when the coroutine threw
template <typename T, typename F>
boost::asio::awaitable<Result<T>> AskAsync(Duty& duty, F make) {
  namespace asio = boost::asio;
  auto executor = co_await asio::this_coro::executor;
  auto result = std::make_shared<Result<T>>(
      Error{ErrorKind::kInternal, "operation of thread failed",
            "look at the log of the instance"});
  auto initiate = [&duty, executor, result, &make](auto handler) {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    auto work = asio::make_work_guard(executor);
    auto finish = [shared, executor, work, result] {
      asio::post(executor,
                 [shared, result] { std::move (*shared)(std::move(*result)); });
    };
    auto shared_make = std::make_shared<F>(std::move(make));
    Duty::Task task = [&duty, finish, result, shared_make] {
      asio::co_spawn(duty.context(),
                     AwaitInto<T>(std::move(*shared_make), result),
                     [finish](const std::exception_ptr&) { finish(); });
    };
    if (!duty.TryPost(std::move(task))) {
      *result = Error{ErrorKind::kOverloaded,
                      "ring of thread '" + duty.name() + "' is full",
                      "retry later or add instances"};
      finish();
    }
  };
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(Result<T>)>(std::move(initiate),
                                                           asio::use_awaitable);
}

/// Runs `make_value` on `duty` and resumes the calling coroutine with what it
/// returned. @returns the value, or kOverloaded when the ring is full
template <typename T, typename F>
boost::asio::awaitable<Result<T>> Ask(Duty& duty, F make_value) {
  auto make = [make_value = std::move(make_value)]() mutable
      -> boost::asio::awaitable<Result<T>> { co_return make_value(); };
  co_return co_await AskAsync<T>(duty, std::move(make));
}

}  // namespace jackdaw
