// SPDX-License-Identifier: Apache-2.0

/// \file
/// Records of one cell in the store: group commits, conditional on this process
/// still leading, and chained so that a late write can never undo a newer one.
///
/// Batches are sent on lanes, each with a chain key of its own. A batch expects
/// the lead key and its lane's chain key at the revisions last seen, and writes
/// the chain key with the next sequence number. A batch without an answer is
/// sent again unchanged. If a later attempt takes effect, the earlier ones
/// never will. If a later attempt fails because the chain key already has the
/// batch's sequence number, an earlier attempt took effect.
///
/// Until a batch's outcome is known, no other lane writes or removes the states
/// and the workers' key that the batch carries. A job that was submitted twice
/// may be in batches on two lanes, but only one of them can take effect. A
/// store that answers in milliseconds gets one batch at a time. A store that
/// answers slowly, or loses single answers, gets several (commit_flow.h).

#ifndef DOORWOOD_CELL_JOURNAL_H_
#define DOORWOOD_CELL_JOURNAL_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/commit_flow.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/job_plan.h"
#include "doorwood/job_table.h"
#include "doorwood/live_directory.h"
#include "doorwood/record_store.h"
#include "doorwood/worker_groups.h"
#include "doorwood/worker_reliability.h"

namespace doorwood {

/// "doorwood/cell/CELL/"
std::string CellPrefix(std::string_view cell);
/// The chain key of a lane.
std::string ChainKey(std::string_view cell, size_t lane);
/// The lane that the chain key belongs to; empty: `key` is not a chain key.
std::optional<size_t> LaneOfChainKey(std::string_view cell,
                                     std::string_view key);
std::string WorkersKey(std::string_view cell);
std::string PlanKey(std::string_view cell, std::string_view job);
std::string StateKey(std::string_view cell, std::string_view job);
/// Key that stores which cell has a job, or that the job is withdrawn.
std::string JobIdKey(std::string_view job);
/// The value of a `JobIdKey` that says that the job is withdrawn and that the
/// cell has the record of it.
std::string WithdrawnValue(std::string_view cell);
/// Whether a `JobIdKey` with this value says that the job is withdrawn.
bool IsWithdrawnValue(std::string_view value);

/// A worker that a cell's leader may have sent orders to.
struct KnownWorker {
  std::string id;
  std::string address;
  /// `WorkerSession::started_at`; 0: not known, also in records of older
  /// versions. Nothing is started on an incarnation until its start time is
  /// recorded, unless the recorded one is 0.
  int64_t started_at = 0;
  /// Time that a successor deducts from its wait for the worker's runs, because
  /// no leader extended a lease there; zero: nothing to deduct.
  /// - If the recording leader has not yet contacted the worker
  ///   (`TakeoverAccount::IsUncontacted`): the time that this leader could
  ///   deduct itself, plus the time that it has led.
  /// - If the worker is unreachable (`WorkerSession::is_unreachable`): the time
  ///   since the `LeaseBasis` of this leader's last order that may have
  ///   extended a lease there. Leaders of earlier versions added
  ///   `CellOptions::order_grace`.
  Millis deductible_wait{0};
  /// All tasks that may run there or whose end there is not recorded. No
  /// leader, except of an older version (see `KeepsToTaskLists`), starts any
  /// task there until a newer record has no such list. Empty optional: any task
  /// may run there.
  std::optional<std::vector<std::string>> tasks;
  /// Set if the worker is set aside: see `WorkerReliability`.
  std::optional<RunEvidence> evidence;
  /// Nothing is started on the worker before its group is recorded.
  WorkerGroup group = 0;
  /// Orders for an earlier life under this id may have granted leases there
  /// that are longer than those of a leader; see `EarlierLifeFence`. Nothing is
  /// started on such an incarnation until this is recorded. Earlier versions
  /// neither write nor read it.
  bool unsettled = false;
};

/// An incarnation of a worker: the session that the leader has had with it. A
/// worker that starts again under its id gets another session.
struct WorkerSessionKey {
  std::string worker;
  uint64_t session = 0;

