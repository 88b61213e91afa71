// SPDX-License-Identifier: Apache-2.0

/// \file
/// Finding places for the tasks of one step without judging every worker for
/// every task, nor again in the next pass where nothing has changed.

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

/// How many workers can't take a task, by reason.
using ProblemCounts = std::map<PlaceProblem, int>;

/// The workers as the tasks of one step see them. A worker is judged once, and
/// again only where a task was placed: by a profile, a leader of 490 workers
/// spent half of its processor time on judging each of them for each task.
class StepPlaces {
 public:
  /// All of `rooms` count as unchanged, and so as no good, until they are
  /// judged. The arguments must outlive this.
  StepPlaces(const StepPlan& step,
             std::span<WorkerRoom* const> rooms,
             const InterferenceModel& model,
             const PolicyOptions& options);

  /// `on_worker`: tasks of the step that are there already.
  void Judge(size_t place, const TaskNeed& need, int on_worker);
  /// The task may run there.
  bool IsGood(size_t place) const;
  /// The best place judged good; the worker `avoid` only if there is no other.
  /// kNoWorker: there is none.
  int Best(std::string_view avoid) const;
  ProblemCounts CountProblems() const;

 private:
  const StepPlan& step_;
  const std::span<WorkerRoom* const> rooms_;
  const InterferenceModel& model_;
  const PolicyOptions& options_;
  std::vector<PlaceProblem> problems_;
  std::vector<double> scores_;
};

/// What found no place, and in which pass: no task of the same sort that is at
/// least as large is tried again on workers that have not changed since.
class HopelessFits {
 public:
  /// The newest pass in which something no larger found no place on any worker
  /// of `service`; 0: none.
  uint64_t TriedIn(const StepPlan& step, std::string_view service) const;
  /// `step` found no place in `pass`. Kept only if nothing but its size and
  /// sort ruled workers out.
  void Add(const StepPlan& step, std::string_view service, uint64_t pass);

 private:
  struct Fit {
    std::string service;
    bool fills = false;
    /// Of filling work, whose places depend on what it disturbs.
    std::string image;
    Resources size;
    uint64_t pass = 0;
  };

  /// A place for one of the two depends on size alone.
  static bool IsSameSort(const Fit& fit,
                         const StepPlan& step,
                         std::string_view service);

  std::vector<Fit> fits_;
};

}  // namespace doorwood

#endif  // DOORWOOD_PLACE_SEARCH_H_
