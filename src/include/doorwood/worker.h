// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to the platform's workers. A worker grants one control lease at a
/// time, with an epoch that rises with each grant, and refuses orders of an
/// older epoch. Tasks outlive the control lease for a while, so that the next
/// holder can adopt them; a worker nobody renews stops them by itself.

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

/// One attempt that a worker runs, or ran and was not yet told to forget.
struct WorkerTask {
  ShardId shard;
  AttemptId attempt;
  TaskId task;
  TaskSpec spec;
  RunState state = RunState::kRunning;
  /// Meaningful once ended.
  AttemptEnd end = AttemptEnd::kSucceeded;
  /// Name of the newest checkpoint; empty: none.
  std::string checkpoint;
};

/// What a worker tells the instance that it grants its lease to.
struct WorkerInventory {
  uint64_t epoch = 0;
  /// Differs with each start of the worker.
  uint64_t boot = 0;
  Resources capacity;
  /// False: the worker does not refuse orders of an older epoch, and a new
  /// holder must wait before its first start.
  bool fences = true;
  std::vector<WorkerTask> tasks;
};

enum class OrderKind { kStart, kStop, kForget };

/// One order of a batch. Orders are idempotent by attempt.
struct WorkerOrder {
  OrderKind kind = OrderKind::kStart;
  ShardId shard;
  AttemptId attempt;
  /// kStart only.
  TaskId task;
  TaskSpec spec;
  /// kStart: checkpoint to resume from.
  std::string checkpoint;
  /// kStop: take a checkpoint first.
  bool take_checkpoint = false;
};

/// Answer to one order.
struct OrderResult {
  AttemptId attempt;
  /// kStart only: false means that the worker will never start the attempt.
  bool accepted = true;
  std::string reason;
};

/// Answer to a batch: a result per order, and what has ended and is not
/// forgotten. A batch without orders is a renewal.
struct WorkerAnswer {
  /// As in the inventory. Another number than there: the worker has restarted
  /// and knows nothing of what ran before.
  uint64_t boot = 0;
  std::vector<OrderResult> results;
  std::vector<WorkerTask> ended;
};

/// Calls finish on the control thread, exactly once, with a WorkerErrc on
/// failure.
class WorkerControl {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~WorkerControl() = default;

  /// Asks for the control lease. A grant lets the caller give orders; it does
  /// not prolong the tasks that run, which only a renewal does.
  virtual void Acquire(const InstanceInfo& worker,
                       Callback<WorkerInventory> done) = 0;
  /// Renews the lease and carries orders.
  virtual void Send(const InstanceInfo& worker,
                    uint64_t epoch,
                    std::vector<WorkerOrder> orders,
                    Callback<WorkerAnswer> done) = 0;
  /// Gives the lease up, so that another instance can have it at once.
  virtual void Release(const InstanceInfo& worker,
                       uint64_t epoch,
                       Callback<bool> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_H_
