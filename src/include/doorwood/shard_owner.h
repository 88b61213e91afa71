// SPDX-License-Identifier: Apache-2.0

/// \file
/// Owner of one job shard: accepts jobs, decides which task runs and as which
/// attempt. A holder is an instance that holds control leases of workers. A
/// census asks all instances that may be holders for the state of the attempts
/// on their workers: after a takeover of the shard, after a change of the
/// holders, after a lost answer and at intervals; a request made while a census
/// is already scheduled is dropped, and the scheduled one serves it. See
/// docs/design/job-shards.md.

#ifndef DOORWOOD_SHARD_OWNER_H_
#define DOORWOOD_SHARD_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "doorwood/config.h"
#include "doorwood/executor.h"
#include "doorwood/peer.h"
#include "doorwood/shard_log.h"

namespace doorwood {

struct OwnerOptions {
  /// Same values as in `HolderOptions`. Work on a worker that no instance holds
  /// has ended once `task_lease` plus `drift` have elapsed since the last
  /// renewal.
  Millis task_lease{10000};
  Millis drift{300};
  Millis call_timeout{2000};
  /// Initial and maximum delay before placement is retried for a task that a
  /// holder refused or for which no holder was found. `retry_longest` is also
  /// the delay after an exceeded quota, an unconfirmed intent or a failed stop.
  Millis retry_first{100};
  Millis retry_longest{2000};
  /// Delay before placement of a task that fits no worker is retried.
  Millis unplaceable_retry{10000};
  /// Delay after n failures: 2^min(n, 6) times this, plus a random 0 to 50 %.
  Millis failure_backoff{200};
  /// Delay before the next round of an incomplete census. Also the delay before
  /// a census that a change of the holders causes, unless one is already
  /// scheduled: that one is not moved forward, so the delay can then be up to
  /// `census_interval`. An incomplete census has left the state of at least one
  /// attempt unknown.
  Millis census_retry{500};
  /// Delay from a complete census to the next one while tasks are open.
  Millis census_interval{60000};
  /// Maximum number of concurrent placements.
  int max_concurrent_placements = 64;
  ShardLogOptions log;
};

/// Latest known state of an instance to which placements can be sent.
struct HolderView {
  std::string instance;
  uint64_t incarnation = 0;
  uint32_t workers = 0;
  uint64_t holdings_version = 0;
  Resources free;
  Resources largest_free;
};

/// Interface through which a shard owner sees its instance, the peers and the
/// configuration.
class OwnerEnvironment {
 public:
  virtual ~OwnerEnvironment() = default;

  /// Instances of the data centre whose heartbeats are received, and this one;
  /// without those that are shutting down.
  virtual std::vector<HolderView> Holders() const = 0;
  /// Every instance of the data centre that may be running: its heartbeats are
  /// received, or it is still in the platform's list.
  virtual std::vector<std::string> PossibleHolders() const = 0;
  /// When the latest departure of an instance was observed, or when this
  /// instance started if there was none. Instances other than the possible
  /// holders have renewed no worker's lease after this time.
  virtual Instant LastDeparture() const = 0;
  /// False until the platform's list has been received. Until then, absence
  /// from `PossibleHolders` and `Workers` proves nothing.
  virtual bool IsViewComplete() const = 0;
  /// Workers of the data centre that were in a platform list received within
  /// the last `MembershipOptions::worker_retention`.
  virtual std::vector<std::string> Workers() const = 0;
  virtual void CallInstance(const std::string& instance,
                            PeerRequest request,
                            Millis timeout,
                            PeerNetwork::Callback done) = 0;
  virtual const Configuration& configuration() const = 0;
  /// Writes a structured log line about one decision.
  virtual void LogDecision(std::string_view what,
                           const TaskId& task,
                           std::string_view detail) = 0;
};

/// A decision about a task; one line of `doorwood explain`.
struct DecisionRecord {
  /// Milliseconds since the owner took over the shard.
  int64_t at_ms = 0;
  std::string what;
  std::string detail;
};

/// Counters of one shard, for metrics and tests.
struct OwnerCounters {
  uint64_t accepted = 0;
  uint64_t placed = 0;
  uint64_t refused = 0;
  uint64_t ended = 0;
  uint64_t censuses = 0;
  uint64_t resolved_lost = 0;
};

/// All methods must be called on the control thread.
class ShardOwner : public std::enable_shared_from_this<ShardOwner> {
 public:
  using Done = std::function<void(std::error_code)>;

