// SPDX-License-Identifier: Apache-2.0

/// \file
/// Routes calls about jobs from any entry instance: calls about an existing
/// job are sent to the cell that has the job, a new job to the cell with the
/// least load.

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
/// PeerErrc if the peer did not answer, else with the peer's CoreErrc.
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
  /// How often the leaders of other cells are asked for their summaries.
  Millis summary_interval{600};
  /// A job is submitted to another cell only if less work waits there than in
  /// the local cell, by at least this amount, in seconds of work per processor
  /// core.
  double local_cell_bonus = 0.8;
  /// This instance sends no calls to a leader that has not answered for this
  /// long, counted from the leader's last answer or from the first request to
  /// it. Callers are refused immediately and can call an instance that can
  /// reach the leader. The default is two `summary_interval`s plus 300 ms
  /// for an answer.
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
    /// Work submitted to the cell since the summary, in core-seconds.
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
  /// The leader of the cell on another instance, if it answers or has not been
  /// polled yet; null: there is none.
  const CellLead* ReachableLead(const std::string& cell) const;
  void OnSummary(const std::string& cell, const CellSummary& summary);
  /// Cells that have a leader, the preferred cell first.
  std::vector<std::string> CellsByLoad() const;
  /// Waiting work per processor core, in seconds; 0: not known.
  double Load(const std::string& cell) const;
  /// Submits to the first of `cells`, and to the next one if the first has no
  /// reachable leader or no capacity. Other errors are passed to `done`.
  void SubmitToNextCell(std::shared_ptr<JobPlan> plan,
                        std::vector<std::string> cells,
                        SubmitCallback done);
  void SubmitTo(const std::string& cell,
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
  /// caller. kNotFound becomes kNoOwner, so it may be passed only if the job is
  /// known to be in the cell.
  static std::error_code CancelResult(std::error_code error);
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
