// SPDX-License-Identifier: Apache-2.0

/// \file
/// Room for the tasks of one step on several workers together: how many tasks a
/// worker can take, and for which workers the step needs tickets. Pure
/// decisions: no calls, no clock.

#ifndef DOORWOOD_STEP_ROOM_H_
#define DOORWOOD_STEP_ROOM_H_

#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "doorwood/cell_policy.h"
#include "doorwood/ticket_naming.h"

namespace doorwood {

/// A step and the workers on which its tasks may be placed. The referenced
/// objects must outlive this one.
struct StepPlacement {
  const StepPlan& plan;
  TaskRequirements need;
  std::span<CandidateWorker* const> candidates;
  /// Number of the step's runs on a worker.
  std::function<int(std::string_view worker)> runs_on;
  /// Whether there is a ticket for the step on a worker.
  std::function<bool(std::string_view worker)> has_ticket;
  const InterferenceModel& model;
  const PolicyOptions& options;
};

/// Number of the step's runs on the worker; 0 if nothing depends on it.
int RunsOn(const StepPlacement& step, const CandidateWorker& worker);

/// The result of FindPlaceProblem for the step on the worker.
PlaceProblem FindProblemOf(const StepPlacement& step,
                           const TaskRequirements& need,
                           const CandidateWorker& worker,
                           int runs_on_worker);

/// Number of tasks of the step, at most `most`, that the worker can take. For
/// best-effort work at most 1, since the effect of further tasks on serving
/// tasks is not known. `problem`: the result of FindPlaceProblem; the worker
/// counts as suitable if that is kNone or kNoTicket.
int CountFittingTasks(const StepPlan& plan,
                      const CandidateWorker& worker,
                      PlaceProblem problem,
                      int runs_on_worker,
                      int most);

/// As CountFittingTasks, if the worker had no other work and were suitable.
int CountFittingWhenEmpty(const StepPlan& plan,
                          const CandidateWorker& worker,
                          int runs_on_worker,
                          int most);

/// A copy of the step's candidates with `CandidateWorker::has_ticket` set.
std::vector<CandidateWorker> MarkTickets(const StepPlacement& step);

/// What `tasks` tasks of the step need of the adviser: tickets for workers that
/// can take some of them now and have none. No tickets are needed (`tasks` is
/// 0) if workers with tickets can take all tasks. A gang needs none either
/// while all suitable workers together cannot take it.
TicketDemand FindTicketDemand(const StepPlacement& step, int tasks);

}  // namespace doorwood

#endif  // DOORWOOD_STEP_ROOM_H_
