// SPDX-License-Identifier: Apache-2.0

/// \file
/// The leader of one cell. A cell is a subset of the workers, with the jobs
/// that run on them. While this process holds the cell's lead key, it accepts
/// jobs, sends orders to the cell's workers and records durable state in the
/// store. Otherwise this process is on standby.

#ifndef DOORWOOD_CELL_LEADER_H_
#define DOORWOOD_CELL_LEADER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/cancel_waiters.h"
#include "doorwood/cell_journal.h"
#include "doorwood/cell_options.h"
#include "doorwood/cell_policy.h"
#include "doorwood/cell_summary.h"
#include "doorwood/cell_worker.h"
#include "doorwood/crash_policy.h"
#include "doorwood/ended_jobs.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/former_workers.h"
#include "doorwood/job_table.h"
#include "doorwood/known_queues.h"
#include "doorwood/lead_proof.h"
#include "doorwood/lead_vacancy.h"
#include "doorwood/line_limiter.h"
#include "doorwood/live_directory.h"
#include "doorwood/machine_platform.h"
#include "doorwood/order_limits.h"
#include "doorwood/pacing.h"
#include "doorwood/place_search.h"
#include "doorwood/queue_table.h"
#include "doorwood/rack_choice.h"
#include "doorwood/record_store.h"
#include "doorwood/rejected_entry_log.h"
#include "doorwood/run_worker.h"
#include "doorwood/takeover_account.h"
#include "doorwood/ticket_book.h"
#include "doorwood/unaccounted_workers.h"
#include "doorwood/upkeep_wave_controller.h"
#include "doorwood/worker_contacts.h"
#include "doorwood/worker_session.h"