  ShardOwner(const OwnerOptions& options,
             const ShardId& shard,
             std::string instance,
             uint64_t incarnation,
             Executor& executor,
             KvStore& kv,
             OwnerEnvironment& environment);

  /// Takes over the shard; see ShardLog::Open. On success the first census
  /// starts.
  void Open(Done done);
  /// Releases the shard, in a planned shutdown or because it is now assigned to
  /// another instance; see ShardLog::Close. On failure this owner continues as
  /// before.
  void Close(Done done);
  /// See ShardLog::VerifyOwnership.
  void VerifyOwnership(Done done) { log_->VerifyOwnership(std::move(done)); }
  /// Ends placement, censuses and the logging of reported ends at once, without
  /// releasing the shard; for example, when this owner was fenced.
  void StopImmediately();
  void set_on_fenced(std::function<void()> on_fenced);
  void set_lease_valid(std::function<bool()> lease_valid);

  /// Accepts a job; `done` succeeds once it is in the log. Idempotent by the
  /// job's id.
  void Submit(const JobSpec& job, Done done);
  void Cancel(const std::string& job, Done done);
  /// Records that `request` is about to be run under `key`. Fails with
  /// kConflict if the key is already claimed.
  void ClaimIdempotencyKey(const std::string& key,
                           const std::string& request,
                           Done done);
  /// Withdraws a claim. May be called only if the request is certain not to
  /// have run.
  void ReleaseIdempotencyKey(const std::string& key,
                             const std::string& request);
  /// Handles attempts that a holder reports as ended. `reply` is called, once
  /// the outcome of every append is known, with the attempts that need not be
  /// reported again: their ends are logged or no longer have an effect.
  void OnEndReport(const EndReport& report,
                   std::function<void(EndReply)> reply);
  /// Must be called when holders appear, disappear or change the workers that
  /// they hold.
  void OnHoldersChanged();

  /// One job, or all jobs of a workspace, as JSON for operators. JobsJson gives
  /// only the number of a job's tasks, as its `tasks`. An unknown job gives
  /// null; an empty `member` selects the jobs of all workspaces.
  Json JobJson(const std::string& job) const;
  Json JobsJson(const std::string& member) const;
  std::vector<DecisionRecord> Explain(const TaskId& task) const;

  const ShardId& shard() const { return shard_; }
  uint64_t epoch() const { return log_->epoch(); }
  const OwnerCounters& counters() const { return counters_; }
  size_t open_tasks() const { return tasks_.size(); }

 private:
  enum class Stage {
    kQueued,
    // The intent to start is being written to the log.
    kLoggingIntent,
    // A holder has been asked to start the attempt.
    kPlacing,
    kRunning,
    // It is not known whether an attempt runs.
    kUnresolved,
    // The end is being written to the log.
    kEnding,
  };

  // An unfinished task.
  struct Task {
    TaskId id;
    Stage stage = Stage::kQueued;
    AttemptId attempt;
    std::string holder;
    uint64_t holder_incarnation = 0;
    std::string worker;
    Instant not_before{};
    Millis retry_delay{0};
    std::string reason;
    std::set<std::string> unsuitable_holders;
    uint64_t sequence = 0;
  };

  // An attempt and the instance that reported it in a census round.
  struct HolderAttemptReport {
    AttemptReport report;
    std::string holder;
  };

