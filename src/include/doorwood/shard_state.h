// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a job shard's log says. Pure: the same records always give the same
/// state, on the owner that wrote them and on the one that replays them.

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

/// A task that may not be repeated is about to be started.
struct IntentRecord {
  TaskId task;
  AttemptId attempt;
};

/// An attempt ended. `checkpoint` is what the next attempt resumes from.
struct EndRecord {
  TaskId task;
  AttemptId attempt;
  AttemptEnd end = AttemptEnd::kSucceeded;
  std::string checkpoint;
};

/// A job was cancelled; what runs of it is being stopped.
struct CancelRecord {
  std::string job;
};

/// A request that may not be repeated is about to be run.
struct ClaimRecord {
  std::string key;
  std::string request;
};

/// A claimed request surely did not run; its key may be used again.
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
/// Throws nlohmann::json::exception on text of the wrong shape.
LogRecord ParseLogRecord(const Json& json);

/// Where a task stands, as far as the log tells.
enum class TaskPhase {
  /// Not finished: queued or running.
  kOpen,
  kSucceeded,
  kFailed,
  kCancelled,
  /// May not be repeated, was started, and nobody can tell how it ended.
  kUnknown,
};

std::string_view ToString(TaskPhase phase);

struct TaskState {
  TaskSpec spec;
  TaskPhase phase = TaskPhase::kOpen;
  /// Attempts that ran and failed.
  int failures = 0;
  /// Attempts that were evicted.
  int evictions = 0;
  std::string checkpoint;
  /// The newest attempt whose end is logged.
  AttemptId last_ended;
  /// Set while a start that may not be repeated is logged and not ended.
  std::optional<AttemptId> intent;
};

struct JobState {
  JobSpec job;
  bool cancelled = false;
  /// By name.
  std::map<std::string, TaskState> tasks;

  bool finished() const;
};

class ShardState {
 public:
  void Apply(const LogRecord& record);

  const std::map<std::string, JobState>& jobs() const { return jobs_; }
  const JobState* FindJob(const std::string& id) const;
  const TaskState* FindTask(const TaskId& task) const;
  /// The request that claimed `key`; empty: nobody.
  std::string ClaimedBy(const std::string& key) const;

  Json ToSnapshot() const;
  /// Throws nlohmann::json::exception on text of the wrong shape.
  static ShardState FromSnapshot(const Json& json);

 private:
  void ApplyEnd(const EndRecord& record);
  void ApplyClaim(const ClaimRecord& record);
  void ApplyUnclaim(const UnclaimRecord& record);
  void NoteFinished(const std::string& job);

  std::map<std::string, JobState> jobs_;
  // Oldest first; the oldest are dropped when there are too many.
  std::deque<std::string> finished_;
  std::map<std::string, std::string> claims_;
  std::deque<std::string> claim_order_;
};

/// Finished jobs that a shard remembers.
inline constexpr size_t kFinishedJobsKept = 200;
/// Claims that a shard remembers. Older keys could be run again, so this is
/// also the length of the at-most-once promise; see docs/OPERATIONS.md.
inline constexpr size_t kClaimsKept = 4000;

}  // namespace doorwood

#endif  // DOORWOOD_SHARD_STATE_H_