  auto operator<=>(const WorkerSessionKey&) const = default;
};

/// Numbers of ended runs (see `EndedRun::number`), by incarnation.
using EndNumbers = std::map<WorkerSessionKey, uint64_t>;

/// Revision of a lane's chain key, and sequence number of one of its batches.
struct ChainLink {
  int64_t revision = 0;
  uint64_t sequence = 0;
};

/// Written by a leader that stops as planned: once the store has this, it
/// orders nothing more.
struct TermEnd {
  int64_t epoch = 0;
  /// Time for which this leader had extended no lease when it wrote this. Start
  /// orders since then carried no later lease end than one sent before.
  Millis since_lease_extension{0};
};

/// What a chain key says besides what `KeepsToTaskLists` reads.
struct ChainValue {
  /// Number of the lane's newest batch.
  uint64_t sequence = 0;
  /// JournalOwner::PlacementsValidTo.
  int64_t placements_valid_to = 0;
  std::optional<TermEnd> term_end;
  /// What `KeepsToGroups` reads.
  bool keeps_to_groups = true;
  /// JournalOwner::BoundedLeasesEpoch.
  int64_t bounded_leases_epoch = 0;
};

std::string EncodeChainValue(const ChainValue& value);
/// The sequence number in a chain key's value; 0 if there is no valid one.
uint64_t DecodeSequence(std::string_view text);
/// Whether the leader that wrote this chain key starts nothing on a worker
/// whose record has a `KnownWorker::tasks` list. False for older versions of
/// this program, which do not know these lists.
bool KeepsToTaskLists(std::string_view text);
/// Whether every run of a job that is confined to a group of workers
/// (`JobPlan::worker_group`) is in that group. False for older versions of this
/// program, which do not know groups.
bool KeepsToGroups(std::string_view text);
/// JournalOwner::PlacementsValidTo of the writer of this chain key; 0 if the
/// text has no valid one.
int64_t DecodePlacementsValidTo(std::string_view text);
/// JournalOwner::BoundedLeasesEpoch of the writer of this chain key; 0 if the
/// text has no valid one.
int64_t DecodeBoundedLeasesEpoch(std::string_view text);
/// The TermEnd in a chain key's value; empty if there is no valid one.
std::optional<TermEnd> DecodeTermEnd(std::string_view text);

/// The value of the workers' key. It is separate from the chain because it is
/// long and changes seldom.
std::string EncodeWorkers(const std::vector<KnownWorker>& workers);
std::vector<KnownWorker> DecodeWorkers(std::string_view text);
/// Drops the task lists that are longest in bytes, so that all lists have
/// `max_list_bytes` at most, and the encoded workers `max_bytes`, if that is
/// possible: a successor then assumes that any task may run on those workers.
void LimitTaskLists(size_t max_list_bytes,
                    size_t max_bytes,
                    std::vector<KnownWorker>* workers);
struct JournalOptions {
  /// Time after which a change that is not urgent causes a batch to be sent. A
  /// batch that is sent earlier for another reason may carry the change.
  Millis delay{80};
  /// Time after which ended jobs that wait to be archived cause a batch to be
  /// sent. Any batch with free entries may carry them earlier.
  Millis archive_delay{1000};
  /// Ended jobs are archived only while the store is expected to answer within
  /// this time.
  Millis max_archive_answer_time{100};
  Millis retry_pause{120};
  /// Time after which a caller that submits or cancels a job is answered with
  /// an error if the job or its end is not known to be recorded. Checked when
  /// `AnswerExpiredAccepts` or `CellLeader::ExpireCancels` runs next, so the
  /// answer may come later.
  Millis caller_timeout{2000};
  CommitFlowOptions flow;
};

/// The cell whose records the journal writes.
class JournalOwner {
 public:
  virtual ~JournalOwner() = default;

  virtual std::string EncodeState(const std::string& job) = 0;
  /// Returns a store revision. An instance may rely on the recorded placements
  /// of long-running tasks if its `LiveDirectory::no_agreement_since` is at
  /// most this revision, and neither is 0.
  virtual int64_t PlacementsValidTo() = 0;
  /// Whether the store has every job that may have runs outside of its group as
  /// one that any worker may run.
  virtual bool AreGroupsKept() = 0;
  /// The leader's epoch if every lease that it or an earlier leader granted
  /// ends within a run lease after the store took the newest batch, as
  /// `LeaseBasis` requires; 0: an earlier version may have granted a longer
  /// one.
  virtual int64_t BoundedLeasesEpoch() = 0;
  /// Set once the leader orders nothing more and only waits for a batch that
  /// says so.
  virtual std::optional<TermEnd> PlannedTermEnd() = 0;
  /// For each worker with ends that are not recorded yet, the number of the
  /// newest end that the worker has listed. Every job that these ends changed
  /// has been passed to `CellJournal::MarkDirty`.
  virtual EndNumbers HighestUnrecordedEnds() = 0;

