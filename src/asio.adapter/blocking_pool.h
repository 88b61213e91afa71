// SPDX-License-Identifier: Apache-2.0

/// \file
/// Thread pool of fixed size for blocking calls, such as those of the HTTP
/// client library.

#ifndef DOORWOOD_ASIO_ADAPTER_BLOCKING_POOL_H_
#define DOORWOOD_ASIO_ADAPTER_BLOCKING_POOL_H_

#include <asio.hpp>
#include <functional>

namespace doorwood {

class BlockingPool {
 public:
  explicit BlockingPool(size_t threads) : pool_(threads) {}
  ~BlockingPool() { Stop(); }

  BlockingPool(const BlockingPool&) = delete;
  BlockingPool& operator=(const BlockingPool&) = delete;

  void Run(std::function<void()> function) {
    asio::post(pool_, std::move(function));
  }

  /// Discards functions that have not started and waits for those that have.
  void Stop() {
    pool_.stop();
    pool_.join();
  }

 private:
  asio::thread_pool pool_;
};

}  // namespace doorwood

#endif  // DOORWOOD_ASIO_ADAPTER_BLOCKING_POOL_H_
