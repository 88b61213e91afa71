// SPDX-License-Identifier: Apache-2.0

/// \file
/// Simulated callers that submit jobs, poll their states and cancel some of
/// them over persistent connections.

#ifndef DOORWOOD_SOAK_CALLERS_H_
#define DOORWOOD_SOAK_CALLERS_H_

#include <functional>
#include <map>
#include <random>
#include <string>

#include "loop.adapter/http_client.h"
#include "platform/standin/soak_messages.h"
#include "soak/world.h"

namespace doorwood::soak {

class Callers {
 public:
  Callers(World& world, uint64_t seed);

  /// Submits `jobs` long-running jobs with `tasks` tasks each; `cpu` is the
  /// CPU demand of a task.
  void AddLongRunning(int jobs, int tasks, int cpu);
  /// Every `pause` until `Stop`, submits a finite job (not long-running).
  void Start(Millis pause) { SubmitPeriodically(pause); }
  /// Every `pause` until `Stop`, submits a job whose tasks crash their workers.
  void StartCrashingJobs(Millis pause) { SubmitCrashingPeriodically(pause); }
  void Stop() { stopped_ = true; }
  /// From now on, reports a call whose connection is lost without an answer as
  /// a violation, unless that happens within 200 ms of sending; a call that
  /// gets no answer until its time-out of 3 s is not reported. For periods
  /// whose only faults are planned stops.
  void ExpectAnswers() { expects_answers_ = true; }
  /// Waits until every accepted job is in its expected state; reports jobs
  /// that are not within the time-out as violations. Then checks that no task
  /// of a rejected job has started, and calls `done`.
  void AwaitAll(Millis timeout, std::function<void()> done);
  /// True if every long-running job is accepted and all its tasks run.
  bool AllLongRunningTasksRun() const;

  size_t accepted() const;
  size_t not_accepted() const;

 private:
  struct TrackedJob {
    platform::SoakJob job;
    bool accepted = false;
    bool cancelled = false;
    /// Whether the caller stops submitting after a rejection, unless an earlier
    /// attempt may have been accepted; and whether it cancels the job some time
    /// after it is accepted.
    bool gives_up = false;
    bool cancels = false;
    /// At least one submission was not rejected.
    bool may_be_accepted = false;
    bool finished = false;
  };

  /// Called with status 0 if there was no answer.
  using ReplyHandler = std::function<void(const HttpReply&)>;

  void Submit(TrackedJob* tracked, int attempts_left);
  void OnSubmitted(TrackedJob* tracked,
                   int attempts_left,
                   const HttpReply& reply);
  /// After the poll interval, cancels the job if the caller is to cancel it,
  /// and reads its state otherwise.
  void SchedulePollOrCancel(TrackedJob* tracked);
  void OnState(TrackedJob* tracked, const HttpReply& reply);
  void Cancel(TrackedJob* tracked);
  /// True if the job may end in this state although it did not complete.
  static bool IsExpectedFailure(const TrackedJob& tracked,
                                std::string_view state);
  void SubmitPeriodically(Millis pause);
  void SubmitCrashingPeriodically(Millis pause);
  void Call(std::string method,
            const TrackedJob& tracked,
            std::string body,
            ReplyHandler done);
  void ReportIfConnectionLost(const std::string& what,
                              std::error_code error,
                              Millis after);
  void AwaitUntil(int64_t until, const std::function<void()>& done);
  TrackedJob* Add(platform::SoakJob job);
  bool IsSettled(const TrackedJob& tracked) const;
  uint64_t Draw(uint64_t below) { return random_() % below; }

  World& world_;
  HttpClient client_;
  std::mt19937_64 random_;
  // Separate generator, so that crashing jobs do not change which other jobs a
  // seed produces.
  std::mt19937_64 crashing_random_;
  std::map<std::string, TrackedJob> jobs_;
  bool stopped_ = false;
  bool expects_answers_ = false;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_CALLERS_H_