  // State of one census round.
  struct CensusRound {
    Instant started;
    // Instances that answered refuse later placements of this shard's attempts
    // below it.
    AttemptId floor;
    size_t outstanding = 0;
    // False once a call to an instance that may be running has failed.
    bool all_reached = true;
    std::map<AttemptId, HolderAttemptReport> reports;
    // Workers held by the instances that answered.
    std::set<std::string> held;
    // By worker that an instance no longer holds: latest time at which such an
    // instance can have renewed the worker's lease.
    std::map<std::string, Instant> last_renewal;
    // Latest process start of an instance that answered. An earlier incarnation
    // of that instance can have renewed leases until then.
    Instant last_start{};
  };

  static std::string_view StageName(Stage stage);

  void OnApplied(const LogRecord& record);
  void LoadOpenTasks();
  void AddTask(const JobState& job, const TaskState& task, Stage stage);
  Task* Find(const TaskId& id);
  const TaskSpec& SpecOf(const Task& task) const;
  bool IsCancelled(const Task& task) const;

  void SchedulePlacement(Millis delay);
  void PlaceReadyTasks();
  bool TryPlace(Task& task);
  bool WithinQuota(const Task& task) const;
  std::string ChooseHolder(const Task& task, uint64_t* incarnation) const;
  void LogIntent(Task& task);
  void SendPlaceRequest(Task& task);
  void OnPlaceReply(const TaskId& id,
                    const AttemptId& attempt,
                    std::error_code error,
                    const PeerReply& reply);
  void OnRefused(Task& task, const std::string& reason);
  void Requeue(Task& task, Millis delay, std::string reason);

  void LogEnd(Task& task,
              const AttemptId& attempt,
              AttemptEnd end,
              const std::string& checkpoint,
              std::function<void(bool)> done);
  void HandleAttemptEnd(const TaskId& id, AttemptEnd end);
  void StopTask(Task& task);
  void StopCancelled();

  void ScheduleCensus(Millis delay);
  void RunCensus();
  void OnCensusReply(const std::shared_ptr<CensusRound>& round,
                     const std::string& instance,
                     std::error_code error,
                     const PeerReply& reply);
  void FinishCensus(CensusRound& round);
  void StopOrphans(const CensusRound& round);
  bool ResolveTask(Task& task, const CensusRound& round);
  // True if every attempt that may run on `worker` is in the round's reports.
  bool IsAccountedFor(const std::string& worker,
                      const CensusRound& round) const;
  bool AllWorkersAccountedFor(const CensusRound& round) const;
  void ApplyAttemptReport(Task& task, const HolderAttemptReport& reported);
  const HolderAttemptReport* FindAttemptReport(const Task& task,
                                               const CensusRound& round) const;

  // Writes the decision to the instance's log and keeps it for `Explain`.
  void RecordDecision(const TaskId& task, std::string what, std::string detail);
  Json TaskJson(const JobState& job, const TaskState& task) const;
  AttemptId NextAttempt();

  OwnerOptions options_;
  ShardId shard_;
  std::string instance_;
  Executor& executor_;
  OwnerEnvironment& environment_;
  std::shared_ptr<ShardLog> log_;
  bool active_ = false;
  Instant opened_{};
  uint64_t last_attempt_counter_ = 0;
  uint64_t last_sequence_ = 0;
  std::map<TaskId, Task> tasks_;
  int placing_ = 0;
  bool placement_scheduled_ = false;
  bool census_scheduled_ = false;
  bool census_running_ = false;
  // By holder: digest of its incarnation and its holdings version, as last
  // compared by OnHoldersChanged.
  std::map<std::string, uint64_t> last_holdings_;
  std::map<TaskId, std::vector<DecisionRecord>> decisions_;
  OwnerCounters counters_;
};

}  // namespace doorwood

#endif  // DOORWOOD_SHARD_OWNER_H_
