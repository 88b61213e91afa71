// SPDX-License-Identifier: Apache-2.0

/// \file
/// State that results from the records of a job shard's log. Deterministic:
/// the same records give the same state on the owner that wrote them and on the
/// owner that replays them.

#ifndef DOORWOOD_SHARD_STATE_H_
#define DOORWOOD_SHARD_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "doorwood/json_codec.h"
#include "doorwood/types.h"

namespace doorwood {

/// A job was accepted.
struct AcceptRecord {
  JobSpec job;
};

/// A task that must not be repeated is about to be started.
struct IntentRecord {
  TaskId task;
  AttemptId attempt;
};

/// An attempt ended. The next attempt resumes from `checkpoint`, or, if that is
/// empty, from the task's earlier checkpoint.
struct EndRecord {
  TaskId task;
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::kSucceeded;
  std::string checkpoint;
};

/// A job was cancelled; its running tasks are being stopped.
struct CancelRecord {
  std::string job;
};

/// A request that must not be repeated is about to be run.
struct ClaimRecord {
  std::string key;
  std::string request;
};

/// A claimed request is known not to have run; its key may be used again.
struct UnclaimRecord {
  std::string key;
  std::string request;
};

using LogRecord = std::variant<AcceptRecord,
                               IntentRecord,
                               EndRecord,
                               CancelRecord,
                               ClaimRecord,
                               UnclaimRecord>;

Json ToJson(const LogRecord& record);
/// Throws nlohmann::json::exception if the JSON is not a log record.
LogRecord ParseLogRecord(const Json& json);

/// Phase of a task according to the log.
enum class TaskPhase {
  /// Not finished: queued or running.
  kOpen,
  kSucceeded,
  kFailed,
  kCancelled,
  /// Must not be repeated, may have been started, and its end is not known.
  kUnknown,
};

std::string_view ToString(TaskPhase phase);

struct TaskState {
  TaskSpec spec;
  TaskPhase phase = TaskPhase::kOpen;
  /// Number of attempts that ran and failed.
  int failures = 0;
  /// Number of attempts that were stopped on order: evicted, or stopped for
  /// another reason, such as the cancellation of the job.
  int evictions = 0;
  std::string checkpoint;
  /// The newest attempt whose end is logged.
  AttemptId last_ended;
  /// Attempt whose intent to start is logged but whose end is not; set only for
  /// tasks that must not be repeated.
  std::optional<AttemptId> intent;
};

struct JobState {
  JobSpec job;
  bool cancelled = false;
  /// By task name.
  std::map<std::string, TaskState> tasks;

  bool finished() const;
};

class ShardState {
 public:
  void Apply(const LogRecord& record);

  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  const JobState* FindJob(const std::string& id) const;
  const TaskState* FindTask(const TaskId& task) const;
  /// The request whose claim of `key` is kept; empty if there is none.
  std::string ClaimedBy(const std::string& key) const;

  Json ToSnapshot() const;
  /// Throws nlohmann::json::exception if the JSON is not a snapshot.
  static ShardState FromSnapshot(const Json& json);

 private:
  void ApplyEnd(const EndRecord& record);
  void ApplyClaim(const ClaimRecord& record);
  void ApplyUnclaim(const UnclaimRecord& record);
  void RecordFinishedJob(const std::string& job);

  std::map<std::string, JobState> jobs_;
  // Ids of the finished jobs in the order in which they finished. Above
  // kFinishedJobsKept, the first of them is removed from the state.
  std::deque<std::string> finished_;
  // By idempotency key: the request that claimed it.
  std::map<std::string, std::string> claims_;
  // Keys of `claims_`, oldest first. Above kClaimsKept, the oldest claim is
  // removed.
  std::deque<std::string> claim_order_;
};

/// Number of finished jobs that a shard keeps.
inline constexpr size_t kFinishedJobsKept = 200;
/// Number of claims that a shard keeps. Requests under older keys could run
/// again, so this also bounds the at-most-once guarantee; see
/// docs/OPERATIONS.md.
inline constexpr size_t kClaimsKept = 4000;

}  // namespace doorwood

#endif  // DOORWOOD_SHARD_STATE_H_
