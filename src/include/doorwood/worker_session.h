// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader's session with one incarnation of a worker: which runs are active
/// there, which have ended, which orders are in flight, and when all leases
/// there have provably expired.

#ifndef DOORWOOD_WORKER_SESSION_H_
#define DOORWOOD_WORKER_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/earlier_life_fence.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/interference.h"
#include "doorwood/job_table.h"
#include "doorwood/run_worker.h"

namespace doorwood {

enum class RunPhase {
  /// The start order was sent and is not answered yet, or is still deferred.
  kStarting,
  /// One of these holds:
  /// - The start order got no answer. The worker may have carried it out, or
  ///   may still do so.
  /// - The worker refused the start order with `RunErrc::kStaleRun`. The run
  ///   may already have ended.
  kUnresolved,
  kRunning,
  /// `WorkerSession::Stop` was called; the worker has not listed the end yet.
  kStopping,
};

/// One run of a task on a worker, from the start order until it is certain that
/// the run has ended.
struct Run {
  std::string task;
  uint32_t number = 0;
  RunPhase phase = RunPhase::kStarting;
  /// The start order is withheld until `WorkerSession::SendDeferredStart`; the
  /// run's resources are already reserved.
  bool start_deferred = false;
  /// When the start order was sent; while it is deferred, when it was deferred.
  /// For an adopted run: when this leader adopted it.
  Instant ordered{};
  /// When the worker accepted the start order, or when a report listed the run
  /// while `phase` was kStarting or kUnresolved; the later of the two. For an
  /// adopted run: when it was adopted. Zero: none of these has happened.
  Instant confirmed{};
  /// The worker has confirmed the stop, or has refused the start with
  /// `RunErrc::kStaleRun`. Either way it refuses any later start of this run.
  bool stop_confirmed = false;
  /// When this was first known.
  Instant stop_confirmed_at{};
  bool stop_in_flight = false;
  Instant stop_sent{};
  /// The worker refused the start with `RunErrc::kStaleRun`. If the order was
  /// delivered twice, this run itself may already have ended there.
  bool refused_as_stale = false;

  /// `size` to `estimate` are copied from the step, since a run may outlive its
  /// job.
  Resources size;
  bool best_effort = false;
  bool long_running = false;
  /// Above zero: the run is one of a serving task.
  Millis latency_target{0};
  Millis estimate{0};
  /// Id of the task's image in the leader's interference model; set by the
  /// leader.
  ImageId image_id = 0;
  /// "JOB.REPETITION.STEP"; used to count the runs of a step on one worker.
  std::string step;

  /// The run's step allows backup copies.
  bool copies_allowed = false;
  /// The run was started as the backup copy of another run or, if both were
  /// adopted, has the higher number.
  bool is_copy = false;
  /// The budget has refused a copy of the run.
  bool copy_refused = false;