namespace doorwood {

/// Leads one cell while this process holds the cell's lead key in the store.
///
/// An instance is on standby until the lead is vacant and the instance's
/// campaign delay has passed. The store revision at which it writes the lead
/// key is its epoch, which is also the fencing token of its orders: a worker
/// refuses orders with a lower token than the highest it has seen. Before it
/// leads, the instance reads the records of earlier leaders.
///
/// Runs that earlier leaders ordered may still be active on workers that this
/// leader has not yet contacted. A task that may have such a run is held back
/// until each of those workers has listed all its ended runs, or all leases on
/// that worker have certainly expired.
///
/// A leader starts tasks and extends leases only for a bounded time after the
/// lead key was last confirmed. It continues longer only while all other
/// instances answer that they cannot reach the store either. A leader that is
/// paused or loses the store has therefore stopped before a successor starts
/// the same tasks again.
class CellLeader : public WorkerSessionListener,
                   public JournalOwner,
                   public LeadProofListener,
                   public WorkerEvacuator {
 public:
  using SubmitCallback = CellJournal::AcceptCallback;
  /// Errors: CoreErrc::kNotFound if no cell has such a job and the store says
  /// that it is withdrawn (see `CellJournal::Withdraw`), kNoOwner if this
  /// instance does not lead or is about to release the lead, kStoreUnavailable
  /// if it is not known whether the cell has the job or another cell has it,
  /// kOutcomeUnknown if the cancellation was not recorded in time or this
  /// instance stepped down.
  using CancelCallback = CancelWaiters::Callback;
  using PhaseCallback = std::function<void(std::error_code, JobPhase)>;
  static constexpr Millis kUnlimitedGrace = std::chrono::hours(24);

  /// `adviser` may be null: tasks of queues that need advice then never start.
  /// `machines` may be null: no machine is then taken down for upkeep.
  CellLeader(Executor& executor,
             RecordStore& store,
             WorkerDirectory& directory,
             RunWorkerClient& workers,
             Adviser* adviser,
             MachinePlatform* machines,
             LiveDirectory& live,
             EventLog& log,
             std::function<int64_t()> unix_millis,
             const CellOptions& options);
  ~CellLeader() override;

  void Start();
  /// Planned shutdown: records pending changes, releases the lead, then runs
  /// `done`. Once the store has answered for 0.3 s, the shutdown waits only for
  /// the jobs that were submitted, and the changes that were urgent, by then.
  /// While the store is away, the leader goes on as far as its lead allows; it
  /// releases the lead as soon as the store answers, and without waiting for
  /// records if little is left of `grace`, after which the process ends. An
  /// instance that is still reading the records of earlier leaders releases the
  /// lead at once. Any other that does not lead runs `done` immediately, and
  /// releases the lead if a campaign that is under way succeeds.
  void ShutDown(std::function<void()> done, Millis grace = kUnlimitedGrace);

  void OnQueueTable(std::shared_ptr<const QueueTable> table);
  /// Called when instances, leads or the lease of this instance may have
  /// changed.
  void OnLiveChange();
  /// Called when the leader of `epoch`, which cannot reach the store, has
  /// stepped down. Removes that leader's key if this instance is on standby.
  void OnLeadHandedOver(int64_t epoch);
  /// Called when a call of this instance to the leader has ended, for whatever
  /// reason it was made. Removes the key of a leader whose process is gone, see
  /// LeadVacancy.
  void OnLeaderCalled(const CellLead& lead,
                      Instant sent,
                      std::error_code error);

  bool leading() const { return stage_ == Stage::kLeading; }
  /// True while this instance holds the lead and reads the records of earlier
  /// leaders; it accepts no jobs yet.
  bool reading() const { return stage_ == Stage::kReading; }
  /// Time since the store last answered this instance. Instances that cannot
  /// reach the store query this time from the others: without the store, a
  /// leader may continue only while no other instance can take the lead. Empty
  /// if this instance cannot reach the store either, but leads or is taking the
  /// lead: the querying instance must not count this one as unable to lead.
  std::optional<Millis> ReportTimeSinceStoreAnswer(Instant now);
  /// Agrees that a leader which cannot reach the store starts long-running
  /// tasks without recording their placement. Returns false, without agreeing,
  /// if this instance can reach the store, leads or is taking the lead.
  bool AgreeToUnrecordedStarts();
  int64_t epoch() const { return epoch_; }
  const std::string& cell() const { return options_.cell; }

  /// Accepts a job. Errors: those of `CellJournal::AcceptCallback`; and, for a
  /// job that is neither known nor being recorded, CoreErrc::kNoCapacity if all
  /// workers of the queue's service are in closed data centres, or the service
  /// lacks capacity for the plan's long-running tasks.
  void Submit(JobPlan plan, SubmitCallback done);
  /// Cancels a job and stops its runs. `done` runs without an error once the
  /// job's outcome is recorded, also if the job had ended before. A job that
  /// the cell does not have is withdrawn.
  void Cancel(const std::string& job, CancelCallback done);
  /// The state of a job that this leader has in memory.
  std::optional<JobPhase> FindJobPhase(const std::string& job) const;
  /// Also finds ended jobs whose records this leader has not read yet. Errors:
  /// CoreErrc::kNotFound if the cell has no such job and is not recording it,
  /// kNoOwner or kStoreUnavailable if that is not known.
  void FetchJobPhase(const std::string& job, PhaseCallback done);
  /// Whether a task of the job that is not placed is held back, because a run
  /// that an earlier leader ordered may be active.
  bool IsHeldBack(const std::string& job);
  /// The summary as of its last periodic update.
  const CellSummary& summary() const { return summary_; }
  const CellCounters& counters() const { return counters_; }
  const WorkerReliability& reliability() const { return reliability_; }
  const CellJournal& journal() const { return journal_; }
  const LeadProof& proof() const { return proof_; }
  const TicketBook& tickets() const { return tickets_; }

  // WorkerSessionListener
  void OnRunBegan(WorkerSession& session, const Run& run) override;
  void OnRunEnded(WorkerSession& session,
                  const Run& run,
                  RunEnd end,
                  bool reported_by_worker) override;
  void OnWorkerLost(WorkerSession& session) override;
  void OnPollFailed(WorkerSession& session) override;
  void OnPollRecovered(WorkerSession& session) override;
  void OnUnknownEnd(WorkerSession& session, const EndedRun& end) override;
  std::optional<Run> OnUnknownRun(WorkerSession& session,
                                  const ActiveRun& run) override;
  void OnStartRefused(WorkerSession& session,
                      const Run& run,
                      std::error_code error) override;
  void OnReport(WorkerSession& session) override;
  void OnHigherTokenSeen(WorkerSession& session) override;

  // JournalOwner
  std::string EncodeState(const std::string& job) override;
  int64_t PlacementsValidTo() override;
  int64_t BoundedLeasesEpoch() override { return leases_bounded_ ? epoch_ : 0; }
  bool AreGroupsKept() override;
  std::optional<TermEnd> PlannedTermEnd() override;
  EndNumbers HighestUnrecordedEnds() override;
  void OnAccepted(const JobPlan& plan) override;
  void OnEncodedStateStored(const std::string& job) override;
  void OnNewestStateStored(const std::string& job) override;
  void OnArchived(const std::string& job) override;
  void OnWithdrawn(const std::string& job) override;
  void OnWithdrawalRefused(const std::string& job) override;
  void OnEndsRecorded(const EndNumbers& ends) override;
  void OnWorkersRecorded(const std::vector<KnownWorker>& workers) override;
  void OnLeadConfirmed(Instant sent) override;
  void OnLeadLost(std::string_view reason) override;

  // LeadProofListener
  void OnLeadProved() override;
  void OnLeadDisproved(std::string_view reason) override;

  // WorkerEvacuator
  Occupancy EvacuateWorker(const std::string& worker,
                           EvacuationScope scope) override;

 private:
  /// What was read, when the read began, and when the answer came.
  template <typename T>
  struct EarlyRead {
    T value;
    Instant began{};
    Instant at{};
  };
  enum class Stage { kStandby, kCampaigning, kReading, kLeading, kShutDown };
  /// Name of a task, and a note of a worker crash to be added to the task.
  using TaskCrashNote = std::pair<std::string, CrashNote>;
  /// A step with tasks that are ready to start. `SortReadySteps` sets `rank`
  /// and sorts by it, most urgent first.
  struct ReadyStep {
    StepRank rank;
    Job* job = nullptr;
    int repetition = 0;
    int step = 0;
  };

  // cell_campaign.cpp: becoming the leader; cell_leader.cpp: leading and
  // stepping down; cell_workers.cpp: the cell's workers; cell_calls.cpp: client
  // requests.
  void ScheduleCampaign();
  void Campaign();
  /// Delay of this instance's campaign where instances do not know each other.
  Millis CampaignDelayByClass() const;
  /// Earliest time at which this instance may campaign for a vacant lead.
  Instant EarliestCampaignTime() const;
  /// When the instances that would register at the same time as this one have
  /// done so; zero: this one need not wait for them.
  Instant EndOfRegistrations() const;
  bool MayCampaign() const;
  /// Updates `CellCounters::without_leader`.
  void NoteLeaderKnown(bool known);

  // cell_vacancy.cpp: leads whose holder is gone.
  /// Calls the leader, or removes its key, if one of these is due; or sets a
  /// timer for it.
  void CheckVacancy();
  void ScheduleVacancyCheck(Instant at);
  void CallLeader(const CellLead& lead);
  /// Number of instances that would remove the key before this one.
  int RankForRemoval(const CellLead& lead) const;
  /// Removes the lead key of this epoch and `also` if the key is of this epoch,
  /// and runs `done` with the result.
  void RemoveLeadKeyOf(int64_t epoch,
                       const std::vector<std::string>& also,
                       const std::string& message,
                       std::function<void(std::error_code)> done);
  /// The lead key is of an earlier process of this instance, which has ended,
  /// since this one has its address now.
  bool IsOfEarlierProcess(const CellLead& lead) const;
  void RemoveLeadOfEarlierProcess(const CellLead& lead);

  // cell_campaign.cpp
  /// Whether workers and instances of the data centre belong to this cell.
  bool BelongsToCell(std::string_view data_centre) const;
  CellLead OwnLead(int64_t epoch) const;
  void OnCampaignWon(int64_t epoch);
  /// Lists the records of earlier leaders. No other process can write them, so
  /// that lists of several prefixes fit together.
  void ReadRecords();
  /// Restores the state that earlier leaders recorded, and begins to lead.
  void Restore(const StoreItems& items);
  /// Returns the number of open jobs.
  int RestoreJobs(const StoreItems& items);
  /// Returns the chain keys by lane. Sets `newest` to the chain key of the
  /// newest batch, or to null if there is none.
  std::map<size_t, ChainLink> ReadChains(const StoreItems& items,
                                         const StoreItem** newest) const;
  std::vector<KnownWorker> ReadKnownWorkers(const StoreItems& items) const;
  /// `newest`: the chain key of the newest batch; null: there is none.
  TakeoverWait::Evidence ReadWaitEvidence(const StoreItem* newest) const;
  /// Lower bound on the age of a record that was written at `revision`; zero if
  /// the age is not known.
  Millis AgeOfRecord(int64_t revision) const;
  /// Uses what `ReadWorkers` and `ReadClosedDataCentres` have read beside the
  /// records, unless it is due to be read again.
  void ApplyEarlyReads();
  void StepDown(std::string_view reason);
  /// Whether the store did not answer when a planned shutdown began, and only
  /// later.
  bool WasStoreAwayAtShutdown() const;
  /// Sets `releasing_since_` once the store has answered a call of a planned
  /// shutdown. If the store has not answered for a while, resets it and
  /// `orders_ended_`, unless a TermEnd of this term may be in the store.
  void UpdateRelease();
  /// Whether a planned shutdown may end the orders now: the store has just
  /// answered, and what had to be recorded before is recorded or late.
  bool MayEndOrders() const;
  /// Whether the lead may be released now, once the orders have ended. Seals
  /// the journal if only records that were urgent by now are waited for.
  bool MayRelease(Millis grace);
  /// Ends all orders of a leader that shuts down, and requests the record of
  /// that.
  void EndOrders();
  /// Removes this instance's lead key. Once the key is certainly gone,
  /// completes a planned shutdown if one is under way; until then, a process
  /// that shuts down tries again.
  void ReleaseLeadKey();
  /// Steps down because this instance cannot reach the store, and asks `other`,
  /// which can, to remove the lead key.
  void HandOverLead(const LiveInstance& other);
  void ReadWorkers();
  /// Logs that the list of workers, whose reading began at `began`, comes late
  /// or after failed reads.
  void LogLateWorkers(Instant began);
  void ReadClosedDataCentres();
  void OnClosedDataCentres(std::set<std::string> closed);
  bool IsInClosedDataCentre(const CellWorker& cell_worker) const;
  /// Whether the queue's service has workers, all of them in closed data
  /// centres.
  bool AreAllWorkersInClosedDataCentres(const std::string& queue) const;
  /// Applies the list of workers, whose reading began at `began`.
  void OnWorkers(std::vector<WorkerIncarnation> incarnations, Instant began);
  /// Applies a directory entry to a known worker, or marks the entry as
  /// rejected (see `CellWorker::entry_rejected`). The address of a readable
  /// entry is passed to the worker's session in either case. `began`: when the
  /// read of the entry began.
  void ApplyDirectoryEntry(const WorkerIncarnation& incarnation,
                           Instant began,
                           CellWorker* cell_worker);
  /// Whether a worker that is not known yet may be added to the cell. Records
  /// its entry as rejected if no queue names the worker's service.
  bool MayAddWorker(const WorkerIncarnation& incarnation);
  /// Sets `CellWorker::unlisted_since` for workers without a directory entry.
  void MarkUnlistedWorkers();
  /// `recorded`: the worker's row in an earlier leader's record; null: the
  /// worker was read from the directory.
  void AddWorker(const WorkerIncarnation& incarnation,
                 const KnownWorker* recorded);
  /// Highest fencing token of this leader that a successor's epoch exceeds.
  uint64_t NewestToken() const;
  /// `earlier_token`: highest token of this leader's orders for an earlier life
  /// under the same id, if there was one.
  std::shared_ptr<WorkerSession> MakeSession(
      const WorkerIncarnation& incarnation,
      std::optional<uint64_t> earlier_token);
  void RaiseTokensOfLaterLives();
  /// Without leases of earlier versions if there are none.
  WorkerSessionOptions SessionOptions() const;
  /// Opens sessions with the next incarnations of workers that have started
  /// again under their ids. What concerns the worker's row in the store stays;
  /// what concerns the incarnation begins anew.
  void ReplaceRestartedWorkers();
  void ReplaceSession(const std::string& id, CellWorker* cell_worker);
  /// Removes workers that are dead or have no valid directory entry, unless
  /// they have runs or unrecorded ends or are not yet contacted.
  void RemoveGoneWorkers();
  // cell_worker_records.cpp: records of workers for a successor.
  /// Whether the workers' key in the store has the worker with its current
  /// address and, unless the start time there is 0, with its start time.
  /// Required before the worker gets any work.
  static bool IsIncarnationRecorded(const CellWorker& cell_worker);
  /// Records the workers if one has reported another start time than its
  /// record has.
  void RecordChangedIncarnations();
  /// Whether the worker was in contact, but is unreachable now, and no order
  /// extended a lease there for `CellOptions::unresponsive_close_delay`.
  bool IsLongUnresponsive(const CellWorker& cell_worker) const;
  /// The value of `KnownWorker::deductible_wait` to record for the worker
  /// now.
  Millis DeductibleWaitToRecord(const CellWorker& cell_worker) const;
  /// Records how long no lease was extended on workers that are not yet
  /// contacted or are unresponsive: periodically, and as soon as a worker
  /// becomes unresponsive.
  void RecordUnreachableWorkers();
  /// Requests the record after which `leases_bounded_` is set.
  void RecordBoundedLeases();
  /// Whether all leases that leaders of earlier versions granted have expired.
  bool HaveEarlierLeasesExpired() const;
  std::vector<KnownWorker> BuildWorkerRecords() const;
  /// Passes the current records of all workers to the journal.
  void RecordWorkers();
  /// Does so soon: once for all workers that are contacted until then.
  void RequestWorkersRecord();
  /// Tasks that may run on the worker, or whose end there is not recorded.
  /// Empty optional: any task may run there or be started there.
  std::optional<std::vector<std::string>> TasksToRecord(
      const CellWorker& cell_worker) const;
  /// Whether the worker gets no new work because it is dead, is listed as
  /// leaving, has had no directory entry for `CellOptions::unlisted_grace`, has
  /// not answered this leader, or is long unresponsive. An unlisted worker
  /// whose record in the store may have a task list stays closed until it is
  /// listed again. Must not be called for workers for which `IsUncontacted` is
  /// true.
  bool IsClosedToNewWork(const CellWorker& cell_worker) const;
  /// Whether the worker was closed to new work or opened again, or its task
  /// list changed while it was closed, since its record was last passed to the
  /// journal.
  bool HasUnrecordedTaskChanges(const CellWorker& cell_worker) const;
  /// Records the workers if the task list of one that is closed to new work has
  /// changed, or a worker was closed or opened again. Does nothing before
  /// `next_tasks_record_`, or while the lead is not confirmed.
  void RecordTasksOfClosedWorkers();
  /// Time until which starts may be ordered and leases extended; zero while
  /// this process does not lead, or was paused and its lead is not yet
  /// confirmed again. Stops, paces and polls that extend no lease are not
  /// limited.
  Instant OrderDeadline() const;
  /// Applies what the other instances state of the store to `order_limits_`.
  void ApplyOutageStatements();
  /// Sends the journal's first batch, before which this leader gives no orders,
  /// once all workers are contacted or `first_contact_time` has passed.
  void SendFirstBatchIfDue();
  /// Requests a batch if the newest one is `lease_basis_interval` old.
  void RenewLeaseBasis();
  void PollAllWorkersWithRuns();
  /// Whether starts may be ordered now.
  bool MayOrderStarts() const;
  /// Whether the lead key was confirmed within
  /// `CellOptions::lead_confirmed_for`.
  bool IsLeadConfirmed() const;
  /// Passes to the worker's session until when it may extend leases, and until
  /// when this instance provably led.
  void UpdateSessionLimits(const CellWorker& cell_worker,
                           Instant order_deadline) const;
  void UpdateAllSessionLimits() const;
  /// Longest wait of polls that watch interference; longer in larger cells.
  Millis InterferencePollWait() const;
  void Tick();
  // cell_ended_jobs.cpp: archive of ended jobs.
  /// Passes the jobs in `to_archive_` to the journal, except those with a run
  /// whose end is not known yet.
  void ArchiveEndedJobs();
  static EndedJob ToEndedJob(const Job& job);
  /// Removes archived jobs that ended more than
  /// `CellOptions::finished_job_retention` ago.
  void RemoveOldJobs();
  /// Cancels a job that is loaded. `CancelWaiters` answers the callers.
  void CancelLoadedJob(Job* job);
  /// Withdraws a job that is neither loaded nor archived, so that no submission
  /// of it that is still under way is accepted.
  void WithdrawUnknownJob(const std::string& job, CancelCallback done);
  /// Whether `LongRunningAdmission` allows the plan's long-running steps; true
  /// if there are none, or the queue or the workers are not known. Logs a
  /// refusal.
  bool HasLongRunningCapacity(const JobPlan& plan);
  /// Adds the starts of the job's tasks that are neither done nor placed to
  /// `waiting_start_bytes_`.
  void AddWaitingStarts(const Job& job);
  /// Whether the network link of this machine needs longer than the job's
  /// objective for the starts that are waiting and go first.
  bool IsStartBacklogTooLong(const JobPlan& plan) const;
  /// Also recounts `waiting_start_bytes_`.
  CellSummary Summarize();
  LongRunningAdmission& LongRunningAdmissionOf(const std::string& service);
  /// Updates the model of each service's capacity for long-running tasks with
  /// the service's current `ServiceLoad`.
  void ObserveLoads();

  // cell_groups.cpp: the group of workers to which a job is confined.
  /// Returns the group for a new job; 0 if any worker may run its tasks.
  WorkerGroup ChooseGroup(const JobPlan& plan);
  void UpdateGroupLoads();
  /// Sorts the workers of an earlier leader's record by the number of tasks
  /// that have to wait for them, most first, apart from workers whose record
  /// lists their tasks.
  void SortForContact(std::vector<KnownWorker>* known);
  /// Allows the job's tasks on all workers, as soon as that is recorded.
  void SpreadJob(Job* job);
  /// The candidates on which the job's tasks may be placed. `by_group` holds
  /// all of them under 0.
  static const std::vector<CandidateWorker*>& CandidatesFor(
      const Job& job,
      const std::map<WorkerGroup, std::vector<CandidateWorker*>>& by_group);
  std::map<WorkerGroup, std::vector<CandidateWorker*>> CandidatesByGroup();

  // cell_takeover.cpp: runs that earlier leaders may have left active.
  /// Releases tasks, and ends the takeover once no worker is unaccounted.
  void CheckTakeover();
  /// Allows the start of tasks that can neither be active on an unaccounted
  /// worker nor have ended there unreported.
  void ReleaseTasks();
  /// Whether the task may be active on one of these workers, or may have ended
  /// there unreported.
  bool MayRunOn(const Task& task, const UnaccountedWorkers& unaccounted) const;
  /// Whether the task may be active on an unaccounted worker, or may have ended
  /// there unreported. As of the last `ReleaseTasks`; ignores recorded
  /// placements of long-running tasks.
  bool MayRunOnUnaccountedWorker(const Task& task) const;
  /// Requests a proof of the lead if a wait for an uncontacted worker would be
  /// over, had the lead been proved by now.
  void RequestProofIfWaitServed();
  /// Logs what the held tasks wait for, and updates
  /// `CellCounters::held_tasks`, at most once a second.
  void LogWait();

  // cell_run_ends.cpp: processing the ends of runs.
  /// Applies the end of a run to its task and its job. `active_run`: see
  /// `JobTable::ApplyRunEnd`.
  void ApplyRunEnd(Task* task,
                   const WorkerSession& session,
                   uint32_t run,
                   RunEnd end,
                   const std::string& checkpoint,
                   uint32_t active_run);
  /// Counts the end of a run that this leader did not know or had considered
  /// lost.
  void CountLateEnd(RunEnd end);
  /// Logs what is known of a run whose end the worker did not report, and
  /// counts it if the worker was leaving.
  void NoteLostRun(const WorkerSession& session, const Run& run);
  void RecordRunTime(Task* task, const Run& run, const std::string& worker);
  /// Expected run time of a task, for each step of the job.
  std::vector<Millis> ExpectedRunTimes(const Job& job, int repetition) const;
  // cell_queues.cpp: policies of queues, also of dropped ones.
  /// The policy of the job's queue; null if neither a table that this process
  /// has seen nor the record of a job has the queue. Nothing of the job is
  /// started then.
  const Queue* QueueOf(const Job& job) const;
  /// Without a limit if the queue is not known, so that no job fails for good
  /// because of that.
  int MaxAttempts(const Job& job) const;
  /// Adds the policies in the records of open jobs, and logs how many jobs have
  /// none.
  void AddRecordedPolicies();
  /// For a successor: records the last policies of queues that the table in
  /// force does not have, where they differ from those in the jobs' records.
  void RecordDroppedPolicies();
  /// Fails the open jobs of queues that have become known whose tasks have used
  /// up their attempts meanwhile.
  void FailJobsWithoutAttemptsLeft(const std::vector<std::string>& queues);

  // cell_job_memory.cpp: limits on what is held of jobs.
  /// Drops repetitions that are done, and holds those that are due. Pointers to
  /// tasks may become invalid.
  void UpdateRepetitions();
  /// Holds the repetitions of an accepted job that are due.
  void HoldNewJob(Job* job);
  /// Whether one more job may be held (see `JobMemoryLimits`). Logs a refusal
  /// once a second at most.
  bool HasMemoryFor(const JobPlan& plan);
  void FailJobWithTooLargeState(Job* job, size_t bytes);

  // cell_run_ends.cpp
  void OnJobEnded(Job* job);
  void StopRunsOfJob(const Job& job);
  void StopRunsOfTask(const std::string& task);
  /// Stops the remaining runs of a task that is done; for a gang, of all its
  /// done tasks.
  void StopRunsOfCompletedTask(const Task& task);
  /// Lowest run number of the task's runs that workers' sessions know; empty:
  /// none knows one.
  std::optional<uint32_t> NumberOfPlacedRun(const std::string& task) const;
  /// Passes the job to the journal if `Job::dirty` is set.
  void JournalIfDirty(Job* job, bool urgent);

  // cell_crashes.cpp: worker crashes, and the crash notes of tasks.
  static std::string MachineOf(const WorkerIncarnation& incarnation);
  /// Evidence that the worker crashed or disappeared. Empty: there is none, or
  /// its machine may be down for upkeep.
  std::optional<CrashEvidence> DetectCrash(const WorkerSession& session) const;
  /// Runs of open jobs that may have begun on the worker: those that it has
  /// confirmed and, if the session is dead, also those whose start order was
  /// sent.
  std::vector<const Run*> RunsAtCrash(const WorkerSession& session);
  /// Crash notes for the tasks whose runs on the worker are suspects or
  /// bystanders of the crash or possible crash (see `CrashRole`).
  std::vector<TaskCrashNote> AttributeCrash(const WorkerSession& session,
                                            CrashEvidence evidence);
  /// Removes the unconfirmed crash notes of the runs on the worker.
  void RemoveUnconfirmedCrashes(const WorkerSession& session);
  /// Confirms or adds crash notes for workers whose incarnation is newly proven
  /// to have ended.
  void HandleDeadWorkers();
  /// Confirms the unconfirmed crash notes that name the worker.
  void ConfirmCrashes(const std::string& worker);
  /// Called for a worker that is proven to have ended (`IsUncontacted` is then
  /// false). Does nothing unless the worker is from the takeover and never
  /// answered this leader. Notes a crash for each task that may have run there
  /// and has no note of that worker yet. Notes none if there are more such
  /// tasks than workers in the cell.
  void NoteCrashBeforeContact(const std::string& worker,
                              const CellWorker& cell_worker);
  /// Tasks that are not released yet (see `ReleaseTasks`) and may have run on
  /// the worker, which ended without having answered this leader. Such a worker
  /// is no longer unaccounted (see `UnaccountedWorkers`).
  std::vector<Task*> FindTasksOnWorkerEndedBeforeContact(
      const std::string& worker,
      const CellWorker& cell_worker);
  /// Passes the crash to the mass crash detector. Returns whether the crash
  /// belongs to a mass crash; if so, marks the notes of that mass crash's
  /// earlier crashes.
  bool RecordForMassCrashDetection(const std::vector<TaskCrashNote>& notes);
  /// Marks the crash notes of this run of the task as belonging to a mass
  /// crash. If the task is then no likely culprit, its start no longer has to
  /// wait for a restart delay or for the record of its notes.
  void MarkCrashNotesAsMassCrash(const std::string& task, uint32_t run);
  void LogCrash(const WorkerSession& session,
                const std::vector<TaskCrashNote>& notes,
                bool mass_crash) const;
  void NoteCrash(Task* task, const CrashNote& crash);
  void FailJobOfCrashingTask(Task* task);
  /// Random number from 0 to below 1.
  double Jitter();
  // cell_suspects.cpp: trial runs of tasks that may crash their workers.
  static bool IsSuspect(const Task& task);
  /// Whether the worker has runs that have been observed running for less than
  /// `CrashOptions::unsuspected_after`.
  bool HasNewRuns(const WorkerSession& session) const;
  static int CrashCost(const WorkerSession& session);
  int CountListedWorkersOfService(std::string_view service) const;
  int ChooseTrialWorker(const Task& task,
                        const TaskRequirements& need,
                        const StepCandidates& places,
                        const std::vector<CandidateWorker*>& candidates) const;
  /// Whether a task restored at the takeover is a suspect that is not done and
  /// whose last crash note is not an unconfirmed one. An earlier leader may
  /// have started such a task after that leader recorded the last crash.
  static bool MayHaveUnconfirmedCrash(const Task& task);
  /// Notes an unconfirmed crash if an earlier leader may have started the task
  /// after the last crash that it recorded. Returns false if there is none to
  /// note.
  bool NoteUnconfirmedCrash(Task* task);
  /// Records that the task's next trial run is on this worker, if the task has
  /// at least two crash notes. Returns false if the start has to wait for the
  /// record.
  bool RecordTrial(Task* task, const WorkerIncarnation& incarnation);
  /// Returns the index of the worker where the suspect may be started now;
  /// empty: the suspect has to wait. `candidates` are the workers that `places`
  /// evaluates. In this order:
  /// - If there is an unconfirmed crash to note (see `NoteUnconfirmedCrash`),
  ///   notes the crash and returns empty, because the note has to be recorded.
  /// - If the suspect has no reserved worker, reserves one, closes that worker
  ///   to new runs of other tasks and schedules a poll of the worker. Returns
  ///   empty if there is no free trial slot or no suitable worker.
  /// - Ends the reservation and returns empty if the reserved worker may no
  ///   longer get work.
  /// - Returns empty if the task does not fit on the reserved worker now, the
  ///   worker has new runs (see `HasNewRuns`), or `RecordTrial` returns false.
  std::optional<int> ReserveTrialPlace(
      const ReadyStep& ready,
      Task* task,
      const TaskRequirements& need,
      const std::vector<CandidateWorker*>& candidates,
      StepCandidates* places);
  /// Prepares the trial run of a gang that has a suspect task. First notes an
  /// unconfirmed crash of one of the gang's tasks, if there is one to note (see
  /// `NoteUnconfirmedCrash`). Then closes the candidates with new runs to the
  /// gang. Returns false, and closes none, if a crash was noted and has to be
  /// recorded first, or if there is no free trial slot.
  bool PrepareGangTrial(std::vector<Task>* gang,
                        std::vector<CandidateWorker>* candidates);
  void BeginTrial(const Task& task,
                  const std::shared_ptr<WorkerSession>& session);
  /// Schedules a poll of the worker for shortly after `active_for` from now,
  /// when its current runs should have been active for at least that long.
  void ScheduleTrialPoll(const std::shared_ptr<WorkerSession>& session,
                         Millis active_for);
  /// Ends reservations whose trial did not start within
  /// `CrashOptions::reservation_timeout`, and reservations and trials whose
  /// task is done, job has ended, or worker or run is gone. Marks a trial as
  /// passed once its task (a suspect, or another task of a suspect's gang) was
  /// observed running for `CrashTrials::Trial::duration`. Clears the task's
  /// crash notes and ends the trial once the task was observed running for
  /// `CrashOptions::unrelated_after`.
  void UpdateTrials();
  void ClearCrashes(Task* task);
  void OnCrashesRecorded(Job* job);

  // cell_placement_records.cpp: recorded placements of long-running tasks.
  /// Requests a record that the long-running task may run on the worker.
  /// Returns false if the start has to be deferred until the record is stored
  /// or all other instances agree to unrecorded starts.
  bool RequestPlacementRecord(Task* task, const std::string& worker);
  /// Requests a record that the long-running task, whose run is already active
  /// on the worker, may run there.
  void RecordAdoptedPlacement(Task* task, const std::string& worker);
  /// Whether long-running tasks may be started before their placement is
  /// recorded: this instance cannot reach the store, and all others agreed (see
  /// `LiveDirectory::UnrecordedStartsAgreedUntil`).
  bool MayStartUnrecorded() const;
  /// Sends the deferred starts whose placement is recorded or need not be, and
  /// drops those that may no longer be ordered or whose task or worker is gone.
  void SendDeferredStarts();
  /// Whether a deferred start may be ordered on the worker now: see
  /// `MayOrderStarts` and `MayReceiveStarts`.
  bool MaySendDeferredStart(const CellWorker& cell_worker) const;
  /// Whether, as far as this leader can know, the store has the placement of
  /// every long-running task.
  bool ArePlacementsRecorded() const;
  /// Requests a record of a higher `placements_valid_to_` if the lead is
  /// confirmed, all placements are recorded and an instance registered at a
  /// later revision than the current `placements_valid_to_`. That instance may
  /// then rely on the recorded placements as well.
  void PublishRecordedPlacements();

  // cell_reliability.cpp: workers that fail or slow their runs.
  /// Decides which workers are set aside, logs the changes and requests a
  /// record of them for a successor.
  void UpdateReliability();
  /// Takes over what an earlier leader recorded of workers that were set aside.
  void RestoreReliability(const std::vector<KnownWorker>& known);
  // cell_backup_runs.cpp: backup copies of slow runs.
  /// A run, and the session that has it.
  struct PlacedRun {
    std::shared_ptr<WorkerSession> session;
    const Run* run = nullptr;
  };
  /// A run that is to get a backup copy.
  struct SlowRun {
    Task* task = nullptr;
    std::shared_ptr<WorkerSession> session;
    uint32_t number = 0;
    BackupCandidate candidate;
    BackupDecision decision;
  };
  /// Whether this leader starts copies, and treats tasks of steps that allow
  /// copies as having up to two runs.
  bool AreCopiesEnabled() const {
    return options_.policy.backups.free_share > 0;
  }
  /// Starts backup copies of slow runs, those with the largest gain first.
  void StartCopies();
  /// Runs of steps that allow copies, by step. Adds the copies at work to the
  /// rooms of their services.
  std::map<std::string, std::vector<PlacedRun>> CollectRunsWithCopies(
      std::map<std::string, BackupRoom>* rooms) const;
  /// `runs` are of one step. Polls workers whose reports of a run's progress
  /// are too old for a decision, `*progress_polls` at most.
  void FindSlowRuns(const std::vector<PlacedRun>& runs,
                    int* progress_polls,
                    std::vector<SlowRun>* slow);
  bool MayGetCopy(const Task& task) const;
  JobOutlook OutlookOf(const Job& job,
                       const Queue& queue,
                       int repetition,
                       int step) const;
  /// For a task that runs in `session`; `runs` are those of the task's step.
  RunTimeEstimate EstimateRunTime(const Task& task,
                                  const WorkerSession& session,
                                  const std::vector<PlacedRun>& runs) const;
  /// Returns null if no worker can take the copy.
  CandidateWorker* ChoosePlaceOfCopy(
      const SlowRun& slow,
      const std::vector<SlowRun>& all_slow,
      const std::vector<CandidateWorker*>& candidates);
  void StartCopy(const SlowRun& slow,
                 const std::vector<SlowRun>& all_slow,
                 const std::vector<CandidateWorker*>& candidates,
                 BackupRoom* room);
  Run* FindPlacedRun(const std::string& task, uint32_t number) const;
  /// The checkpoint of an ended run, unless the other run `remaining` of its
  /// task has made at least as much progress, or an earlier ended one had made
  /// more; then empty.
  std::string CheckpointToKeep(Task* task,
                               const Run& run,
                               uint32_t remaining) const;
  /// `run` has ended while the run `remaining` of the task was active. Stops
  /// that run if the task is done.
  void OnOneOfTwoRunsEnded(Task* task,
                           const Run& run,
                           RunEnd end,
                           uint32_t remaining);
  /// Whether an unknown run of a task that is placed is adopted beside the
  /// placed one, as an earlier leader may have started one as the other's copy.
  bool MayAdoptSecondRun(const Task& task, const ActiveRun& active_run) const;
  void NoteSecondAdoptedRun(Task* task, uint32_t run);

  // cell_overdue.cpp: runs that take far longer than expected.
  void LogOverdueRuns();
  /// Writes at most `*lines` log lines and subtracts their number.
  void LogOverdueRunsOf(WorkerSession& session, int* lines);
  /// Whether the run is not long-running, is overdue (see `kOverdueFactor`),
  /// and was not logged as overdue within `kLogInterval`. Sets `*expected` to
  /// the run's expected run time if it returns true.
  bool ShouldLogAsOverdue(const Run& run, Millis* expected) const;

  // cell_scheduling.cpp: starting tasks; cell_places.cpp: free capacity of
  // workers and evaluation of placements.
  void RequestSchedulingPass();
  void RunSchedulingPass();
  /// Whether an order that is given now would wait too long for the network
  /// link of this machine.
  bool IsLinkFull() const;
  std::vector<ReadyStep> CollectReadySteps();
  /// Sets the rank of each step whose queue is known, and sorts the steps.
  void SortReadySteps(std::vector<ReadyStep>* ready) const;
  /// Sets `Task::ready_since` for those tasks of the steps that have none yet.
  void RecordReadySince(const std::vector<ReadyStep>& ready);
  /// Updates the candidates of all workers (free capacity, and whether the
  /// worker accepts new work) and returns them.
  std::vector<CandidateWorker*> CollectCandidates();
  /// Whether a task that was placed on the worker may be started there.
  /// `MayOrderStarts` is checked separately.
  bool MayReceiveStarts(const CellWorker& cell_worker) const;
  /// Whether the worker may get new work. Ignores reservations for trial runs.
  bool MayReceiveNewWork(const std::string& id,
                         const CellWorker& cell_worker) const;
  void RefreshCandidate(const std::string& id, CellWorker* cell_worker);
  bool IsReady(const Task& task) const;
  /// Whether the task would have used up its attempts if every run that may
  /// have failed without a report (see `Task::CountRunsWithoutReportedEnd`) had
  /// failed. False if there is no such run or the task is long-running.
  bool MayHaveUsedUpAttempts(const Task& task) const;
  void PlaceStep(const ReadyStep& ready,
                 const std::vector<CandidateWorker*>& candidates);
  void PlaceGang(const ReadyStep& ready,
                 const std::vector<CandidateWorker*>& candidates);
  /// Evaluates a worker for a step, with `planned` tasks of the step assigned
  /// to it but not ordered yet.
  void EvaluatePlace(const ReadyStep& ready,
                     const TaskRequirements& need,
                     const CandidateWorker& candidate,
                     size_t place,
                     int planned,
                     StepCandidates* places) const;
  /// Evaluates workers that have changed after the scheduling pass `pass`, from
  /// the one with the index `visited` on until `enough` of them are suitable.
  void EvaluatePlaces(const ReadyStep& ready,
                      const TaskRequirements& need,
                      const std::vector<CandidateWorker*>& candidates,
                      uint64_t pass,
                      size_t enough,
                      size_t* visited,
                      StepCandidates* places) const;
  /// Evaluates all workers that have changed after the scheduling pass `pass`.
  void EvaluateChangedPlaces(const ReadyStep& ready,
                             const TaskRequirements& need,
                             const std::vector<CandidateWorker*>& candidates,
                             uint64_t pass,
                             StepCandidates* places) const;
  /// Counts a step that found no placement, and updates when its next log line
  /// is due. Returns whether to log it now.
  bool NoteWaitingStep(const ReadyStep& ready);
  void LogWaitingStep(const Task& task,
                      const StepRank& rank,
                      const ProblemCounts& problems);
  void StartTask(Task* task,
                 uint32_t number,
                 CandidateWorker* candidate,
                 const std::string& ticket);
  // cell_tickets.cpp: tickets for steps of queues with an adviser.
  /// Requests tickets for one of the steps, which are in order of urgency, if
  /// the adviser is idle.
  void RequestTickets(
      const std::vector<ReadyStep>& ready,
      const std::map<WorkerGroup, std::vector<CandidateWorker*>>& by_group);
  TicketDemand TicketDemandOf(const ReadyStep& ready,
                              const std::vector<CandidateWorker*>& candidates);
  void ForgetTicketsOfDoneStep(const Task& task);
  /// Whether the step needs tickets and has none. Counts and logs it as
  /// waiting.
  bool AwaitsTickets(const ReadyStep& ready,
                     const std::vector<CandidateWorker*>& candidates);
  // cell_racks.cpp: racks of steps whose tasks are slow on several racks.
  static StepState& StateOf(const ReadyStep& ready);
  /// The step as placed on the candidates, for the decisions in step_room.h and
  /// rack_choice.h.
  StepPlacement PlacementOf(const ReadyStep& ready,
                            const std::vector<CandidateWorker*>& candidates);
  /// `tasks`: number of tasks to be placed.
  RackSearch SearchRacks(const ReadyStep& ready,
                         const std::vector<CandidateWorker*>& candidates,
                         int tasks);
  void LogSpreadStep(const Task& task, const RackSearch& racks) const;
  // cell_pacing.cpp: throttling and moving of best-effort runs.
  /// After a report of the worker: updates the interference model, sets the
  /// paces of best-effort runs, and calls `MoveStuckBestEffortRuns`.
  void UpdatePaces(WorkerSession& session);
  /// Stops best-effort runs whose wanted pace is at most `kStuckPace` and that
  /// have been throttled for longer than `kStuckDuration`, so that their tasks
  /// continue on other workers. Stops only runs with checkpoints, and no
  /// long-running ones.
  void MoveStuckBestEffortRuns(WorkerSession& session);
  /// Utilization of each serving task on the worker. Includes the interference
  /// expected from best-effort work that the newest report does not cover (see
  /// `PendingCores`).
  std::vector<ServingUtilization> CollectUtilizations(
      const WorkerSession& session) const;
  // cell_evacuation.cpp: moving work off workers that leave or are evacuated.
  void EvacuateDrainingWorkers();
  void EvacuateUnlistedWorkers();
  /// Moves long-running tasks off a worker that announced that it will leave,
  /// and tasks with checkpoints that would not finish there. Moves all others
  /// once `MustBeEmptied` holds.
  void EvacuateDraining(const std::string& id, const CellWorker& cell_worker);
  /// Whether a run that goes on there could end so late that the worker leaves
  /// before it has reported the end to a leader.
  bool MustBeEmptied(const CellWorker& cell_worker) const;
  /// Moves all tasks off a worker that has had no directory entry for
  /// `CellOptions::unlisted_grace` but responds.
  void EvacuateUnlisted(const std::string& id, const CellWorker& cell_worker);
  void StopRunsToMove(const std::string& id,
                      const std::shared_ptr<WorkerSession>& session,
                      const std::vector<std::string>& tasks,
                      std::string_view cause);
  /// Whether the step's `max_unavailable` allows the task to be stopped now.
  bool MayStopForUpkeep(const Task& task) const;

  Executor& executor_;
  RecordStore& store_;
  WorkerDirectory& directory_;
  RunWorkerClient& workers_;
  LiveDirectory& live_;
  EventLog& log_;
  const std::function<int64_t()> unix_millis_;
  const CellOptions options_;

  Stage stage_ = Stage::kStandby;
  /// Increases with each campaign, each read of the records, each begin and end
  /// of a term as leader, and a shutdown. The results of campaigns and reads of
  /// an earlier generation are dropped.
  uint64_t generation_ = 0;
  int64_t epoch_ = 0;
  /// The first `kMaxPredecessors` of `LiveDirectory::NewestKnownEpochs` when
  /// this instance last campaigned.
  std::vector<int64_t> predecessors_;
  /// Written with the lead key, to recognize a win whose answer was lost. Drawn
  /// once per `CellLeader`.
  const uint64_t nonce_;
  /// When this instance knew that its campaign was won.
  Instant won_at_{};
  /// When this leader finished reading the records of earlier leaders.
  Instant led_since_{};
  /// When the unaccounted workers were last logged.
  Instant wait_logged_{};
  /// When `RecordUnreachableWorkers` last checked whether to record workers.
  Instant unreachable_recorded_{};
  /// Earliest time of the next record that is due only to changed task lists,
  /// or to workers that were closed to new work or opened again.
  Instant next_tasks_record_{};
  Instant last_tick_{};
  /// Since when this instance may campaign for a vacant lead; zero: it may not,
  /// or the lead is not vacant.
  Instant vacant_since_{};
  Executor::TimerId campaign_timer_ = 0;
  LeadVacancy vacancy_;
  Executor::TimerId vacancy_timer_ = 0;
  bool calling_leader_ = false;
  /// The removal of another process's lead key is under way.
  bool removing_lead_ = false;
  /// Since when no lead key is known; zero: one is known.
  Instant without_leader_since_{};
  bool reading_workers_ = false;
  /// When the list of workers was last read in this term as leader, and when
  /// that read began; zero: not yet.
  Instant workers_read_{};
  Instant workers_read_began_{};
  /// Reads of the list of workers that failed since the last one that did not,
  /// and the error of the newest of them.
  uint64_t workers_reads_failed_ = 0;
  std::error_code workers_read_error_;
  bool reading_closed_ = false;
  /// When the closed data centres were last read in this term as leader; zero:
  /// not yet, and nothing is started.
  Instant closed_read_{};
  std::set<std::string> closed_data_centres_;
  std::optional<EarlyRead<std::vector<WorkerIncarnation>>> early_workers_;
  std::optional<EarlyRead<std::set<std::string>>> early_closed_;
  /// Reported to other instances; updated periodically.
  CellSummary summary_;
  Instant summarized_{};
  /// Size of the starts that are waiting, by the priority of their queue: as of
  /// the last summary, and of the jobs accepted since. Empty if the link is not
  /// limited.
  std::map<int, size_t> waiting_start_bytes_;
  /// When old jobs were last searched for and removed.
  Instant old_jobs_removed_{};
  /// When overdue runs were last searched for.
  Instant overdue_searched_{};
  Executor::TimerId tick_timer_ = 0;
  /// A scheduling pass is scheduled.
  bool pass_scheduled_ = false;
  /// Earliest time of the next scheduling pass: passes may use only part of the
  /// processor.
  Instant next_pass_{};
  /// The callback of a planned shutdown, set while the removal of the lead key
  /// is under way. Runs once the removal was answered or has failed.
  std::function<void()> on_shut_down_;
  /// Since when a planned shutdown is under way; zero: it is not.
  Instant shutdown_since_{};
  /// Since when a planned shutdown extends no leases, because the store has
  /// answered since it began; zero: there is none, or the store is away.
  Instant releasing_since_{};
  /// When the store last confirmed the lead key, by the arrival of its answer.
  Instant store_answered_at_{};
  /// Since when a planned shutdown orders no starts and no lease extensions any
  /// more; zero: it still does, or there is none.
  Instant orders_ended_{};
  OrderLimits order_limits_;
  /// See `JournalOwner::BoundedLeasesEpoch`.
  bool leases_bounded_ = false;
  /// When this instance last stated that it cannot reach the store, or led by
  /// such statements of others: leases may count from then. Zero: never.
  Instant stated_store_unreachable_at_{};

  std::shared_ptr<const QueueTable> table_;
  KnownQueues known_queues_;
  JobTable jobs_;
  CellJournal journal_;
  EndedJobs ended_jobs_;
  /// Jobs in `jobs_` whose outcome is recorded and that are not passed to the
  /// journal to be archived yet.
  std::vector<std::string> to_archive_;
  LeadProof proof_;
  TakeoverAccount takeover_;
  WorkerQuarantine quarantine_;
  WorkerReliability reliability_;
  /// Which workers are set aside has changed since they were last recorded.
  bool reliability_unrecorded_ = false;
  /// Whether the recorded placements of long-running tasks were known to be
  /// complete when this instance took the lead.
  bool placements_valid_at_takeover_ = false;
  /// An instance may treat the recorded placements as complete if its
  /// `LiveDirectory::no_agreement_since` is not 0 and is at most this revision.
  int64_t placements_valid_to_ = 0;
  /// Long-running tasks that may run on a worker that the store may not have as
  /// their assigned worker.
  std::set<std::string> unrecorded_placements_;
  /// Long-running tasks whose start is deferred until their placement is
  /// recorded or need not be (see `MayStartUnrecorded`).
  std::set<std::string> starts_awaiting_record_;
  CrashTrials trials_;
  MassCrashDetector mass_crash_detector_;
  InterferenceModel interference_;
  RunTimeModel run_times_;
  FailedPlacements failed_placements_;
  /// By service.
  std::map<std::string, LongRunningAdmission> long_running_admission_;
  /// Number of scheduling passes so far in which a step was ready, and of
  /// searches for places of backup copies.
  uint64_t pass_ = 0;
  /// Steps of this pass that found no placement; more urgent steps are counted
  /// first.
  int waiting_steps_ = 0;
  /// Services in which a step found no placement in the newest pass, apart from
  /// best-effort steps, whose room copies do not use.
  std::set<std::string> services_with_waiting_steps_;
  /// When slow runs were last searched for.
  Instant copies_searched_{};
  /// When a step that found no placement was last logged.
  Instant waiting_logged_{};
  TicketBook tickets_;
  TicketTurns ticket_turns_;
  UpkeepWaveController upkeep_waves_;
  std::map<std::string, CellWorker> cell_workers_;
  WorkerGroups groups_;
  /// Number of entries in the list of workers that was read last.
  size_t listed_workers_ = 0;
  /// The newest chain key at the takeover said that groups are kept.
  bool groups_kept_at_takeover_ = false;
  /// Jobs of earlier leaders whose runs may be outside of their groups, and
  /// that the store does not have as open to all workers yet.
  std::set<std::string> jobs_to_spread_;
  WorkerContacts contacts_{executor_, options_.contacts};
  bool workers_record_requested_ = false;
  /// Number of sessions opened so far; see `CellWorker::session_number`.
  uint64_t session_count_ = 0;
  FormerWorkers former_workers_;
  RejectedEntryLog rejected_entries_{log_, "cell"};
  CancelWaiters cancel_waiters_;
  LineLimiter withdrawal_lines_;
  /// `RequestProofIfWaitServed` has requested a proof.
  bool takeover_awaits_proof_ = false;
  /// As of the last `ReleaseTasks` in this takeover; empty before the first.
  std::optional<UnaccountedWorkers> unaccounted_;
  /// Due repetitions of jobs are not held because of
  /// `JobMemoryLimits::bytes`.
  bool repetitions_wait_ = false;
  /// Estimated memory of all jobs, in bytes: as of the last tick, and of the
  /// jobs accepted since.
  size_t job_memory_ = 0;
  Instant memory_refusal_logged_{};
  CellCounters counters_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_LEADER_H_