  virtual void OnAccepted(const JobPlan& plan) = 0;
  /// The state that `EncodeState` last returned for the job is stored. The job
  /// may have changed since.
  virtual void OnEncodedStateStored(const std::string& job) = 0;
  /// Called after `OnEncodedStateStored` if the job was not marked dirty since
  /// its state was encoded.
  virtual void OnNewestStateStored(const std::string& job) = 0;
  /// The job's record replaces its plan and state in the store. A state that
  /// was marked dirty since then is not written any more.
  virtual void OnArchived(const std::string& job) = 0;
  /// The store says that the job is withdrawn; see `CellJournal::Withdraw`.
  virtual void OnWithdrawn(const std::string& job) = 0;
  /// The job is not withdrawn, since it was accepted before, by this cell or by
  /// another one. Called after `OnAccepted` if this journal recorded the job.
  virtual void OnWithdrawalRefused(const std::string& job) = 0;
  virtual void OnEndsRecorded(const EndNumbers& ends) = 0;
  virtual void OnWorkersRecorded(const std::vector<KnownWorker>& workers) = 0;
  /// The attempt sent at `sent` committed a batch, so the lead key was then at
  /// the expected revision. Not called if an earlier, unanswered attempt had
  /// committed the batch, nor for reads of the key by `LeadProof`.
  virtual void OnLeadConfirmed(Instant sent) = 0;
  /// The lead key was changed or removed, or another process changed or removed
  /// a chain key. This process no longer leads, or must not assume that it
  /// does.
  virtual void OnLeadLost(std::string_view reason) = 0;
};

enum class AcceptOutcome { kAccepted, kAlreadyKnown };

class CellJournal {
 public:
  /// Errors: CoreErrc::kStoreUnavailable (certainly not accepted), kNoOwner
  /// (the journal is closed or sealed; this call stored nothing, but an earlier
  /// call for the same job may have) or kOutcomeUnknown.
  using AcceptCallback = std::function<void(std::error_code, AcceptOutcome)>;

  CellJournal(Executor& executor,
              RecordStore& store,
              EventLog& log,
              JournalOwner& owner,
              const JournalOptions& options,
              std::string cell);

  /// Starts with the revision of the lead key and the stored chain keys, by
  /// lane.
  void Open(int64_t lead_revision, const std::map<size_t, ChainLink>& chains);
  /// Answers all pending calls; sends nothing more until the next `Open`.
  void Close();
  /// Sends no batch until `Resume`. To be called after `Open`.
  void Hold() { is_held_ = true; }
  void Resume();
  bool is_held() const { return is_held_; }

  /// Records a new job, and runs `done` with the result. Refuses the job at
  /// once if the journal is closed. Unless the job is already being recorded,
  /// also refuses it at once if one of these holds:
  /// - the journal is sealed;
  /// - the store does not accept batches, or is unresponsive;
  /// - the store is expected to record the job too late
  ///   (`CommitFlowOptions::max_record_wait`).
  void Accept(JobPlan plan, AcceptCallback done);
  /// Withdraws a job that the cell does not have: records `record` and a value
  /// of the job's `JobIdKey`, on the condition that the job has none. Attempts
  /// to accept the job that are in flight, late or of other leaders depend on
  /// the same condition, so that they fail from then on. A submission of the
  /// job is accepted again if it was received after that, as its
  /// `JobPlan::known_revision` shows. `JournalOwner::OnWithdrawn` or
  /// `OnWithdrawalRefused` gives the result, unless the journal is closed
  /// before. Queued calls of `Accept` for the job are refused.
  ///
  /// Errors: CoreErrc::kNoOwner if the journal is closed or sealed,
  /// kStoreUnavailable if too many jobs wait to be withdrawn.
  std::error_code Withdraw(const std::string& job, std::string record);
  void MarkDirty(const std::string& job, bool urgent);
  /// Replaces the workers stored under the workers' key.
  void SetWorkers(std::vector<KnownWorker> workers);
  /// For a leader that shuts down: new jobs and urgent changes that are pending
  /// now are still sent, other changes only if they fit into the batches sent
  /// for these. If a batch fails, its changes are not urgent any more (see
  /// `Requeue`). Ends that are not recorded are not lost, since workers
  /// continue to list them.
  void Seal();
  /// After `Seal`: nothing that still has to be sent is waiting, and no batch
  /// is in flight.
  bool is_drained() const;
  /// Sends a batch as soon as one may be sent, even if there is nothing to
  /// record. Has no effect once the journal is sealed.
  void RequestCommit();
  /// Revision of the newest batch that was stored since `Open`, when the lead
  /// key stood; 0: there is none.
  int64_t newest_revision() const {
    return std::max(newest_with_term_end_, newest_without_term_end_);
  }
  /// The newest chain key of this journal has a TermEnd, and no batch in flight
  /// can replace it by one without.
  bool is_term_end_stored() const;
  /// Replaces the plan and the state of a job that has ended by `record`, with
  /// low priority: behind all other changes, and not while the store refuses
  /// batches or answers slowly. The outcome in the job's stored state is final.
  void Archive(const std::string& job, std::string record);
  /// Removes all keys of an archived job.
  void RemoveArchivedJob(const std::string& job);
  /// The newest chain key of this journal has a TermEnd, or may get one by a
  /// batch that was sent and whose outcome is not known. A successor may then
  /// rely on it.
  bool may_have_term_end() const;

