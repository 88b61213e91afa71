// SPDX-License-Identifier: Apache-2.0

/// \file
/// Routes calls about jobs from any entry instance: calls about an existing
/// job are sent to the cell that has the job, a new job to the cell with the
/// least load, where the local cell's load is reduced by a bonus. While no cell
/// accepts jobs, a submission waits in this instance or is refused with a time
/// of return (see return_schedule.h).

#ifndef DOORWOOD_INGRESS_H_
#define DOORWOOD_INGRESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "doorwood/cell_leader.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/line_limiter.h"
#include "doorwood/live_directory.h"
#include "doorwood/queue_table.h"
#include "doorwood/record_store.h"
#include "doorwood/return_schedule.h"

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
  /// As FetchCellSummary, but a leader that still reads its records answers
  /// once it accepts jobs, or with CoreErrc::kNoOwner after `wait`.
  virtual void AwaitAcceptance(const CellLead& lead,
                               Millis wait,
                               SummaryCallback done) = 0;
};

/// What is known about the caller of a submission.
struct Caller {
  /// How long the caller waits for the answer; empty if not known.
  std::optional<Millis> time_left;
  /// Returns true once the caller has closed the connection; may be empty.
  std::function<bool()> is_gone;
};

struct SubmitResult {
  std::error_code error;
  AcceptOutcome outcome{};
  /// If the submission is refused: when the caller should return, see
  /// ReturnDecision.
  Seconds return_after{0};
};

/// Counters of submissions that no leader accepted at once.
struct ReturnCounters {
  uint64_t held = 0;
  /// Held ones that were sent to a leader; one that the leader could not take
  /// may wait again and count once more.
  uint64_t released = 0;
  uint64_t accepted_after_hold = 0;
  uint64_t told_to_return = 0;
  uint64_t refused_for_good = 0;
  Millis longest_hold{0};
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
  /// Counts of pending jobs from an older summary are not passed on. A count
  /// may leave out the jobs accepted in the last 5 s.
  Millis max_summary_age{4000};
  /// Maximum number of jobs whose cell is cached.
  size_t max_cached_jobs = 20'000;
  ReturnScheduleOptions returns;
  ServiceForecastOptions forecast;
  /// While submissions wait, how often they and the leads are checked, and how
  /// soon a leader that did not answer or refused is probed again.
  Millis hold_check_interval{50};
  Millis probe_interval{200};
  /// How long a leader that reads its records may take to answer a probe.
  Millis probe_wait{800};
};

/// All calls on the control thread.
class Ingress {
 public:
  using SubmitCallback = std::function<void(const SubmitResult&)>;
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
  /// kStoreUnavailable or kNoCapacity (definitely not accepted), kNotFound (not
  /// accepted; the queue was removed while the submission waited), or
  /// kOutcomeUnknown (the caller may submit the same job again).
  void Submit(JobPlan plan, const Caller& caller, SubmitCallback done);
  /// Fails with kNotFound only if the store says that the job is withdrawn (see
  /// `CellJournal::Withdraw`): no submission that was received before is then
  /// accepted, whatever becomes of the leader or of calls under way.
  void Cancel(const std::string& job, CancelCallback done);
  /// Fails with kNotFound only if the store has no such job and no leader is
  /// recording it.
  void FetchJobState(const std::string& job, StateCallback done);
  /// Number of jobs of a queue that have no started task, over all cells, as
  /// of their latest summaries. Empty if it is not known: no cell is known, or
  /// one has sent no summary within `IngressOptions::max_summary_age`.
  std::optional<int> PendingJobCount(const std::string& queue) const;
  /// The newest version of the queue table that a leader has reported; 0: none.
  int64_t NewestConfigVersion() const;
  /// True if at least one cell has a leader that this instance can reach.
  bool HasReachableLeader() const;
  /// When a call that failed with kNoOwner or kStoreUnavailable should be made
  /// again.
  Seconds time_to_retry() const;

  /// Called when leads may have changed. Optional: submissions that wait check
  /// the leads themselves.
  void OnLiveChange() { ObserveLeads(); }
  /// Refuses the waiting submissions whose queue is not in the table.
  void OnQueueTable(const QueueTable& table);
  /// Refuses the waiting submissions; from now on none waits.
  void StopHolding();
  size_t held() const { return held_.size(); }
  const ReturnCounters& return_counters() const { return return_counters_; }

 private:
  struct KnownCell {
    CellSummary summary;
    /// Highest `CellSummary::revision`, and what it was before the latest poll
    /// of summaries.
    int64_t revision = 0;
    int64_t settled_revision = 0;
    /// Work that this instance submitted since the summary, in core-seconds.
    double work_sent_since = 0;
    /// Epoch of the leader that was polled last.
    int64_t polled_epoch = 0;
    /// When that leader was first polled.
    Instant polled_since{};
    /// When the cell's last summary arrived.
    Instant answered_at{};
    /// Epoch of the newest lead in the directory, and when it was first seen.
    int64_t seen_epoch = 0;
    Instant seen_at{};
    /// When the lead was first seen to be vacant; zero while it is not.
    Instant vacant_since{};
    /// Newest epoch whose leader is known to have accepted jobs.
    int64_t serving_epoch = 0;
    /// Newest epoch whose leader refused a connection, or does not lead any
    /// more; cleared by the next summary.
    int64_t lost_epoch = 0;
    /// When a leader of the cell last answered a call, and last failed to.
    Instant last_sign_at{};
    Instant failed_at{};
    /// When the AwaitAcceptance call under way was made; zero if there is none.
    Instant probed_since{};
    int64_t probed_epoch = 0;
  };
  /// A submission on its way to a leader or waiting for one.
  struct Submission {
    JobPlan plan;
    std::optional<Instant> deadline;
    std::function<bool()> is_gone;
    SubmitCallback done;
    Instant arrived_at{};
    bool was_held = false;
    /// It was sent again at once, since a leader accepts jobs now.
    bool sent_again = false;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;
  using HeldSubmissions = std::multimap<Instant, SubmissionPtr>;
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
  void Forward(const SubmissionPtr& submission);
  /// Tries `cells` in turn until one has a reachable leader and capacity.
  void SubmitToFirstAvailableCell(const SubmissionPtr& submission,
                                  std::vector<std::string> cells);
  void SubmitToCell(const std::string& cell,
                    const JobPlan& plan,
                    CellPeers::SubmitCallback done);
  void OnSubmitAnswer(const SubmissionPtr& submission,
                      const std::string& cell,
                      std::error_code error,
                      AcceptOutcome outcome);

