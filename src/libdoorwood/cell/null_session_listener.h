// SPDX-License-Identifier: Apache-2.0

/// \file
/// For tests: a session listener that ignores all events and adopts no runs.

#ifndef DOORWOOD_NULL_SESSION_LISTENER_H_
#define DOORWOOD_NULL_SESSION_LISTENER_H_

#include <optional>

#include "doorwood/worker_session.h"

namespace doorwood::fakes {

struct NullSessionListener : public WorkerSessionListener {
  void OnRunBegan(WorkerSession&, const Run&) override {}
  void OnRunEnded(WorkerSession&, const Run&, RunEnd, bool) override {}
  void OnWorkerLost(WorkerSession&) override {}
  void OnPollFailed(WorkerSession&) override {}
  void OnPollRecovered(WorkerSession&) override {}
  void OnUnknownEnd(WorkerSession&, const EndedRun&) override {}
  std::optional<Run> OnUnknownRun(WorkerSession&, const ActiveRun&) override {
    return std::nullopt;
  }
  void OnStartRefused(WorkerSession&, const Run&, std::error_code) override {}
  void OnReport(WorkerSession&) override {}
  void OnHigherTokenSeen(WorkerSession&) override {}
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_NULL_SESSION_LISTENER_H_
