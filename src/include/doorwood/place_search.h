// SPDX-License-Identifier: Apache-2.0

/// \file
/// Search for workers for the tasks of one step, without evaluating every
/// worker for every task. If a task found no worker, a task of the same
/// kind that is at least as large need later be tried only on workers that have
/// changed since (see FailedPlacements).

#ifndef DOORWOOD_PLACE_SEARCH_H_
#define DOORWOOD_PLACE_SEARCH_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/cell_policy.h"

namespace doorwood {

constexpr int kNoWorker = -1;

/// Number of workers that cannot take a task, by reason.
using ProblemCounts = std::map<PlaceProblem, int>;

/// The workers as candidates for the tasks of one step. Keeps the result of
/// each evaluation, so that the caller need not evaluate every worker for every
/// task of the step. The caller evaluates a worker again after the worker has
/// changed, for example because a task was placed there. According to a
/// profile, a leader of 490 workers spent half of its processor time on
/// evaluating each worker for each task.
class StepCandidates {
 public:
  /// All of `workers` count as unchanged, and therefore unsuitable, until they
  /// are evaluated. The arguments must outlive this object.
  StepCandidates(const StepPlan& step,
                 std::span<CandidateWorker* const> workers,
                 const InterferenceModel& model,
                 const PolicyOptions& options);

  /// Evaluates one worker. `tasks_on_worker` is the number of the step's tasks
  /// there.
  void Evaluate(size_t index,
                const TaskRequirements& need,
                int tasks_on_worker);
  /// Whether the task may run there.
  bool IsSuitable(size_t index) const;
  /// Index of the best suitable worker, or kNoWorker. `avoid` is returned only
  /// if no other worker is suitable.
  int Best(std::string_view avoid) const;
  ProblemCounts CountProblems() const;

 private:
  const StepPlan& step_;
  const std::span<CandidateWorker* const> workers_;
  const InterferenceModel& model_;
  const PolicyOptions& options_;
  std::vector<PlaceProblem> problems_;
  std::vector<double> scores_;
};

/// Remembers which tasks found no worker, and in which pass. A task of the same
/// kind that is at least as large is not tried again on workers that have not
/// changed since.
class FailedPlacements {
 public:
  /// The newest pass in which a task of the same kind, no larger than `step`'s,
  /// found no worker of `service`; 0: none.
  uint64_t LastFailedPass(const StepPlan& step, std::string_view service) const;
  /// Records that a task of `step` found no worker in `pass`. Records nothing
  /// if constraints other than the step's size and kind may have ruled out
  /// workers.
  void Add(const StepPlan& step, std::string_view service, uint64_t pass);

 private:
  struct Entry {
    std::string service;
    bool best_effort = false;
    /// Compared only for best-effort work, whose placement depends on its
    /// interference.
    std::string image;
    Resources size;
    uint64_t pass = 0;
  };

  /// Whether a failure of `entry` rules out workers for `step` too, if `step`
  /// is at least as large. Entries come from steps without label, rack or
  /// per-worker limits. Such limits of `step` can only rule out more workers,
  /// so they are not compared.
  static bool IsSameKind(const Entry& entry,
                         const StepPlan& step,
                         std::string_view service);

  std::vector<Entry> entries_;
};

}  // namespace doorwood

#endif  // DOORWOOD_PLACE_SEARCH_H_
