// SPDX-License-Identifier: Apache-2.0

/// \file
/// Model of one of the platform's workers without network or clock. Shared by
/// the stand-in process and the fake of the unit tests. The payload of a task
/// is a list of words: "run-ms=N" sets its run time (default 200 ms), "fail"
/// makes it fail at its end.

#ifndef DOORWOOD_STANDIN_WORKER_MODEL_H_
#define DOORWOOD_STANDIN_WORKER_MODEL_H_

#include <functional>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/ledger.h"
#include "doorwood/worker.h"

namespace doorwood::standin {

enum class WorkerEventKind { kAcquired, kReleased, kStart, kEnd };

/// An event on a worker, as the worker itself saw it.
struct WorkerEvent {
  WorkerEventKind kind = WorkerEventKind::kStart;
  std::string worker;
  std::string holder;
  uint64_t epoch = 0;
  TaskId task;
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::kSucceeded;
  std::string checkpoint;
  /// Progress in milliseconds restored from a checkpoint of an earlier attempt.
  int64_t resumed_ms = 0;
  /// The running tasks exceed the worker's capacity.
  bool overcommitted = false;
};

/// `now` is in milliseconds of any one steady clock. Every error is a
/// WorkerErrc.
class WorkerModel {
 public:
  using OnEvent = std::function<void(const WorkerEvent&)>;

  /// If `fences` is true, orders of another epoch and orders that arrive after
  /// the control lease has expired are rejected.
  WorkerModel(std::string name,
              const Resources& capacity,
              bool fences,
              OnEvent on_event);

  std::error_code Acquire(const std::string& holder,
                          int64_t control_lease_ms,
                          int64_t task_lease_ms,
                          int64_t now,
                          WorkerInventory* out);
  std::error_code ApplyOrders(uint64_t epoch,
                              const std::vector<WorkerOrder>& orders,
                              int64_t now,
                              WorkerAnswer* out);
  std::error_code Release(uint64_t epoch);
  /// Ends finished attempts, and all attempts if the task lease has expired.
  void Tick(int64_t now);
  /// Simulates a process restart: all tasks are lost, the control lease ends
  /// and the boot id increases, but the epoch is kept.
  void Restart(int64_t now);

  void set_incarnation(uint64_t boot) { boot_ = boot; }
  void set_fail_starts(bool fail) { fail_starts_ = fail; }
  void set_refuse_starts(bool refuse) { refuse_starts_ = refuse; }
  const std::string& name() const { return name_; }

 private:
  struct Run {
    WorkerTask task;
    int64_t run_ms = 0;
    bool fail = false;
    int64_t started = 0;
    int64_t progress = 0;
  };

  OrderResult Start(const WorkerOrder& order, int64_t now);
  void Stop(Run& run, bool take_checkpoint, int64_t now);
  void End(Run& run, AttemptEnd end);
  static int64_t ProgressAt(const Run& run, int64_t now);

  std::string name_;
  Resources capacity_;
  bool fences_;
  OnEvent on_event_;
  std::string holder_;
  uint64_t epoch_ = 0;
  uint64_t boot_ = 1;
  int64_t control_lease_ = 0;
  int64_t task_lease_ = 0;
  int64_t control_lease_expiry_ = 0;
  int64_t task_lease_expiry_ = 0;
  Resources used_;
  bool fail_starts_ = false;
  bool refuse_starts_ = false;
  std::map<AttemptKey, Run> runs_;
};

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_WORKER_MODEL_H_
