// SPDX-License-Identifier: Apache-2.0

/// \file
/// Checks what workers and callers observe against the scheduling rules.

#ifndef DOORWOOD_SOAK_TASK_CHECKER_H_
#define DOORWOOD_SOAK_TASK_CHECKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "doorwood/run_worker.h"

namespace doorwood::soak {

/// An observed run of a task on one incarnation of a worker. Times are in
/// milliseconds as passed to TaskChecker.
struct ObservedRun {
  std::string task;
  uint32_t run = 0;
  std::string incarnation;
  /// Fencing token of the order.
  uint64_t token = 0;
  int64_t from = 0;
  int64_t until = 0;
  bool active = true;
  RunEnd end = RunEnd::kLeaseExpired;
  /// False if the lease has expired since the run ended. A later
  /// acknowledgement of the end is then ignored.
  bool can_be_acknowledged = true;
  bool acknowledged = false;
  /// A violation was reported because the task ran nowhere for too long after
  /// this run.
  bool reported_lost = false;
};

std::string Describe(const ObservedRun& run);

class TaskChecker {
 public:
  /// Called with each violation when it is detected.
  using Report = std::function<void(const std::string&)>;

  explicit TaskChecker(Report report) : report_(std::move(report)) {}

  // --- Observed by workers ---
  void OnStarted(const std::string& incarnation,
                 const StartOrder& order,
                 int64_t at);
  void OnEnded(const std::string& incarnation, const EndedRun& end, int64_t at);
  void OnEndAcknowledged(const std::string& incarnation, const EndedRun& end);
  /// The lease of all runs on the worker has expired.
  void OnLeaseExpired(const std::string& incarnation);
  /// The worker is about to crash because of a task. Must be called before
  /// `OnIncarnationEnded`, because only active runs are counted.
  void OnCrashed(const std::string& incarnation);
  /// This incarnation of the worker has ended, with all its runs.
  void OnIncarnationEnded(const std::string& incarnation, int64_t at);

  // --- Injected faults ---
  /// An unplanned fault begins; it lasts until `OnFaultEnds`. Faults may
  /// overlap.
  void OnFaultBegins() { ++faults_; }
  void OnFaultEnds(int64_t at);

  // --- Observed by callers ---
  /// A call that submits the job was answered or failed; `rejected` if the
  /// answer excludes that the job was accepted.
  void OnSubmitAttempt(const std::string& job, bool rejected);
  /// The first step of the job has `first_tasks` tasks. Its second step, if
  /// there is one, depends on all of them.
  void OnSubmitted(const std::string& job, int first_tasks) {
    first_tasks_[job] = first_tasks;
  }
  /// A caller saw the job, which has `tasks` tasks, as completed.
  void OnCompleted(const std::string& job, size_t tasks);

  /// The job was accepted, is long-running and is never cancelled.
  void OnLongRunning(const std::string& job) { long_running_.insert(job); }

  // --- Called periodically ---
  /// A long-running task must run again within 6 s of its last run; a violation
  /// is reported 3 s later. It is checked only if these 3 s and the 4 s before
  /// them were free of unplanned faults.
  void CheckLongRunning(int64_t now);

  // --- Called at the end ---
  /// Checks that no task has started of a job whose submissions were all
  /// rejected.
  void CheckRejected();

  size_t starts() const { return starts_; }
  /// Longest time in ms for which `CheckLongRunning` found a long-running task
  /// without a run.
  int64_t longest_downtime() const { return longest_downtime_; }
  size_t CountActiveTasks(const std::string& job) const;
  const std::map<std::string, std::vector<ObservedRun>>& runs() const {
    return runs_;
  }

 private:
  void ReportViolation(const std::string& sentence);
  void CheckDowntime(std::vector<ObservedRun>* runs, int64_t now);
  void CheckStepOrder(const std::string& task, const ObservedRun& fresh);
  void CheckCrashes(const StartOrder& order, const ObservedRun& fresh);
  /// Number of completed tasks whose names begin with `prefix`.
  size_t CountDoneTasks(const std::string& prefix) const;
  ObservedRun* Find(const std::string& incarnation, const EndedRun& end);

  Report report_;
  /// By task, in the order of their starts.
  std::map<std::string, std::vector<ObservedRun>> runs_;
  /// By job: whether any submission of it was not rejected.
  std::map<std::string, bool> may_be_accepted_;
  /// By job: number of tasks of the first step.
  std::map<std::string, int> first_tasks_;
  std::set<std::string> long_running_;
  /// By task: workers that crashed while running it, and starts after the third
  /// crash.
  std::map<std::string, int> worker_crashes_;
  std::map<std::string, int> starts_after_third_crash_;
  size_t starts_ = 0;
  /// Active unplanned faults, and the last time at which one was active.
  size_t faults_ = 0;
  int64_t last_fault_ = 0;
  int64_t longest_downtime_ = 0;
};

/// Returns the id of the job that a task belongs to.
std::string JobOf(const std::string& task);

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_TASK_CHECKER_H_
