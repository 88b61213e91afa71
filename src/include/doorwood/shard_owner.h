// SPDX-License-Identifier: Apache-2.0

/// \file
/// Owner of one job shard: accepts jobs, decides which task is to run and as
/// which attempt, and finds out what became of attempts when holders or
/// workers die. docs/design/job-shards.md.

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
  /// As `HolderOptions`: what must pass before work on a worker that nobody
  /// holds has surely ended.
  Millis task_lease{10000};
  Millis drift{300};
  Millis call_timeout{2000};
  /// Pause before a task that found no room is tried again, first and
  /// longest.
  Millis retry_first{100};
  Millis retry_longest{2000};
  /// Pause before a task that fits no worker is tried again.
  Millis unplaceable_retry{10000};
  /// Pause after a failed attempt, doubled with each.
  Millis failure_backoff{200};
  /// Pause between two rounds of a census that is not complete.
  Millis census_retry{500};
  /// A census even when nothing points to a need for one.
  Millis census_interval{60000};
  /// Placements under way at a time.
  int most_placing = 64;
  ShardLogOptions log;
};

/// A holder that can be asked for room.
struct HolderView {
  std::string instance;
  uint64_t incarnation = 0;
  uint32_t workers = 0;
  uint64_t holdings_version = 0;
  Resources free;
  Resources largest_room;
};

/// What an owner needs to know of its surroundings.
class OwnerEnvironment {
 public:
  virtual ~OwnerEnvironment() = default;

  /// Instances of the data centre that are heard, this one included.
  virtual std::vector<HolderView> Holders() const = 0;
  /// Every instance of the data centre that may be running: heard, or still
  /// in the platform's list.
  virtual std::vector<std::string> PossibleHolders() const = 0;
  /// When an instance was last seen to have gone, or when this instance began
  /// to look. Nobody that is not a possible holder has renewed a worker's
  /// lease later than this.
  virtual Instant LastDeparture() const = 0;
  /// False until the platform's list has been seen: nothing may be concluded
  /// from what `PossibleHolders` and `Workers` leave out.
  virtual bool ViewComplete() const = 0;
  /// Workers of the data centre that are or lately were in the platform's
  /// list.
  virtual std::vector<std::string> Workers() const = 0;
  virtual void CallInstance(const std::string& instance,
                            PeerRequest request,
                            Millis timeout,
                            PeerNetwork::Callback done) = 0;
  virtual const Configuration& configuration() const = 0;
  /// Structured log line about one decision.
  virtual void LogDecision(std::string_view what,
                           const TaskId& task,
                           std::string_view detail) = 0;
};

/// One line of `doorwood explain`.
struct DecisionRecord {
  /// Milliseconds since the owner took the shard over.
  int64_t at_ms = 0;
  std::string what;
  std::string detail;
};

/// Figures of one shard, for metrics and tests.
struct OwnerCounters {
  uint64_t accepted = 0;
  uint64_t placed = 0;
  uint64_t refused = 0;
  uint64_t ended = 0;
  uint64_t censuses = 0;
  uint64_t resolved_lost = 0;
};

/// All calls on the control thread.
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

  /// Takes the shard over; see ShardLog::Open. On success the first census
  /// begins.
  void Open(Done done);
  /// Hands the shard over in good order. On failure it goes on as before.
  void Close(Done done);
  /// See ShardLog::Verify.
  void Verify(Done done) { log_->Verify(std::move(done)); }
  /// Stops all activity at once, as when fenced.
  void Abandon();
  void set_on_fenced(std::function<void()> on_fenced);
  void set_lease_valid(std::function<bool()> lease_valid);

  /// Accepts a job once it is in the log. The id makes it idempotent.
  void Submit(const JobSpec& job, Done done);
  void Cancel(const std::string& job, Done done);
  /// Records that `request` is about to be run under `key`. Fails with
  /// kConflict if another request was recorded under it.
  void Claim(const std::string& key, const std::string& request, Done done);
  /// Takes a claim back; the request surely did not run.
  void Unclaim(const std::string& key, const std::string& request);
  /// Answers once all ends are logged.
  void OnEndReport(const EndReport& report,
                   std::function<void(EndReply)> reply);
  /// Call when holders come, go or change what they hold.
  void OnHoldersChanged();

  /// JSON of one job, or of all; for operators.
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
    // The intent is being logged.
    kIntending,
    // A holder has been asked.
    kPlacing,
    kRunning,
    // Nobody has said yet whether an attempt runs.
    kUnresolved,
    // The end is being logged.
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
    Millis retry{0};
    std::string reason;
    std::set<std::string> never_at;
    uint64_t order = 0;
  };

  // An attempt as one instance of the round told it.
  struct Sighted {
    Sighting sighting;
    std::string holder;
  };

  // Replies of one census round.
  struct CensusRound {
    Instant started;
    AttemptId floor;
    size_t missing = 0;
    // False once an instance that may be running did not answer.
    bool all_reached = true;
    std::map<AttemptId, Sighted> sighted;
    // Workers held by an instance that answered.
    std::set<std::string> held;
    // The latest that a worker can have been renewed by who holds it no more.
    std::map<std::string, Instant> last_renewal;
    // The latest start of an instance that answered: an earlier process in
    // its place can have renewed until then.
    Instant last_start{};
  };

  static std::string_view StageName(Stage stage);

  void OnApplied(const LogRecord& record);
  void TakeTasks();
  void AddTask(const JobState& job, const TaskState& task, Stage stage);
  Task* Find(const TaskId& id);
  const TaskSpec& SpecOf(const Task& task) const;
  bool IsCancelled(const Task& task) const;

  void SchedulePump(Millis delay);
  void Pump();
  bool TryPlace(Task& task);
  bool WithinQuota(const Task& task) const;
  std::string ChooseHolder(const Task& task, uint64_t* incarnation) const;
  void Intend(Task& task);
  void AskHolder(Task& task);
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
  void AfterEnd(const TaskId& id, AttemptEnd end);
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
  bool IsCovered(const std::string& worker, const CensusRound& round) const;
  bool AllWorkersCovered(const CensusRound& round) const;
  void ResolveSighted(Task& task, const Sighted& sighted);
  const Sighted* FindSighting(const Task& task, const CensusRound& round) const;

  void Record(const TaskId& task, std::string what, std::string detail);
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
  uint64_t counter_ = 0;
  uint64_t order_ = 0;
  std::map<TaskId, Task> tasks_;
  int placing_ = 0;
  bool pump_scheduled_ = false;
  bool census_scheduled_ = false;
  bool census_running_ = false;
  // What held workers looked like at the last census.
  std::map<std::string, uint64_t> seen_holdings_;
  std::map<TaskId, std::vector<DecisionRecord>> decisions_;
  OwnerCounters counters_;
};

}  // namespace doorwood

#endif  // DOORWOOD_SHARD_OWNER_H_
