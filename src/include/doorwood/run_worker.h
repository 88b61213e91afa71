// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to workers that run tasks under leases on their own clock and refuse
/// orders with a lower fencing token than the highest they have seen.

#ifndef DOORWOOD_RUN_WORKER_H_
#define DOORWOOD_RUN_WORKER_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/types.h"

namespace doorwood {

/// One life of a worker, as the platform's directory tells it.
struct WorkerLife {
  /// Unique to this life; a restarted worker has another.
  std::string id;
  std::string address;
  std::string data_centre;
  /// Pool of workers that queues name.
  std::string service;
  /// The machine that this is a life of; may be empty.
  std::string machine;
  Resources capacity;
  std::vector<std::string> labels;
  /// The worker is about to leave and takes no new work.
  bool draining = false;
  /// Least time until it leaves, once draining.
  Millis remaining{0};
  /// False: the entry is not of a worker's form, and only `id` is told.
  bool readable = true;
};

/// Port to the list of workers.
class WorkerDirectory {
 public:
  using Callback =
      std::function<void(std::error_code, std::vector<WorkerLife>)>;
  using ClosedCallback =
      std::function<void(std::error_code, std::set<std::string>)>;

  virtual ~WorkerDirectory() = default;

  /// All workers, linearizable, and the ids of entries that can't be read.
  /// Fails with a KvErrc.
  virtual void ListWorkers(Callback done) = 0;
  /// Data centres that the operators have closed to new work, linearizable.
  /// Fails with a KvErrc.
  virtual void ListClosed(ClosedCallback done) = 0;
};

/// How a run ended, in the worker's words.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  /// The worker's lease was over.
  kLapsed,
  /// Another member of the gang ended.
  kBroken,
  /// The gang's other members did not come in time.
  kAlone,
};

std::string_view ToString(RunEnd end);

/// A task's run that a worker lists as active.
struct ActiveRun {
  std::string task;
  uint32_t run = 0;
  /// Newest checkpoint; empty: none.
  std::string checkpoint;
  /// Progress, 0 to 100; a lasting task is at work at 100.
  int progress = 0;
  /// Late and rough: for a serving task the tail of its answers' times in
  /// milliseconds, otherwise the processor use in thousandths; -1: untold.
  int64_t figure = -1;
};

/// A task's run that ended on a worker.
struct EndedRun {
  /// Rises from 1 within one life of the worker.
  uint64_t number = 0;
  std::string task;
  uint32_t run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// Answer to `Hold`.
struct WorkerReport {
  /// The worker's steady clock, in milliseconds.
  int64_t clock = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
  /// More ends wait than the report could list: a run that it does not name may
  /// be among them.
  bool more_ended = false;
};

struct HoldOrder {
  uint64_t token = 0;
  /// Ends up to this number are forgotten by the worker.
  uint64_t last_seen = 0;
  /// Extends the lease of all that runs there to this time of the worker's
  /// clock; 0: leaves it.
  int64_t until = 0;
  /// The answer may wait this long for an end.
  Millis wait{0};
};

struct StartOrder {
  uint64_t token = 0;
  std::string task;
  uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  /// Lease, as in `HoldOrder`.
  int64_t until = 0;
  /// Permission of an adviser, where the queue needs one; else empty.
  std::string ticket;
};

struct StopOrder {
  uint64_t token = 0;
  std::string task;
  uint32_t run = 0;
};

struct PaceOrder {
  uint64_t token = 0;
  std::string task;
  uint32_t run = 0;
  /// Share of its speed that the task may work at, 0 to 100.
  int percent = 100;
};

/// Calls finish on the control thread, exactly once, with a RunErrc on
/// failure. The value of starts, stops and pace orders is the worker's clock,
/// or 0 if it was not told.
class RunWorkers {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~RunWorkers() = default;

  virtual void Hold(const WorkerLife& worker,
                    const HoldOrder& order,
                    Callback<WorkerReport> done) = 0;
  virtual void Start(const WorkerLife& worker,
                     const StartOrder& order,
                     Callback<int64_t> done) = 0;
  virtual void Stop(const WorkerLife& worker,
                    const StopOrder& order,
                    Callback<int64_t> done) = 0;
  virtual void Pace(const WorkerLife& worker,
                    const PaceOrder& order,
                    Callback<int64_t> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_RUN_WORKER_H_