  /// The new job is queued, or in a batch in flight and may already be stored.
  bool IsRecording(std::string_view job) const;
  /// Every change is in the store, except for ended jobs to be archived or
  /// removed that are not yet sent.
  bool idle() const;
  /// Number of batches sent, counting repeated attempts.
  uint64_t commits() const { return commits_; }
  /// Number of records waiting to be sent: new jobs and states.
  size_t waiting() const { return accepts_.size() + dirty_.size(); }
  const CommitFlow& flow() const { return flow_; }

 private:
  struct PendingAccept {
    JobPlan plan;
    AcceptCallback done;
    Instant deadline{};
    bool answered = false;
    /// Revision of the job's `JobIdKey`, which says that the job is withdrawn;
    /// 0: there is no such key.
    int64_t withdrawn_at = 0;
  };
  struct Withdrawal {
    std::string record;
    /// Revision of the job's `JobIdKey` if the job is withdrawn already, and is
    /// withdrawn again since a batch in flight depends on that revision.
    int64_t withdrawn_at = 0;
  };
  /// By job.
  using Withdrawals = std::map<std::string, Withdrawal>;
  struct Batch {
    /// Number of the call of `Build`, counted over all lanes.
    uint64_t number = 0;
    /// Set if the batch records the workers.
    std::optional<std::vector<KnownWorker>> workers;
    std::vector<PendingAccept> accepts;
    std::vector<std::string> states;
    /// Jobs with their records.
    std::map<std::string, std::string> archived;
    std::vector<std::string> removals;
    Withdrawals withdrawals;
    StoreTransaction transaction;
    Instant sent{};
    /// At least one attempt was not answered.
    bool unanswered = false;
    bool has_term_end = false;
  };
  struct Lane {
    /// Last known revision of the chain key, and sequence number of the lane's
    /// newest batch, which may not be stored yet.
    ChainLink chain;
    std::optional<Batch> batch;
    /// The next batch is sent even if it is empty: an attempt to send the
    /// previous one may still reach the store, and a newer batch prevents that
    /// attempt from taking effect.
    bool force_commit = false;
  };

  /// What `HighestUnrecordedEnds` returned at one time, and the jobs whose
  /// states have to be stored before these ends count as recorded: each with
  /// `Batch::number` of the first batch whose state of the job is new enough.
  struct EndsToRecord {
    EndNumbers ends;
    std::map<std::string, uint64_t> jobs;
  };

