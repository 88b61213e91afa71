// SPDX-License-Identifier: Apache-2.0

/// \file
/// Routes calls about jobs from any entry instance: calls about an existing
/// job are sent to the cell that has the job, a new job to the cell with the
/// least load, where the local cell's load is reduced by a bonus.

#ifndef DOORWOOD_INGRESS_H_
#define DOORWOOD_INGRESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "doorwood/cell_leader.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/live_directory.h"
#include "doorwood/record_store.h"

namespace doorwood {

/// Calls from this instance to the leaders of cells on other instances. The
/// callback of each call runs exactly once, on the control thread: with a
/// PeerErrc if the peer did not answer, else with success or its CoreErrc.
class CellPeers {
 public:
  using SubmitCallback = std::function<void(std::error_code, AcceptOutcome)>;
  using CancelCallback = std::function<void(std::error_code)>;
  using StateCallback = std::function<void(std::error_code, JobPhase)>;
  using SummaryCallback = std::function<void(std::error_code, CellSummary)>;

  virtual ~CellPeers() = default;

  virtual void Submit(const CellLead& lead,
                      const JobPlan& plan,
                      SubmitCallback done) = 0;
  virtual void Cancel(const CellLead& lead,
                      const std::string& job,
                      CancelCallback done) = 0;
  virtual void FetchJobState(const CellLead& lead,
                             const std::string& job,
                             StateCallback done) = 0;
  virtual void FetchCellSummary(const CellLead& lead, SummaryCallback done) = 0;
};

struct IngressOptions {
  /// How often the cells' leaders are asked for their summaries.
  Millis summary_interval{600};
  /// Subtracted from the load of the cell of this instance's data centre when
  /// cells are ordered by load, so that jobs stay local if loads differ little.
  /// In seconds of unfinished work per processor core.
  double local_cell_bonus = 0.8;
  /// No calls about jobs are sent to a leader on another instance that has sent
  /// no summary for this long, counted from its last summary or from the first
  /// request for one. Calls about its jobs fail immediately, so that callers
  /// can try an instance that reaches the leader. The default is two
  /// `summary_interval`s plus 300 ms for an answer.
  Millis leader_answer_timeout{1500};
  /// Maximum number of jobs whose cell is cached.
  size_t max_cached_jobs = 20'000;
};

/// All calls on the control thread.
class Ingress {
 public:
  using SubmitCallback = CellPeers::SubmitCallback;
  using CancelCallback = CellPeers::CancelCallback;
  using StateCallback = CellPeers::StateCallback;

  Ingress(Executor& executor,
          RecordStore& store,
          CellPeers& peers,
          LiveDirectory& live,
          EventLog& log,
          std::vector<CellLeader*> local,
          const IngressOptions& options);

  /// Starts polling the cells' leaders for summaries.
  void Start();

  /// Submits a job to the cell with the least load, or to the next one while a
  /// cell has no reachable leader or no capacity. A job whose cell is cached is
  /// submitted to that cell only. Failure: CoreErrc::kNoOwner,
  /// kStoreUnavailable or kNoCapacity (definitely not accepted), or
  /// kOutcomeUnknown (the caller may submit the same job again).
  void Submit(JobPlan plan, SubmitCallback done);
  /// Cancel and FetchJobState fail with kNotFound only if the store has no such
  /// job.
  void Cancel(const std::string& job, CancelCallback done);
  void FetchJobState(const std::string& job, StateCallback done);
  /// Number of jobs of a queue that have no started task, over all cells, as
  /// of their latest summaries.
  int PendingJobCount(const std::string& queue) const;
  /// True if at least one cell has a leader that this instance can reach.
  bool HasReachableLeader() const;

 private:
  struct KnownCell {
    CellSummary summary;
    /// Work that this instance submitted since the summary, in core-seconds.
    double work_sent_since = 0;
    /// Epoch of the leader that was polled last.
    int64_t polled_epoch = 0;
    /// When that leader was first polled.
    Instant polled_since{};
    /// When the cell's last summary arrived.
    Instant answered_at{};
  };
  using CellCallback = std::function<void(std::error_code, std::string)>;

  /// This instance's leader of the cell; null: it does not lead the cell.
  CellLeader* LocalLeader(const std::string& cell) const;
  /// The leader of the cell on another instance; null: there is none, or it has
  /// sent no summary for `leader_answer_timeout`.
  const CellLead* ReachableLead(const std::string& cell) const;
  void OnSummary(const std::string& cell, const CellSummary& summary);
  /// Cells that have a leader, by ascending load; the local one's is reduced.
  std::vector<std::string> CellsByLoad() const;
  /// Unfinished work per processor core, in seconds; also 0 if not known.
  double Load(const std::string& cell) const;
  /// Tries `cells` in turn until one has a reachable leader and capacity. If
  /// none has, or on any other error, passes the last error to `done`.
  void SubmitToFirstAvailableCell(std::shared_ptr<JobPlan> plan,
                                  std::vector<std::string> cells,
                                  SubmitCallback done);
  void SubmitToCell(const std::string& cell,
                    const JobPlan& plan,
                    SubmitCallback done);
  /// The leader to ask about a job before its cell is looked up: the only known
  /// leader, if it is reachable on another instance and the job's cell is not
  /// cached. It most likely has the job, and it answers even if the store is
  /// slow or unavailable. Null: there is none; look the cell up.
  const CellLead* LeadToAskBeforeStore(const std::string& job) const;
  void CancelInRecordedCell(const std::string& job, CancelCallback done);
  void FetchStateFromRecordedCell(const std::string& job, StateCallback done);
  /// Translates a leader's answer to a cancellation into the error for the
  /// caller. kNotFound becomes kNoOwner, so call this with kNotFound only if
  /// the job is known to be in the leader's cell.
  static std::error_code TranslateCancelError(std::error_code error);
  /// Looks up the cell of a job. Fails with CoreErrc::kNotFound if the store
  /// has no such job, and with kStoreUnavailable if the store cannot be read.
  void FindCell(const std::string& job, CellCallback done);
  void CacheCell(const std::string& job, const std::string& cell);
  void PollSummaries();

  Executor& executor_;
  RecordStore& store_;
  CellPeers& peers_;
  LiveDirectory& live_;
  EventLog& log_;
  const std::vector<CellLeader*> local_;
  const IngressOptions options_;
  std::map<std::string, KnownCell> cells_;
  std::unordered_map<std::string, std::string> cell_of_job_;
  std::deque<std::string> cached_jobs_;
};

}  // namespace doorwood

#endif  // DOORWOOD_INGRESS_H_
