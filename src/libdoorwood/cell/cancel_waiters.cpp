// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cancel_waiters.h"

#include <utility>
#include <vector>

#include "doorwood/error.h"

namespace doorwood {

void CancelWaiters::Add(const std::string& job,
                        Callback done,
                        Instant deadline) {
  waiters_.emplace(job, Waiter{std::move(done), deadline});
}

void CancelWaiters::Complete(const std::string& job, std::error_code result) {
  const auto [begin, end] = waiters_.equal_range(job);
  std::vector<Callback> callbacks;
  for (auto it = begin; it != end; ++it) {
    callbacks.push_back(std::move(it->second.done));
  }
  waiters_.erase(begin, end);
  for (const Callback& callback : callbacks) {
    callback(result);
  }
}

void CancelWaiters::Expire(Instant now) {
  std::vector<Callback> expired;
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (it->second.deadline <= now) {
      expired.push_back(std::move(it->second.done));
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
  for (const Callback& callback : expired) {
    callback(CoreErrc::kOutcomeUnknown);
  }
}

void CancelWaiters::Close() {
  auto waiters = std::move(waiters_);
  waiters_.clear();
  for (const auto& [job, waiter] : waiters) {
    waiter.done(CoreErrc::kOutcomeUnknown);
  }
}

}  // namespace doorwood