  /// Last reported values; see `ActiveRun`.
  int progress = 0;
  /// When `progress` was last reported; zero: not yet.
  Instant progress_at{};
  /// When `progress` was last asked for by a poll of its own; zero: not yet.
  Instant progress_asked{};
  int64_t measurement = -1;
  /// For a serving task: its estimated utilization without best-effort work on
  /// the same worker; negative: not known yet.
  double load = -1;
  /// Moving average of a serving task's measurements; negative: none yet.
  double mean_measurement = -1;
  /// Time since which `mean_measurement` has been at or above
  /// `PolicyOptions::over_target_tail_share` of `latency_target`; zero: it is
  /// below.
  Instant above_target_since{};
  /// Newest known checkpoint, or the one that the run started from; empty:
  /// none.
  std::string checkpoint;
  /// Share of its full speed, in percent, that the run may use: as wanted by
  /// the leader, and as last confirmed by the worker. A run starts at 100; the
  /// leader sets `pace` of an adopted run to a negative value: not known.
  int wanted_pace = 100;
  int pace = 100;
  bool pace_in_flight = false;
  /// Time since which `wanted_pace` has been below 100; zero: it is 100.
  Instant throttled_since{};
  /// Last time that the run was logged as far beyond its expected duration.
  Instant overdue_logged_at{};
  /// The run began from a checkpoint, was throttled, or was adopted, so its
  /// duration says little about the task.
  bool atypical_duration = false;
  /// This session first learned of the run from a report, usually because an
  /// earlier leader ordered it. When the run began is not known.
  bool adopted = false;
  /// A report of this incarnation has listed the run as active, so that it can
  /// be at work on no other one.
  bool listed = false;
};

/// A run of `task` that is not ordered yet, without a checkpoint.
Run MakeRun(const Task& task, uint32_t number);

/// The longest time that can pass on this process's clock while `on_worker`
/// passes on a worker's clock. The platform allows a worker's clock to run 2%
/// slow.
Millis MaxOnLocalClock(Millis on_worker);

struct WorkerSessionOptions {
  /// Duration of a lease, on the worker's clock: runs there end unless an order
  /// extends the lease within this time. Bounded by the platform's longest run
  /// lease; see docs/CONFIGURATION.md.
  Millis run_lease{6000};
  /// Longest lease that leaders of earlier versions granted. Counts for the
  /// runs that are adopted, if it is longer than `run_lease`.
  Millis earlier_run_lease{6000};
  /// Longest lease that a worker grants; it shortens longer ones.
  Millis longest_lease{10'000};
  /// Longest time for which a worker with both serving tasks and best-effort
  /// work may delay its answer to a poll. In a large cell, the leader sets a
  /// longer time with `WorkerSession::SetShortPollWait`. Scores of simulated
  /// days with little load (higher is better; the cost of processors is left
  /// out): in one deployment (5 seeds) 0.677 at 500 ms and 0.712 at 250 ms, in
  /// another (3 seeds) 0.658 at 500 ms and 0.666 at 250 ms.
  Millis short_poll_wait{250};
  /// Longest time for which any other worker may delay its answer to a poll.
  Millis long_poll_wait{1200};
  /// Delay between polls while ends are waiting to be recorded.
  Millis unrecorded_pause{150};
  /// A poll without an answer this long after the worker's longest delay was
  /// not answered in time. Less than the time limit of the call.
  Millis answer_patience{400};
  /// Delay after a failed poll, unless `other_incarnation_pause` applies.
  Millis retry_pause{150};
  /// Delay after a failed poll if another incarnation has answered at the
  /// listed address, and this one has never answered. A directory entry with
  /// another address ends the delay at once. While the entry wrongly names the
  /// address of another worker, at most two of these polls go there in 10 s.
  Millis other_incarnation_pause{8000};
  /// A worker that has not responded for this long plus `long_poll_wait` gets
  /// no new work. A worker without runs is not polled regularly, so it is
  /// exempt unless a poll is in flight or the last one failed.
  Millis unresponsive_after{1500};
  /// A worker that has not answered a start for this long gets no further one
  /// until it answers: each would hold its task back until its lease expires.
  Millis slow_start_answer{300};
  /// A stop is sent again if the worker has not listed the end after this time.
  Millis stop_resend_delay{1200};
};

class WorkerSession;

/// Notifications of a session to its leader, on the control thread.
class WorkerSessionListener {
 public:
  virtual ~WorkerSessionListener() = default;

