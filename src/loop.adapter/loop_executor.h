// SPDX-License-Identifier: Apache-2.0

/// \file
/// Executor on a single Boost.Asio thread, which also performs all input and
/// output of the process.

#ifndef DOORWOOD_LOOP_ADAPTER_LOOP_EXECUTOR_H_
#define DOORWOOD_LOOP_ADAPTER_LOOP_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <unordered_map>

#include "doorwood/executor.h"

namespace doorwood {

class LoopExecutor : public Executor {
 public:
  explicit LoopExecutor(boost::asio::io_context& context);

  Instant Now() const override;
  void Post(std::function<void()> function) override;
  TimerId Schedule(Millis delay, std::function<void()> function) override;
  void Cancel(TimerId timer) override;
  uint64_t Random() override;

 private:
  boost::asio::io_context& context_;
  std::mt19937_64 random_;
  TimerId last_timer_ = 0;
  std::unordered_map<TimerId, std::unique_ptr<boost::asio::steady_timer>>
      timers_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_LOOP_EXECUTOR_H_
