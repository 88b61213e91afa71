// SPDX-License-Identifier: Apache-2.0

/// \file
/// Callers that wait until the cancellation of a job is recorded.

#ifndef DOORWOOD_CANCEL_WAITERS_H_
#define DOORWOOD_CANCEL_WAITERS_H_

#include <functional>
#include <map>
#include <string>
#include <system_error>

#include "doorwood/types.h"

namespace doorwood {

/// Answers each caller exactly once. Callbacks may add further callers.
class CancelWaiters {
 public:
  using Callback = std::function<void(std::error_code)>;

  /// `deadline`: when `Expire` answers the caller.
  void Add(const std::string& job, Callback done, Instant deadline);
  /// Answers all callers that wait for the job.
  void Complete(const std::string& job, std::error_code result);
  /// Answers the callers whose deadline has passed with
  /// CoreErrc::kOutcomeUnknown.
  void Expire(Instant now);
  /// Answers all callers with CoreErrc::kOutcomeUnknown.
  void Close();

 private:
  struct Waiter {
    Callback done;
    Instant deadline{};
  };

  std::multimap<std::string, Waiter> waiters_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CANCEL_WAITERS_H_