  /// The worker has accepted the run's start, or lists the run as active for
  /// the first time. Not called for adopted runs.
  virtual void OnRunBegan(WorkerSession& session, const Run& run) = 0;
  /// The run has ended and is removed from the session. `end` is one of:
  /// - what the worker reported;
  /// - kStopped, if the start was deferred and never sent;
  /// - kLeaseExpired, if the worker is lost (see `OnWorkerLost`) and the run is
  ///   not one of `WorkerSession::TakeUnsettledRuns`; or if a
  ///   report without `has_more_ends` proves that the run is not active and
  ///   cannot begin any more.
  /// `reported_by_worker` is false only in the third case.
  virtual void OnRunEnded(WorkerSession& session,
                          const Run& run,
                          RunEnd end,
                          bool reported_by_worker) = 0;
  /// All runs on the worker have ended, although the worker did not report it:
  /// another incarnation has replaced it, or all leases there have expired.
  /// `OnRunEnded` follows for each run that cannot be at work on the next
  /// incarnation under the same id.
  virtual void OnWorkerLost(WorkerSession& session) = 0;
  /// A poll failed for the first time since a poll succeeded or, if none has,
  /// since the session was opened. Not called if the poll was refused with
  /// `RunErrc::kFenced` or shows that this incarnation has ended.
  virtual void OnPollFailed(WorkerSession& session) = 0;
  /// A poll succeeded after one that failed.
  virtual void OnPollRecovered(WorkerSession& session) = 0;
  /// The worker lists the end of a run that this session does not know.
  virtual void OnUnknownEnd(WorkerSession& session, const EndedRun& end) = 0;
  /// The worker lists an active run of a task of which this session has no run.
  /// Returns the run to adopt; if empty, the session orders the worker to stop
  /// the listed run.
  virtual std::optional<Run> OnUnknownRun(WorkerSession& session,
                                          const ActiveRun& run) = 0;
  /// The start was refused or, with RunErrc::kNotSent, not sent; it is certain
  /// that the run did not begin. The run is already removed from the session.
  virtual void OnStartRefused(WorkerSession& session,
                              const Run& run,
                              std::error_code error) = 0;
  /// A report was processed.
  virtual void OnReport(WorkerSession& session) = 0;
  /// The worker has seen a higher fencing token than this leader's. Called at
  /// most once. Unrelated to `WorkerSession::fenced`.
  virtual void OnHigherTokenSeen(WorkerSession& session) = 0;
};

/// Owned by its leader and by its own pending calls. Sends no notifications
/// after `Close`.
class WorkerSession : public std::enable_shared_from_this<WorkerSession> {
 public:
  WorkerSession(Executor& executor,
                RunWorkerClient& workers,
                EventLog& log,
                WorkerSessionListener& listener,
                const WorkerSessionOptions& options,
                WorkerIncarnation incarnation,
                uint64_t token);

  /// Takes over runs of the earlier incarnation under this id that may be at
  /// work on this one, or may still begin there. They end once a report shows
  /// that they neither are nor can. To be called before `Open`.
  void AddUnsettledRuns(std::vector<Run> runs);
  /// This incarnation follows an earlier one under the same id, and orders for
  /// that one, with tokens up to `earlier_token`, may still be carried out by
  /// this one. To be called before `Open`. See `EarlierLifeFence`.
  void FollowEarlierLife(uint64_t earlier_token) { fence_.Open(earlier_token); }
  /// Sends the first poll. Once the worker has received it, the worker refuses
  /// orders with lower fencing tokens.
  void Open();
  void Close();

  /// Reserves the run's resources and, unless `run.start_deferred` is set,
  /// sends its start order.
  void Start(Run run, std::string payload, std::string ticket);
  /// Sends the start order of a run whose start was deferred.
  void SendDeferredStart(const std::string& task);
  void Stop(const std::string& task);
  /// Limits the run's speed to `percent` of its full speed.
  void SetPace(const std::string& task, int percent);

  uint64_t token() const { return token_; }
  /// Orders for an earlier incarnation had a token that is not lower than that
  /// of this session, so that they are not fenced off.
  bool NeedsHigherToken() const {
    return !closed_ && !dead_ && fence_.IsOpen() &&
           token_ <= fence_.earlier_token();
  }
  /// Gives later orders this token, if it is higher, and polls at once.
  void RaiseToken(uint64_t token);
  /// This incarnation carries out no orders for an earlier one any more, or
  /// there was none. Nothing may be started before.
  bool is_fenced_from_earlier_life() const { return !fence_.IsOpen(); }
  /// No lease that orders for an earlier incarnation granted here can outlast
  /// one that is granted now.
  bool settled() const { return fence_.IsSettled(executor_.Now()); }

