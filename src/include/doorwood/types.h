// SPDX-License-Identifier: Apache-2.0

/// \file
/// Value types shared by all parts of doorwood: time, sizes, identities, tasks
/// and jobs. They hold data only and have no rules of their own.

#ifndef DOORWOOD_TYPES_H_
#define DOORWOOD_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace doorwood {

/// Time since the machine was booted, including time suspended.
/// `std::chrono::steady_clock` does not advance during a suspension, while the
/// leases on other machines do expire.
struct BootClock : public std::chrono::steady_clock {
  using time_point = std::chrono::time_point<BootClock>;

  static time_point now() noexcept;
};

/// Monotonic time of this machine. It is never sent to another machine; ages
/// and lifetimes are sent instead.
using Instant = BootClock::time_point;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// Labels of a task or an instance, from key to value.
using Labels = std::map<std::string, std::string>;

/// An amount of a worker's resources.
struct Resources {
  /// Thousandths of a processor.
  int64_t cpu_millis = 0;
  /// Mebibytes.
  int64_t memory_mib = 0;
  /// Whole accelerators.
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Adds or subtracts each component.
Resources operator+(const Resources& a, const Resources& b);
Resources operator-(const Resources& a, const Resources& b);

/// Whether `requested` is at most `available` in each component.
bool Fits(const Resources& requested, const Resources& available);

/// A shard of a data centre's jobs, owned by one entry instance at a time.
struct ShardId {
  std::string data_centre;
  uint32_t index = 0;

  friend auto operator<=>(const ShardId&, const ShardId&) = default;
};

/// "plaka/3"
std::string ToString(const ShardId& shard);

/// Identity of one attempt to run a task. It is unique within a shard: the
/// epoch rises with each change of owner, and the counter with each attempt by
/// that owner. Attempts are ordered, so an attempt id also serves as a fencing
/// token: a holder accepts no new placement of an attempt below the floor that
/// a census or a call of `WorkerHolder::Fence` has set for the shard.
struct AttemptId {
  uint64_t epoch = 0;
  uint64_t counter = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// "7.42"
std::string ToString(const AttemptId& attempt);

/// Batch work must finish; a service must answer quickly.
enum class WorkClass { kBatch, kService };

std::string_view ToString(WorkClass work_class);

/// A task as declared by its submitter.
struct TaskSpec {
  /// Unique within the job.
  std::string name;
  WorkClass work_class = WorkClass::kBatch;
  Resources size;
  /// Labels that `beside` selectors of other tasks are matched against.
  Labels labels;
  /// Selector over the labels of other tasks on the same worker.
  std::string beside;
  /// Selector over the labels of workers.
  std::string on;
  /// Tasks with a higher number are evicted first; 0 to 100.
  int yields = 50;
  /// If false, the task is restarted only if its start is proved to have had no
  /// effect, or, after a stop on order, if it has a checkpoint to resume from.
  bool repeatable = true;
  /// Highest number of starts that may end in failure.
  int max_attempts = 3;
  /// Opaque to the scheduler; passed to the worker.
  std::string payload;
};

/// A set of tasks submitted together by one workspace.
struct JobSpec {
  /// "<data centre>.<shard>.<token>", from which any instance can find the
  /// owner. The caller may choose the token; it is random by default.
  std::string id;
  std::string member;
  /// Data centre in which the job runs; the owner of its shard there schedules
  /// it. If it is empty in a submitted job, the instance that receives the job
  /// sets its own data centre.
  std::string home;
  std::vector<TaskSpec> tasks;
};

/// Identity of a task, for logs and calls.
struct TaskId {
  std::string job;
  std::string name;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// "JOB/TASK"
std::string ToString(const TaskId& task);

/// How an attempt ended, as reported by its worker or concluded by the worker's
/// holder or the shard's owner.
enum class AttemptEnd {
  /// Exited with code 0.
  kSucceeded,
  kFailed,
  /// Stopped on order, after a checkpoint if one was requested.
  kStopped,
  /// Proved never to have started.
  kNotStarted,
  /// Ended without a report from the worker: its lease expired or the worker
  /// restarted.
  kLost,
};

std::string_view ToString(AttemptEnd end);

/// Role of an instance in the platform's directory.
enum class InstanceRole { kEntry, kWorker, kBackend };

/// One entry of the platform's directory of instances, which may be outdated.
struct InstanceInfo {
  std::string id;
  InstanceRole role = InstanceRole::kWorker;
  std::string data_centre;
  std::string rack;
  /// IP address and port.
  std::string address;
  /// Entry instances only: IP address and port for calls between instances.
  std::string peer_address;
  /// Whether the platform is shutting the instance down.
  bool leaving = false;
  Labels labels;
  /// Backend servers only: the service, the worker that hosts the server, and
  /// how many requests and connections it accepts at a time.
  std::string service;
  std::string worker;
  int slots = 0;
  int connections = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_TYPES_H_
