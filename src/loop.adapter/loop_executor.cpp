// SPDX-License-Identifier: Apache-2.0

#include "loop.adapter/loop_executor.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace doorwood {

LoopExecutor::LoopExecutor(boost::asio::io_context& context)
    : context_(context), random_(std::random_device{}()) {}

Instant LoopExecutor::Now() const {
  return BootClock::now();
}

void LoopExecutor::Post(std::function<void()> function) {
  boost::asio::post(context_, std::move(function));
}

Executor::TimerId LoopExecutor::Schedule(Millis delay,
                                         std::function<void()> function) {
  const TimerId id = ++last_timer_;
  auto timer = std::make_unique<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([this, id, function = std::move(function)](
                        const boost::system::error_code& error) {
    if (error || timers_.erase(id) == 0) {
      return;
    }
    function();
  });
  timers_.emplace(id, std::move(timer));
  return id;
}

void LoopExecutor::Cancel(TimerId timer) {
  timers_.erase(timer);
}

uint64_t LoopExecutor::Random() {
  return random_();
}

}  // namespace doorwood
