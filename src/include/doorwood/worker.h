// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the platform's workers. A worker grants one control lease at a
/// time, with an epoch that increases with each grant. It refuses orders of an
/// older epoch unless its `WorkerInventory::rejects_stale_epochs` is false.
/// Tasks keep running for some time after the control lease has expired, so
/// that the next holder can adopt them. If no holder renews the lease, the
/// worker eventually stops its tasks by itself.

#ifndef DOORWOOD_WORKER_H_
#define DOORWOOD_WORKER_H_

#include <functional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

/// State of an attempt on a worker.
enum class RunState { kRunning, kEnded };

/// An attempt that a worker runs, or that has ended and for which it has not
/// received a kForget order.
struct WorkerTask {
  ShardId shard;
  AttemptId attempt;
  TaskId task;
  TaskSpec spec;
  RunState state = RunState::kRunning;
  /// Valid only if `state` is kEnded.
  AttemptEnd end = AttemptEnd::kSucceeded;
  /// Name of the latest checkpoint; empty: none.
  std::string checkpoint;
};

/// State of a worker, sent to the instance to which it grants its lease.
struct WorkerInventory {
  uint64_t epoch = 0;
  /// Incarnation number: differs after each restart of the worker.
  uint64_t boot_id = 0;
  Resources capacity;
  /// False: the worker does not refuse orders of an older epoch. A new holder
  /// must wait until the previous lease has expired before it starts tasks.
  bool rejects_stale_epochs = true;
  std::vector<WorkerTask> tasks;
};

enum class OrderKind { kStart, kStop, kForget };

/// An order of a batch. Orders are idempotent for each attempt.
struct WorkerOrder {
  OrderKind kind = OrderKind::kStart;
  ShardId shard;
  AttemptId attempt;
  /// kStart only.
  TaskId task;
  TaskSpec spec;
  /// kStart: checkpoint to resume from.
  std::string checkpoint;
  /// kStop: take a checkpoint before stopping.
  bool take_checkpoint = false;
};

/// Answer to one order.
struct OrderResult {
  AttemptId attempt;
  /// kStart only. False: the worker will never start the attempt.
  bool accepted = true;
  std::string reason;
};

/// Answer to a batch: a result for each order, and the ended attempts for which
/// the worker has not received a kForget order. A batch without orders only
/// renews the lease.
struct WorkerAnswer {
  /// Incarnation number, as in the inventory. If it differs from the
  /// inventory's, the worker has restarted and lost its earlier attempts.
  uint64_t boot_id = 0;
  std::vector<OrderResult> results;
  std::vector<WorkerTask> ended;
};

/// The callback of each call runs exactly once, on the control thread, with a
/// WorkerErrc on failure.
class WorkerControl {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~WorkerControl() = default;

  /// Requests the control lease. A grant allows the caller to send orders. It
  /// does not extend the leases of running tasks; only a renewal does.
  virtual void Acquire(const InstanceInfo& worker,
                       Callback<WorkerInventory> done) = 0;
  /// Renews the lease and delivers orders.
  virtual void Send(const InstanceInfo& worker,
                    uint64_t epoch,
                    std::vector<WorkerOrder> orders,
                    Callback<WorkerAnswer> done) = 0;
  /// Releases the lease, so that another instance can acquire it without
  /// waiting for it to expire.
  virtual void Release(const InstanceInfo& worker,
                       uint64_t epoch,
                       Callback<bool> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_H_
