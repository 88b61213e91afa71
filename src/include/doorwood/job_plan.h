// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a caller hands in: a job of steps, each of equal tasks.

#ifndef DOORWOOD_JOB_PLAN_H_
#define DOORWOOD_JOB_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/json_codec.h"
#include "doorwood/types.h"

namespace doorwood {

/// Bounds of a plan, so that one job cannot take an instance's memory.
constexpr int kMostTasksOfJob = 20'000;
constexpr int kMostStepsOfJob = 200;
constexpr int kMostTimesOfJob = 10'000;
constexpr size_t kLargestPayload = 4'000;

/// Equal tasks that become ready together.
struct StepPlan {
  int count = 1;
  Resources size;
  /// The caller's rough guess of one task's run time.
  Millis estimate{0};
  /// Earlier steps all of whose tasks must be done first.
  std::vector<int> depends_on;
  /// Tasks save their progress and can continue elsewhere.
  bool checkpoints = false;
  /// Tasks run only all together.
  bool gang = false;
  /// Tasks are slow unless they share a rack.
  bool same_rack = false;
  /// Tasks run until the job is cancelled.
  bool lasting = false;
  /// The processors of these tasks are not reserved; they use what is left.
  bool fills = false;
  /// Copies of a task may run side by side.
  bool duplicates = false;
  /// Label that a worker must have; empty: any.
  std::string required_label;
  /// Rack on which the data lies; empty: none.
  std::string data_rack;
  /// Most tasks of this step on one worker; 0: no bound.
  int most_per_worker = 0;
  /// Most tasks of a lasting step that planned work may take away at a time.
  std::optional<int> may_miss;
  /// Tasks of one image behave alike.
  std::string image;
  /// Bound on the tail of a serving task's answer times; 0: none.
  Millis latency_target{0};
};

struct JobPlan {
  /// Chosen by the caller; unique.
  std::string id;
  std::string queue;
  /// Handed to workers unread.
  std::string payload;
  std::vector<StepPlan> steps;
  /// Above 0: the steps run this many times, time K due at
  /// `first_due` + K * `interval`.
  int times = 0;
  /// Milliseconds since 1970.
  int64_t first_due = 0;
  Millis interval{0};
  /// When the job was accepted, milliseconds since 1970.
  int64_t accepted_at = 0;

  /// How often the steps run in all.
  int repetitions() const { return times > 0 ? times : 1; }
};

/// A sentence that names the field at fault, or nothing if the plan is good.
std::optional<std::string> FindProblem(const JobPlan& plan);

/// Longest chain of work through the steps, with `run_times[i]` for a task of
/// step `i`.
Millis LongestChain(const JobPlan& plan, std::span<const Millis> run_times);

/// Processor time of all tasks of one repetition, in core-seconds, by the
/// caller's estimates.
double EstimatedWork(const JobPlan& plan);

/// Form under which a plan lies in the store.
void to_json(Json& json, const StepPlan& step);
void from_json(const Json& json, StepPlan& step);
void to_json(Json& json, const JobPlan& plan);
void from_json(const Json& json, JobPlan& plan);
/// Nothing if the text is not of that form.
std::optional<JobPlan> ParsePlan(std::string_view text);

}  // namespace doorwood

#endif  // DOORWOOD_JOB_PLAN_H_
