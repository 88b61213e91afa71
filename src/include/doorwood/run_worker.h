// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to workers that run tasks under leases on the worker's clock and refuse
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

/// One incarnation of a worker as listed in the platform's directory.
struct WorkerIncarnation {
  /// A restarted worker has a new id, or the same one and a later `started_at`.
  std::string id;
  /// When this incarnation started, in Unix ms; 0: not known.
  int64_t started_at = 0;
  std::string address;
  std::string data_centre;
  /// Pool of workers; queues refer to it by name.
  std::string service;
  /// Machine that the worker runs on; may be empty.
  std::string machine;
  Resources capacity;
  std::vector<std::string> labels;
  /// The worker is about to leave and takes no new work.
  bool draining = false;
  /// Minimum time until the worker leaves, once draining.
  Millis min_time_to_leave{0};
  /// False: the entry does not have the form of a worker's entry, and only `id`
  /// is set.
  bool is_valid = true;
};

/// Port to the directory of workers.
class WorkerDirectory {
 public:
  using Callback =
      std::function<void(std::error_code, std::vector<WorkerIncarnation>)>;
  using ClosedDataCentresCallback =
      std::function<void(std::error_code, std::set<std::string>)>;

  virtual ~WorkerDirectory() = default;

  /// All workers, linearizable, including the ids of entries that can't be
  /// parsed. Fails with a KvErrc.
  virtual void ListWorkers(Callback done) = 0;
  /// Data centres that the operators have closed to new work, linearizable.
  /// Fails with a KvErrc.
  virtual void ListClosedDataCentres(ClosedDataCentresCallback done) = 0;
};

/// How a run ended, as reported by the worker. For ends without a report, a
/// leader uses kStopped or kLeaseExpired; see
/// WorkerSessionListener::OnRunEnded.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  /// The run's lease on the worker expired.
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangMemberEnded,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

std::string_view ToString(RunEnd end);

/// A run of a task that a worker lists as active.
struct ActiveRun {
  std::string task;
  uint32_t run = 0;
  /// Newest checkpoint; empty: none.
  std::string checkpoint;
  /// Progress, 0 to 100; a long-running task is ready at 100.
  int progress = 0;
  /// Delayed and approximate. For a serving task the tail latency of its
  /// answers in milliseconds, otherwise the processor use in thousandths of a
  /// processor; -1: not reported.
  int64_t measurement = -1;
};

/// A run of a task that ended on a worker.
struct EndedRun {
  /// Increases from 1 within one incarnation of the worker, that is also after
  /// a restart under the same id.
  uint64_t number = 0;
  std::string task;
  uint32_t run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// Why a poll brought no report.
enum class PollFailure {
  kNone,
  /// No connection; nothing was sent.
  kNotSent,
  /// No complete answer arrived in time.
  kNoResponse,
  /// The worker answered with an error.
  kRefused,
  /// The answer does not have the form of a report. It may have listed ends.
  kUnreadable,
};
inline constexpr size_t kPollFailureCount = 5;

std::string_view ToString(PollFailure failure);

/// Answer to `Poll`. If the poll failed, only `failure` and `problem` are set.
struct WorkerReport {
  /// The worker's steady clock, in milliseconds. Begins anew with each
  /// incarnation.
  int64_t clock = 0;
  /// When the incarnation that answered started, in Unix ms; 0: not known.
  int64_t started_at = 0;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
  /// The worker may have more ended runs than the report lists; a run that the
  /// report does not name may be among them.
  bool has_more_ends = false;
  PollFailure failure = PollFailure::kNone;
  /// What was wrong, in words; only for logs.
  std::string problem;
};

/// Tells the incarnations (lives) of a worker under one id apart.
struct WorkerLife {
  /// When the life started, in Unix ms; 0: not known.
  int64_t started_at = 0;
  /// The life's steady clock as last reported, in milliseconds; 0: not known.
  int64_t clock = 0;
};

/// Whether an answer that states this start time and clock (0: not stated) is
/// of another life than `life`. Where either start time is not known, only a
/// clock that has gone back tells.
bool IsOtherLife(const WorkerLife& life, int64_t started_at, int64_t clock);

struct PollOrder {
  uint64_t token = 0;
  /// The worker discards its ended runs up to this number. Another incarnation
  /// under the same id counts its ends anew and must never get this number, so
  /// the client sends it only over a connection on which the worker has
  /// already answered a poll with a report, and otherwise 0. Ends that are not
  /// discarded are listed again.
  uint64_t forget_up_to = 0;
  /// Extends the leases of all runs there to this time on the worker's clock;
  /// 0: does not extend them. Sent only where `forget_up_to` may be sent: on
  /// the clock of another incarnation the time may be far ahead. Leases that
  /// are not extended are extended by the next poll.
  int64_t lease_end = 0;
  /// The worker may delay its answer for this long to wait for a run to end.
  Millis max_wait{0};
  /// The life that the poll is meant for; what another one answers is returned
  /// as any other report.
  WorkerLife life;
};

struct StartOrder {
  uint64_t token = 0;
  std::string task;
  uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  /// Lease end, as in `PollOrder`.
  int64_t lease_end = 0;
  /// Permission of an adviser if the queue needs one; otherwise empty.
  std::string ticket;
  /// The life that the order is meant for; see `RunWorkerClient`.
  WorkerLife life;
};

struct StopOrder {
  uint64_t token = 0;
  std::string task;
  uint32_t run = 0;
  WorkerLife life;
};

struct PaceOrder {
  uint64_t token = 0;
  std::string task;
  uint32_t run = 0;
  /// Share of its full speed that the task may use, 0 to 100.
  int percent = 100;
  WorkerLife life;
};

/// Size of a start order on the network without its payload, in bytes.
inline constexpr size_t kStartOverheadBytes = 360;

/// Calls complete on the control thread, exactly once, with a RunErrc on
/// failure. Starts, stops and pace orders return the worker's clock, or 0 if it
/// was not reported.
///
/// A worker that has started again under its id accepts calls that were meant
/// for its earlier life. So starts, stops and pace orders are sent only over a
/// connection on which the life that they are meant for has answered. If
/// another one answers on a new connection, they fail with
/// `RunErrc::kOtherLife`, and nothing was sent. What a worker carries out late
/// may still be carried out by its next life; fencing tokens limit that.
class RunWorkerClient {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~RunWorkerClient() = default;

  virtual void Poll(const WorkerIncarnation& worker,
                    const PollOrder& order,
                    Callback<WorkerReport> done) = 0;
  virtual void Start(const WorkerIncarnation& worker,
                     const StartOrder& order,
                     Callback<int64_t> done) = 0;
  virtual void Stop(const WorkerIncarnation& worker,
                    const StopOrder& order,
                    Callback<int64_t> done) = 0;
  virtual void Pace(const WorkerIncarnation& worker,
                    const PaceOrder& order,
                    Callback<int64_t> done) = 0;
  /// How long an order that is given now waits until the network link of this
  /// machine has transferred it.
  virtual Millis OrderDelay() const { return Millis(0); }
  /// Rate of that link in bytes a second, in each direction; 0: not limited.
  virtual double link_rate() const { return 0; }
};

}  // namespace doorwood

#endif  // DOORWOOD_RUN_WORKER_H_