  /// Replaces `WorkerSessionOptions::short_poll_wait`.
  void SetShortPollWait(Millis wait) { short_wait_ = wait; }
  /// From `until` on, polls extend no lease, and start orders carry no later
  /// lease end than a start order sent at `until` would. A successor relies on
  /// this limit when it computes how long runs may continue. The limit is a
  /// time rather than a flag, so that it also holds after a pause of the
  /// process that the leader has not noticed yet.
  void SetLeaseExtensionEnd(Instant until) { lease_extension_end_ = until; }
  /// Polls at once if there are runs, even if a poll is in flight: that poll
  /// may have been sent while leases were not allowed to be extended, or the
  /// worker may still delay its answer.
  void PollNow();
  /// Leases that orders grant from now on count from `basis` if the order is
  /// sent later. A successor relies on this limit; see `LeaseBasis`.
  void SetLeaseBasis(Instant basis) { lease_basis_ = basis; }
  /// Sets the time up to which this leader provably led. No successor can have
  /// extended a lease on the worker before that time. A lease that expired
  /// before `until`, or another incarnation that answered before `until`,
  /// therefore proves that the runs have ended. Later events do not prove this
  /// yet: a successor may have adopted the runs and extended their leases, or
  /// started the tasks again.
  void SetLeadConfirmedUntil(Instant until) { lead_confirmed_until_ = until; }
  /// This incarnation is dead, or it has runs and all leases there have
  /// expired; but leadership is not yet confirmed up to that time.
  bool awaits_lead_confirmation() const {
    return EndedSince() >= lead_confirmed_until_;
  }
  /// Another incarnation has answered, at a time up to which leadership is
  /// confirmed.
  bool confirmed_dead() const {
    return dead_ && dead_since_ < lead_confirmed_until_;
  }
  /// Ends all runs if another incarnation answered, or all leases there
  /// expired, before the time up to which leadership is confirmed. Otherwise
  /// does nothing.
  void EndRunsIfWorkerLost();
  /// Notes that all ends up to `end_number` are recorded in the store. Later
  /// polls allow the worker to discard these ends and no others.
  void MarkRecorded(uint64_t end_number);
  /// Applies a newer directory entry of this incarnation; `incarnation.id` must
  /// be its id. If this incarnation has already answered somewhere, a different
  /// address is used only after this incarnation has answered there as well.
  void UpdateFromDirectory(const WorkerIncarnation& incarnation);
  /// Notes that this incarnation has answered at its current address, according
  /// to the record of an earlier leader. If `incarnation` has a start time, an
  /// answer with a later one is of the next incarnation.
  void MarkVerified();
  /// Polls at once, also if nothing runs there: the directory names another
  /// start time than that of this incarnation.
  void CheckIncarnation();
  /// To be called every `CellOptions::tick`: calls `EndRunsIfWorkerLost`, logs
  /// if the worker has become unresponsive, and sends stops and paces again
  /// that have not taken effect.
  void Tick();

