// SPDX-License-Identifier: Apache-2.0

/// \file
/// Model of a worker that runs tasks under leases, without network or clock.
/// Shared by the fakes and the stand-in.
///
/// The payload of a task sets its behavior:
/// - "ms=300": it runs for 300 ms; without it, until it is stopped;
/// - "fails=2": its first two runs fail;
/// - "crashes=0.0.3": it crashes its worker if the task's name ends in "0.0.3";
///   with an empty value, any task does;
/// - "crashes_after=300": the crash comes 300 ms after the start instead of
///   10 ms.

#ifndef DOORWOOD_STANDIN_RUN_WORKER_MODEL_H_
#define DOORWOOD_STANDIN_RUN_WORKER_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/run_worker.h"

namespace doorwood::standin {

/// Time from the start of a run until it crashes its worker; nullopt if it does
/// not crash it.
std::optional<Millis> CrashDelay(const StartOrder& order);

/// Observer that is called synchronously when runs start and end.
class RunObserver {
 public:
  virtual ~RunObserver() = default;
  virtual void OnStarted(const StartOrder& order) = 0;
  virtual void OnEnded(const EndedRun& end) = 0;
  /// The worker's holder has acknowledged the end of a run, and the worker
  /// removes the run from its report.
  virtual void OnEndAcknowledged(const EndedRun& end) = 0;
};

class RunWorkerModel {
 public:
  void SetObserver(RunObserver* observer) { observer_ = observer; }
  /// Sets how long a run continues after a stop order.
  void SetStopDuration(Millis time) { stop_duration_ms_ = time.count(); }
  /// Lets one of `interval` runs that start from now on fail; 0: none.
  void FailOneRunOf(int interval) { failure_interval_ = interval; }
  /// Runs that start from now on take `factor` times as long.
  void SetSlowdown(int factor) { slowdown_ = factor; }

  /// Sets the worker's steady clock in milliseconds, and ends the runs that are
  /// finished or stopped, or all runs if the worker's lease has expired.
  void Advance(int64_t now);

  std::error_code Poll(const PollOrder& order, WorkerReport* report);
  std::error_code Start(const StartOrder& order);
  std::error_code Stop(const StopOrder& order);
  std::error_code Pace(const PaceOrder& order);

  int64_t now() const { return now_; }
  int64_t lease_until() const { return lease_until_; }
  bool IsRunning(const std::string& task) const { return runs_.contains(task); }
  size_t running_count() const { return runs_.size(); }
  std::vector<std::string> running_tasks() const;
  /// Sequence number of the last run that had ended when the lease expired.
  /// Checks of completed tasks ignore later acknowledgements of this run and of
  /// earlier ones.
  uint64_t last_end_at_lease_expiry() const {
    return last_end_at_lease_expiry_;
  }
  /// Number of failed runs of the task that were still unacknowledged when the
  /// lease expired. The platform does not count them as attempts when they are
  /// acknowledged later.
  int failures_at_lease_expiry(const std::string& task) const;

 private:
  struct Active {
    uint32_t run = 0;
    int64_t started = 0;
    /// In milliseconds; 0: runs until it is stopped.
    int64_t duration = 0;
    bool fails = false;
    /// Time at which a stop order takes effect; 0: no stop was ordered.
    int64_t stops_at = 0;
  };

  /// Returns true if `token` is older than the newest token so far; otherwise
  /// adopts `token` as the newest.
  bool IsFenced(uint64_t token);
  void ExtendLease(int64_t until);
  void DropAcknowledgedEnds(uint64_t last_seen);
  void End(const std::string& task, RunEnd end);
  void RecordFailuresAtLeaseExpiry();

  RunObserver* observer_ = nullptr;
  int64_t stop_duration_ms_ = 0;
  int failure_interval_ = 0;
  int starts_ = 0;
  int slowdown_ = 1;
  int64_t now_ = 0;
  int64_t lease_until_ = 0;
  uint64_t token_ = 0;
  uint64_t last_end_ = 0;
  uint64_t last_end_at_lease_expiry_ = 0;
  std::map<std::string, Active> runs_;
  std::vector<EndedRun> ended_;
  std::map<std::string, std::set<uint32_t>> failures_at_lease_expiry_;
  /// Highest run of each task that ended or was stopped on this worker.
  std::map<std::string, uint32_t> highest_ended_run_;
};

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_RUN_WORKER_MODEL_H_
