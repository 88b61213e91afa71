// SPDX-License-Identifier: Apache-2.0

/// \file
/// Executor on a single Asio thread.

#ifndef DOORWOOD_ASIO_ADAPTER_ASIO_EXECUTOR_H_
#define DOORWOOD_ASIO_ADAPTER_ASIO_EXECUTOR_H_

#include <asio.hpp>
#include <map>
#include <memory>
#include <random>

#include "doorwood/executor.h"

namespace doorwood {

class AsioExecutor : public Executor {
 public:
  explicit AsioExecutor(asio::io_context& context);

  Instant Now() const override;
  void Post(std::function<void()> function) override;
  TimerId Schedule(Millis delay, std::function<void()> function) override;
  void Cancel(TimerId timer) override;
  uint64_t Random() override;

 private:
  asio::io_context& context_;
  std::mt19937_64 random_;
  TimerId last_timer_ = 0;
  std::map<TimerId, std::unique_ptr<asio::steady_timer>> timers_;
};

}  // namespace doorwood

#endif  // DOORWOOD_ASIO_ADAPTER_ASIO_EXECUTOR_H_
