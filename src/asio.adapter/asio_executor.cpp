// SPDX-License-Identifier: Apache-2.0

#include "asio_executor.h"

namespace doorwood {

AsioExecutor::AsioExecutor(asio::io_context& context)
    : context_(context), random_(std::random_device()()) {}

Instant AsioExecutor::Now() const {
  return BootClock::now();
}

void AsioExecutor::Post(std::function<void()> function) {
  asio::post(context_, std::move(function));
}

Executor::TimerId AsioExecutor::Schedule(Millis delay,
                                         std::function<void()> function) {
  const TimerId id = ++last_timer_;
  auto timer = std::make_unique<asio::steady_timer>(context_, delay);
  timer->async_wait([this, id, function = std::move(function)](
                        const asio::error_code& error) {
    timers_.erase(id);
    if (!error) {
      function();
    }
  });
  timers_[id] = std::move(timer);
  return id;
}

void AsioExecutor::Cancel(TimerId timer) {
  timers_.erase(timer);
}

uint64_t AsioExecutor::Random() {
  return random_();
}

}  // namespace doorwood