  // Signs of leaders.
  void ObserveLeads();
  void OnLeaderServes(const std::string& cell, int64_t epoch);
  void OnLeaderFails(const std::string& cell,
                     int64_t epoch,
                     std::error_code error);
  LeaderSigns SignsOf(const std::string& cell) const;
  /// When the first of the cells accepts jobs, see ServiceForecast::ServiceAt.
  std::optional<Instant> ServiceAt(Instant now) const;
  /// True if a call about a new job would most likely be refused: a probe of
  /// the leader is under way, or has just failed.
  bool IsKnownNotToServe(const std::string& cell) const;
  void ProbeLeader(const std::string& cell, const CellLead& lead);
  void ProbeLostLeaders();

  // Submissions that no leader accepted.
  ReturnQuestion QuestionAbout(const Submission& submission) const;
  void HoldOrRefuse(const SubmissionPtr& submission);
  void Hold(const SubmissionPtr& submission);
  /// Refuses a submission that a reachable leader did not accept.
  void RefuseByLeader(const Submission& submission, std::error_code error);
  void Refuse(const Submission& submission,
              std::error_code error,
              const ReturnDecision& decision);
  /// An earlier call for the job may have been accepted, so the job must not be
  /// reported as not accepted while no leader can tell.
  bool MayBeAccepted(const std::string& job) const;
  void RememberUnknownOutcome(const std::string& job);
  void CheckHeld();
  void ScheduleCheck(Millis delay);
  void RefuseHeldThatCannotWait(std::optional<Instant> service_at);
  void ReleaseHeld();
  HeldSubmissions::iterator EndHold(HeldSubmissions::iterator place);
  /// Number of instances that take submissions.
  size_t CountInstances() const;

  /// The leader to ask about a job before its cell is looked up: the only known
  /// leader, if it is reachable on another instance and the job's cell is not
  /// cached. It most likely has the job, and it answers even if the store is
  /// slow or unavailable. Null: there is none; look the cell up.
  const CellLead* LeadToAskBeforeStore(const std::string& job) const;
  /// `withdrawn`: a leader does not have the job, and has withdrawn it.
  void CancelInRecordedCell(const std::string& job,
                            bool withdrawn,
                            CancelCallback done);
  /// `denied`: the only leader does not have the job.
  void FetchStateFromRecordedCell(const std::string& job,
                                  bool denied,
                                  StateCallback done);
  /// Have the cell's leader answer, here or on another instance. Errors: those
  /// of the leader, PeerErrc, or kNoOwner if there is no reachable leader.
  void CancelInCell(const std::string& cell,
                    const std::string& job,
                    CancelCallback done);
  void FetchStateFromCell(const std::string& cell,
                          const std::string& job,
                          StateCallback done);
  /// Has a leader withdraw a job that the store does not have.
  void Withdraw(const std::string& job, CancelCallback done);
  /// Asks the leaders of `cells` in turn about a job that the store does not
  /// have, until one does not deny it.
  void FetchStateOfUnrecordedJob(const std::string& job,
                                 std::vector<std::string> cells,
                                 StateCallback done);
  /// A store revision that leaders have told this instance at least one poll of
  /// summaries ago. So long after a pause of this process, requests that had
  /// arrived before the pause may still be read.
  int64_t SettledRevision() const;
  /// Translates a leader's answer to a cancellation into the error for the
  /// caller. kNotFound becomes kNoOwner, so call this with kNotFound only if
  /// the job is known to be in the leader's cell.
  static std::error_code TranslateCancelError(std::error_code error);
  /// Looks up the cell of a job. Fails with CoreErrc::kNotFound if the store
  /// has no such job, and with kStoreUnavailable if the store cannot be read.
  void FindCell(const std::string& job, CellCallback done);
  void CacheCell(const std::string& job, const std::string& cell);
  /// Passes the result of a query of the leader to this instance's own leader
  /// of the cell, which may find that the other's process is gone.
  void ReportCall(const CellLead& lead, Instant sent, std::error_code error);
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

  ServiceForecast forecast_;
  ReturnSchedule returns_;
  /// By deadline, so that those with the least time left are released first.
  HeldSubmissions held_;
  bool stopping_ = false;
  Executor::TimerId check_timer_ = 0;
  Instant next_release_at_{};
  /// Jobs of which a submission through this instance had an unknown outcome;
  /// the oldest are forgotten.
  std::set<std::string> unknown_outcomes_;
  std::deque<std::string> unknown_outcome_order_;
  ReturnCounters return_counters_;
  LineLimiter refusal_lines_;
};

}  // namespace doorwood

#endif  // DOORWOOD_INGRESS_H_