  void ScheduleSend(Millis delay);
  void Send();
  std::optional<size_t> FindLaneToSend() const;
  bool HasPendingWork() const;
  bool HasSealedUrgentJobs() const;
  /// Whether ended jobs may be archived now, and some wait for it.
  bool MayArchive() const;
  /// Builds the lane's next batch. Empty: there is nothing to send, or only
  /// changes that have to wait for batches in flight on other lanes.
  std::optional<Batch> Build(size_t lane);
  void CaptureEnds();
  void AddWorkers(Batch* batch);
  void AddUrgentStates(Batch* batch);
  void AddWithdrawals(Batch* batch);
  void AddAccepts(Batch* batch);
  void AddStates(Batch* batch);
  void AddState(const std::string& job, Batch* batch);
  void AddArchived(Batch* batch);
  void AddRemovals(Batch* batch);
  void UpdateRecordedEnds(const Batch& batch);
  /// The state of an archived job needs no record.
  void DropState(const std::string& job);
  void Submit(size_t lane);
  void OnAnswer(size_t lane, std::error_code error, const StoreCommit& commit);
  void ScheduleResend(size_t lane);
  void OnConflict(size_t lane, const StoreCommit& commit);
  void OnRejected(size_t lane);
  void OnCommitted(size_t lane, int64_t revision);
  /// Frees the lane and returns its batch, whose outcome must be known.
  Batch DetachBatch(size_t lane);
  /// Puts the contents of the batch back into the queues, except for new jobs
  /// whose callers have been answered. States that were urgent no longer are.
  void Requeue(Batch batch);
  /// Answers the calls in flight whose deadline has passed. Then rejects queued
  /// calls from the front, up to the first whose deadline has not passed; or
  /// all of them if the store is unresponsive or does not accept batches.
  void AnswerExpiredAccepts();
  /// Handles the conditions of the batch's withdrawals that did not hold, and
  /// puts the other withdrawals back into the queue.
  void ResolveWithdrawals(const StoreCommit& commit, Batch* batch);
  /// Handles a submission whose job has a `JobIdKey`. Returns true if the
  /// submission is to be sent again on another condition.
  bool ResolveAccept(const StoreItem& job_key, PendingAccept* accept);
  void OnAcceptCommitted(PendingAccept* accept);
  /// The job is to be withdrawn, and the result is not known.
  bool IsWithdrawing(const std::string& job) const;
  void RejectQueuedAccepts();
  void RejectAccept(PendingAccept* accept);
  /// A batch in flight carries the new job, so the job may still be accepted.
  bool IsInFlight(std::string_view job) const;
  static void CompleteAccept(PendingAccept* accept,
                             std::error_code error,
                             AcceptOutcome outcome);

  Executor& executor_;
  RecordStore& store_;
  EventLog& log_;
  JournalOwner& owner_;
  const JournalOptions options_;
  const std::string cell_;

  bool open_ = false;
  bool is_held_ = false;
  /// Increases with each `Open` and `Close`; answers to earlier batches are
  /// dropped.
  uint64_t generation_ = 0;
  int64_t lead_revision_ = 0;
  std::vector<Lane> lanes_;
  CommitFlow flow_;
  uint64_t batches_ = 0;
  std::vector<KnownWorker> workers_;
  bool workers_changed_ = false;
  /// A batch in flight carries the workers.
  bool workers_in_flight_ = false;
  /// The next batch is sent even if it is empty: to find out whether the store
  /// accepts batches again, or after `RequestCommit`.
  bool force_commit_ = false;
  /// Revisions of the newest batches that were stored since `Open` with a
  /// TermEnd and without one; 0: none.
  int64_t newest_with_term_end_ = 0;
  int64_t newest_without_term_end_ = 0;
  std::deque<PendingAccept> accepts_;
  /// Jobs whose state is to be recorded, and the order in which to add them to
  /// batches. The order may also list jobs that are no longer in `dirty_`.
  std::set<std::string> dirty_;
  std::deque<std::string> dirty_order_;
  /// Jobs in `dirty_` that are recorded without delay, for example because a
  /// caller waits.
  std::set<std::string> urgent_;
  /// Once sealed: the jobs that were urgent then. Those that are still
  /// in `urgent_` have to be recorded.
  std::optional<std::set<std::string>> sealed_urgent_;
  /// Jobs whose state is written, or which are archived or removed, by a batch
  /// in flight.
  std::set<std::string> in_flight_jobs_;
  std::map<std::string, std::string> to_archive_;
  std::set<std::string> to_remove_;
  Withdrawals to_withdraw_;
  /// Jobs that were to be withdrawn, but have been recorded by a batch in
  /// flight that has got no answer.
  std::set<std::string> recorded_unanswered_;
  std::optional<EndsToRecord> ends_;
  /// Set if the store refuses a batch. Also set if the store does not answer a
  /// batch, and has accepted no other batch since that batch was sent. Cleared
  /// when the store accepts a batch or reports a conflict.
  bool store_unavailable_ = false;
  Instant last_success_{};
  uint64_t commits_ = 0;
  Executor::TimerId timer_ = 0;
  Instant timer_at_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_CELL_JOURNAL_H_