  const WorkerIncarnation& incarnation() const { return incarnation_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  Run* FindRun(const std::string& task);
  /// Increases with:
  /// - each report, unless the report of a poll sent later was processed first;
  /// - each run that is added or removed;
  /// - each call of `UpdateFromDirectory`;
  /// - each change to an address that `UpdateFromDirectory` named, after this
  ///   incarnation has answered a poll there.
  uint64_t version() const { return version_; }
  /// `EndedRun::number` of the latest end that the worker has listed.
  uint64_t last_end() const { return last_end_; }
  bool has_unrecorded_ends() const { return last_end_ > recorded_end_; }
  /// Tasks that may run there and tasks whose ends there are not recorded, as
  /// far as this session knows. Once `all_ends_listed` holds and this leader
  /// starts nothing more there, a successor has to account for these tasks
  /// only. Sorted, without duplicates.
  std::vector<std::string> OutstandingTasks() const;
  /// The worker lists runs that this leader is stopping and has not reserved
  /// resources for; how much of the worker they use is not known.
  bool has_unwanted_runs() const { return !unwanted_tasks_.empty(); }
  /// Increases with each change of `OutstandingTasks`.
  uint64_t tasks_version() const { return tasks_version_; }
  /// The worker has answered a poll of this leader with a report, so it refuses
  /// orders of earlier leaders. Says nothing of later leaders: see
  /// `OnHigherTokenSeen`.
  bool fenced() const { return fenced_; }
  /// A report to this leader had `WorkerReport::has_more_ends` false: no ends
  /// were left to list. One report lists only a limited number. Stays true.
  bool all_ends_listed() const { return all_ends_listed_; }
  /// This incarnation has ended: another one has answered at the address at
  /// which this one had answered.
  bool dead() const { return dead_; }
  /// `dead`, and the incarnation that has answered has the same id.
  bool restarted() const { return restarted_; }
  /// If `restarted`: the next incarnation, as far as it is known. Its id and
  /// address are set, and its start time if it was reported.
  const WorkerIncarnation& next_incarnation() const {
    return next_incarnation_;
  }
  /// If `restarted`, and after the other runs have ended: removes and returns
  /// the runs that may be at work on the next incarnation, or may still begin
  /// there. No report of this incarnation has listed them as active.
  std::vector<Run> TakeUnsettledRuns();
  /// Start time of this incarnation as it reported it or, before its first
  /// report, according to the directory or the record; 0: not known.
  int64_t started_at() const {
    return fenced_ || answered_started_at_ != 0 ? answered_started_at_
                                                : incarnation_.started_at;
  }
  /// The worker has answered a poll of this leader with a report, `dead` is
  /// false, and at least one of these holds:
  /// - `last_response_at` is less than `unresponsive_after` plus
  ///   `long_poll_wait` ago;
  /// - the worker has no runs, no poll is in flight, and the last poll did not
  ///   fail.
  bool responsive() const;
  /// When the worker last reported, answered a start order, or confirmed a stop
  /// or a pace. If later: when the session was opened, or when a run was added
  /// while the worker had none.
  Instant last_response_at() const { return last_response_at_; }
  /// `Close` was called.
  bool closed() const { return closed_; }
  /// The poll that completed last failed. Until one succeeds, polls extend no
  /// lease there.
  bool last_poll_failed() const { return failed_polls_ > 0; }
  /// The worker has answered a poll of this leader, but since then two polls
  /// failed in a row, or one was not answered in time. A single failed poll may
  /// be due to a connection that was reset.
  bool is_unreachable() const {
    return fenced_ && (failed_polls_ > 1 || poll_timed_out_);
  }
  /// The worker has left a start unanswered for
  /// `WorkerSessionOptions::slow_start_answer`, or the last poll failed.
  bool is_slow_to_answer() const;
  /// When the latest order that may have extended a lease there was sent. A
  /// deferred start counts as such an order. The first answer to a poll counts
  /// as well, since an earlier leader may have extended leases until then.
  /// Orders after the times set with `SetLeaseExtensionEnd` and `SetLeaseBasis`
  /// count as sent at the earlier one. Zero: no such order was sent.
  Instant last_lease_order_at() const { return last_lease_order_at_; }
  /// The latest lease end there, on the clock of this incarnation, that this
  /// session reckons with; 0: none.
  int64_t latest_lease_end() const { return latest_lease_end_; }
  /// When the worker last responded again after it was logged as unresponsive;
  /// zero: this has not happened.
  Instant responsive_since() const { return responsive_since_; }
  /// Reserved processors, memory and accelerators. Best-effort work reserves no
  /// processors.
  const Resources& reserved() const { return reserved_; }
  /// Processors that best-effort runs ask for, in thousandths.
  int64_t best_effort_cpu() const { return best_effort_cpu_; }
  /// Number of runs with a latency target.
  int serving_runs() const { return serving_runs_; }
  /// Processors reserved by serving tasks, in thousandths.
  int64_t serving_cpu() const { return serving_cpu_; }
  int best_effort_runs() const { return best_effort_runs_; }
  /// Number of runs there, in any phase, whose `Run::step` is `step`.
  int CountRunsOfStep(const std::string& step) const;
  /// Time from the worker's confirmation of the run to `last_response_at`; zero
  /// if the run is not confirmed.
  Millis ObservedRunTime(const Run& run) const;

 private:
  /// An address that the directory names, and at which this incarnation has not
  /// answered yet.
  struct NextAddress {
    std::string address;
    bool probe_in_flight = false;
    bool failure_logged = false;
  };

  /// A poll in flight.
  struct SentPoll {
    uint64_t sequence = 0;
    uint64_t token = 0;
    Instant sent{};
    std::string address;
    uint64_t forget_up_to = 0;
    /// `worker_clock_` when the poll was sent.
    int64_t clock = 0;
    Millis max_wait{0};
  };

  void Poll(Millis wait);
  void OnPollResponse(const SentPoll& poll,
                      std::error_code error,
                      WorkerReport report);
  /// Which incarnation under this id sent a report, the answer to a poll that
  /// was sent when the clock was `clock_at_send`.
  enum class Sender { kThis, kEarlier, kNext };
  Sender SenderOf(const WorkerReport& report, int64_t clock_at_send) const;
  /// Whether an answer with the worker's clock `clock` (0: not reported) to an
  /// order sent when the last reported clock was `clock_at_send` is of a later
  /// incarnation; if so, calls `MarkRestarted`.
  bool ShowsRestart(int64_t clock, int64_t clock_at_send);
  void LogFailedPoll(const SentPoll& poll, const WorkerReport& report) const;
  /// Fields for logs: the latest lease end there, what it stems from, and the
  /// clock on which it counts.
  Json LeaseFields() const;
  /// Logs, once, that the worker lists the end numbered `listed` although the
  /// one before it in the session's account is not `listed` - 1.
  void NoteEndOutOfOrder(uint64_t listed, uint64_t before);
  void SchedulePoll(Millis delay);
  void ApplyReport(Instant sent, WorkerReport report);
  void ApplyEndedRuns(const std::vector<EndedRun>& ended);
  void ApplyActiveRuns(const std::vector<ActiveRun>& active);
  /// `active` is from a report without `has_more_ends`, the answer to a poll
  /// sent at `sent`. Of the runs that are not in `active`, ends those that
  /// provably are not active and cannot begin any more. Sends a stop order for
  /// those whose start got no answer, unless one is in flight or confirmed.
  void ResolveUnlistedRuns(Instant sent, const std::vector<ActiveRun>& active);
  void OnStartAnswer(const std::string& task,
                     uint32_t number,
                     std::error_code error,
                     int64_t clock,
                     int64_t clock_at_send);
  /// What a start order carries besides its run.
  struct StartArguments {
    std::string payload;
    std::string ticket;
  };

  /// The life that orders of this session are meant for.
  WorkerLife life() const { return {started_at(), worker_clock_}; }
  void SendStart(Run* run, StartArguments arguments);
  void SendStop(const std::string& task, uint32_t number);
  void SendPace(Run* run);
  /// Notes that another incarnation has replaced this one. The runs end only
  /// with `EndRunsIfWorkerLost`.
  void MarkDead();
  /// As `MarkDead`; the next incarnation has the same id and has answered at
  /// `address`. `started_at` is 0 if not known.
  void MarkRestarted(const std::string& address, int64_t started_at);
  /// Handles an order that was not sent, because another incarnation answered.
  /// Returns whether `error` says so.
  bool HandleOtherLife(std::error_code error);
  /// Polls at `next_address_` without extending leases, unless such a poll is
  /// in flight.
  void ProbeNextAddress();
  void OnNextAddressResponse(const std::string& address,
                             std::error_code error,
                             const WorkerReport& report);
  /// Notes and logs, unless already noted, that another incarnation answers at
  /// `address`, if `address` is the listed one and this incarnation has never
  /// answered.
  void NoteOtherIncarnation(const std::string& address);
  /// Returns the error to handle after a call to `address` completed with
  /// `error`: an answer of another incarnation counts as no answer unless
  /// `address` is `answered_at_`. On success, sets `answered_at_` if it is
  /// empty.
  std::error_code ClassifyResponse(const std::string& address,
                                   std::error_code error);
  /// Notes that the worker responded just now, and takes over its `clock`
  /// unless that is 0 (not reported). Logs if the worker was logged as
  /// unresponsive before.
  void NoteResponse(int64_t clock);
  /// Returns the lease end, on the worker's clock, for an order sent at `sent`,
  /// and records it as granted. `order` names the kind of order, for logs; its
  /// text must outlive the session. Returns 0 if the worker's clock is not
  /// known.
  int64_t RecordLeaseGrant(Instant sent, std::string_view order);
  /// Counts the leases that orders for an earlier incarnation may have granted
  /// here by the time of an answer to a poll with `token` that stated `clock`.
  void CountLeasesOfEarlierLife(uint64_t token, int64_t clock);
  /// When, on this process's clock, all leases there have expired if no other
  /// leader extends them; empty: the worker's clock is not known.
  std::optional<Instant> LeasesExpireAt() const;
  /// Time since which this incarnation has ended or, if it has runs, all leases
  /// there have expired, provided that this leader still led at that time.
  /// Empty: neither is known, or the session is closed.
  std::optional<Instant> EndedSince() const;
  /// How long the worker may delay its answer to the next poll.
  Millis NextPollWait() const;
  /// Adds (`sign` 1) or subtracts (-1) what the run reserves.
  void AdjustReservations(const Run& run, int sign);
  void Insert(Run run);
  std::optional<Run> RemoveRun(const std::string& task);
  /// Removes the run, if there is one, and notifies the leader of its end.
  void EndRun(const std::string& task, RunEnd end, bool reported_by_worker);
  /// Notifies the leader that the worker is lost, and ends all runs there but
  /// those of `TakeUnsettledRuns`.
  void EndAllRuns();
  bool IsUnsettled(const Run& run) const;

  Executor& executor_;
  RunWorkerClient& workers_;
  EventLog& log_;
  WorkerSessionListener& listener_;
  const WorkerSessionOptions options_;
  WorkerIncarnation incarnation_;
  uint64_t token_;
  EarlierLifeFence fence_;
  /// Newest address at which this incarnation has answered this leader or,
  /// according to the records, an earlier leader. Empty: there is none, and the
  /// listed address in `incarnation_` is called.
  std::optional<std::string> answered_at_;
  std::optional<NextAddress> next_address_;
  /// Another incarnation answers at the address of this one, which has never
  /// answered.
  bool other_incarnation_answers_ = false;

  Millis short_wait_;
  Instant lease_extension_end_{};
  Instant lease_basis_ = Instant::max();
  Instant lead_confirmed_until_{};
  Instant opened_at_{};
  bool closed_ = false;
  bool dead_ = false;
  /// When `dead_` was set.
  Instant dead_since_{};
  bool restarted_ = false;
  WorkerIncarnation next_incarnation_;
  /// The leader was notified that the worker is lost.
  bool loss_reported_ = false;
  /// Start time in the reports of this incarnation, or in the record of an
  /// earlier leader; 0: not known.
  int64_t answered_started_at_ = 0;
  bool fenced_ = false;
  /// `OnHigherTokenSeen` was called: the worker has seen a higher token than
  /// `token_`.
  bool higher_token_reported_ = false;
  bool all_ends_listed_ = false;
  bool unresponsive_logged_ = false;
  std::map<std::string, Run> runs_;
  /// Start orders of the runs whose start is deferred.
  std::map<std::string, StartArguments> deferred_starts_;
  Resources reserved_;
  int64_t best_effort_cpu_ = 0;
  int serving_runs_ = 0;
  int64_t serving_cpu_ = 0;
  int best_effort_runs_ = 0;

  uint64_t version_ = 0;
  uint64_t tasks_version_ = 0;
  uint64_t last_end_ = 0;
  uint64_t recorded_end_ = 0;
  /// Highest `PollOrder::forget_up_to` sent.
  uint64_t acknowledged_end_ = 0;
  bool end_out_of_order_logged_ = false;
  /// Tasks whose ends are not recorded, by the number of the end.
  std::map<uint64_t, std::string> unrecorded_ends_;
  /// Tasks of those runs in the newest report that this leader did not adopt
  /// and is stopping. A run with a lower number than the task's run in `runs_`
  /// is not stopped and not included.
  std::vector<std::string> unwanted_tasks_;
  bool poll_in_flight_ = false;
  /// Polls that have failed since one succeeded, and whether one of them was
  /// not answered in time.
  int failed_polls_ = 0;
  bool poll_timed_out_ = false;
  uint64_t poll_sequence_ = 0;
  Executor::TimerId poll_timer_ = 0;
  /// When the poll was sent whose report is the newest that was processed.
  Instant report_sent_{};
  Instant last_response_at_{};
  Instant responsive_since_{};
  /// The worker's clock as last reported, and when that was received.
  int64_t worker_clock_ = 0;
  Instant worker_clock_at_{};
  /// The latest lease end, on the worker's clock, that any order of this leader
  /// has carried, or that an earlier leader may have granted before the worker
  /// first answered this one.
  int64_t latest_lease_end_ = 0;
  Instant last_lease_order_at_{};
  /// What `latest_lease_end_` stems from.
  std::string_view latest_lease_order_;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_SESSION_H_
