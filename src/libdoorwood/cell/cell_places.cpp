// SPDX-License-Identifier: Apache-2.0

// The workers as the scheduler sees them: the free capacity of each worker, the
// evaluation of workers for a step, and the logging of steps that can't be
// placed.

#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A worker's free capacity is recomputed at least this often, even without a
// new report, because the estimated load of a new run changes with its age.
constexpr Millis kMaxRoomAge{200};
// Interval between log lines about the same step that can't be placed.
constexpr Millis kWaitLogInterval{1500};
// Minimum pause between such lines of any step. Each line evaluates all workers
// once more, which must stay a small part of the cost of scheduling passes.
constexpr Millis kMinPauseBetweenWaitLogs{50};

std::string_view RackOf(const WorkerIncarnation& incarnation) {
  return incarnation.labels.empty() ? std::string_view()
                                    : incarnation.labels.back();
}

}  // namespace

void CellLeader::RefreshCandidate(const std::string& id,
                                  CellWorker* cell_worker) {
  const WorkerSession& session = *cell_worker->session;
  const Instant now = executor_.Now();
  if (cell_worker->candidate_version == session.version() &&
      now - cell_worker->candidate_at < kMaxRoomAge) {
    return;
  }
  const WorkerIncarnation& incarnation = session.incarnation();
  WorkerRoom& room = cell_worker->candidate;
  room.id = id;
  room.service = incarnation.service;
  room.rack = RackOf(incarnation);
  room.labels = incarnation.labels;
  room.capacity = incarnation.capacity;
  room.reserved = session.reserved();
  room.best_effort_cpu = session.best_effort_cpu();
  room.serving = session.serving_runs();
  room.serving_cpu = session.serving_cpu();
  room.strains = CollectUtilizations(session);
  room.changed_in = pass_;
  cell_worker->candidate_version = session.version();
  cell_worker->candidate_at = now;
}

bool CellLeader::MayReceiveOrders(const CellWorker& cell_worker) const {
  const WorkerSession& session = *cell_worker.session;
  return IsAddressRecorded(cell_worker) && !cell_worker.renewals_blocked &&
         !cell_worker.starts_blocked && cell_worker.listed &&
         session.responsive() && !session.incarnation().draining &&
         executor_.Now() >= cell_worker.evacuated_until &&
         !IsInClosedDataCentre(cell_worker);
}

bool CellLeader::MayReceiveNewWork(const std::string& id,
                                   const CellWorker& cell_worker) const {
  const Instant now = executor_.Now();
  return MayReceiveOrders(cell_worker) &&
         !cell_worker.session->has_unwanted_runs() &&
         now >= cell_worker.backoff_until && trust_.Allows(id, now);
}

std::vector<WorkerRoom*> CellLeader::CollectCandidates() {
  std::vector<WorkerRoom*> rooms;
  rooms.reserve(cell_workers_.size());
  for (auto& [id, cell_worker] : cell_workers_) {
    RefreshCandidate(id, &cell_worker);
    const bool open = MayReceiveNewWork(id, cell_worker) && !trials_.Keeps(id);
    if (open != cell_worker.candidate.open) {
      cell_worker.candidate.open = open;
      cell_worker.candidate.changed_in = pass_;
    }
    rooms.push_back(&cell_worker.candidate);
  }
  return rooms;
}

std::string CellLeader::RackOfStep(const Job& job, int time, int step) const {
  const std::string name = StepName(job, time, step);
  for (const auto& [id, cell_worker] : cell_workers_) {
    if (cell_worker.session->CountOfStep(name) > 0) {
      return std::string(RackOf(cell_worker.session->incarnation()));
    }
  }
  return "";
}

void CellLeader::EvaluatePlace(const ReadyStep& ready,
                               const TaskNeed& need,
                               const WorkerRoom& room,
                               size_t place,
                               int planned,
                               StepPlaces* places) const {
  places->Judge(place, need, planned);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  if (plan.most_per_worker == 0 || !places->IsGood(place)) {
    return;
  }
  const auto cell_worker = cell_workers_.find(std::string(room.id));
  const std::string step = StepName(*ready.job, ready.time, ready.step);
  const int on_worker = cell_worker->second.session->CountOfStep(step);
  if (on_worker > 0) {
    places->Judge(place, need, on_worker + planned);
  }
}

void CellLeader::EvaluateChangedPlaces(const ReadyStep& ready,
                                       const TaskNeed& need,
                                       const std::vector<WorkerRoom*>& rooms,
                                       uint64_t pass,
                                       StepPlaces* places) const {
  for (size_t place = 0; place < rooms.size(); ++place) {
    if (rooms[place]->changed_in > pass) {
      EvaluatePlace(ready, need, *rooms[place], place, /*planned=*/0, places);
    }
  }
}

bool CellLeader::ShouldLogWaitingStep(const ReadyStep& ready) {
  ++waiting_steps_;
  const Instant now = executor_.Now();
  StepState& step = ready.job->times[ready.time].steps[ready.step];
  if (now - step.waiting_told < kWaitLogInterval ||
      now - waiting_logged_ < kMinPauseBetweenWaitLogs) {
    return false;
  }
  const bool first = step.waiting_told == Instant{};
  step.waiting_told = now;
  if (!first) {
    waiting_logged_ = now;
  }
  return !first;  // The first time, the step has only just begun to wait.
}

void CellLeader::LogWaitingStep(const Task& task,
                                const StepRank& rank,
                                const ProblemCounts& problems) {
  const StepPlan& plan = task.plan();
  Json counts = Json::object();
  for (const auto& [problem, count] : problems) {
    counts[std::string(ToString(problem))] = count;
  }
  log_.Write("info", "cell", "step is waiting for a worker with free capacity",
             {{"task", task.name()},
              {"rank", rank.group},
              {"steps_ahead", waiting_steps_ - 1},
              {"waited_ms", std::chrono::duration_cast<Millis>(executor_.Now() -
                                                               task.ready_since)
                                .count()},
              {"cpu", plan.size.cpu_millis},
              {"memory", plan.size.memory_mib},
              {"most_per_worker", plan.most_per_worker},
              {"workers", std::move(counts)}});
}

}  // namespace doorwood
