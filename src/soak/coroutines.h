// SPDX-License-Identifier: Apache-2.0

/// \file
/// Coroutines on the process's one loop.

#ifndef DOORWOOD_SOAK_COROUTINES_H_
#define DOORWOOD_SOAK_COROUTINES_H_

// Boost's awaitable.hpp needs it and does not include it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "doorwood/types.h"

namespace doorwood::soak {

template <typename T = void>
using Task = boost::asio::awaitable<T>;

inline Task<> Sleep(boost::asio::io_context& context, Millis time) {
  boost::asio::steady_timer timer(context, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

inline void Spawn(boost::asio::io_context& context, Task<> task) {
  boost::asio::co_spawn(context, std::move(task), boost::asio::detached);
}

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_COROUTINES_H_
