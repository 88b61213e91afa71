// SPDX-License-Identifier: Apache-2.0

// The workers as the scheduler sees them: the free capacity of each worker, the
// evaluation of workers for a step, and the logging of steps that can't be
// placed.

#include <utility>

#include "doorwood/cell_leader.h"

namespace doorwood {
namespace {

// A scheduling pass recomputes a worker's free capacity once it is this old,
// even without a new report, because the estimated load of a new run changes
// with the run's age.
constexpr Millis kMaxCandidateAge{200};
// Minimum interval between log lines about the same step that can't be placed,
// and before the first of them.
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
      now - cell_worker->candidate_at < kMaxCandidateAge) {
    return;
  }
  const WorkerIncarnation& incarnation = session.incarnation();
  CandidateWorker& candidate = cell_worker->candidate;
  candidate.id = id;
  candidate.service = incarnation.service;
  candidate.rack = RackOf(incarnation);
  candidate.labels = incarnation.labels;
  candidate.capacity = incarnation.capacity;
  candidate.reserved = session.reserved();
  candidate.best_effort_cpu = session.best_effort_cpu();
  candidate.serving = session.serving_runs();
  candidate.serving_cpu = session.serving_cpu();
  candidate.serving_utilizations = CollectUtilizations(session);
  candidate.last_changed_pass = pass_;
  cell_worker->candidate_version = session.version();
  cell_worker->candidate_at = now;
}

bool CellLeader::MayReceiveStarts(const CellWorker& cell_worker) const {
  const WorkerSession& session = *cell_worker.session;
  return IsIncarnationRecorded(cell_worker) &&
         order_limits_.MayExtendLeases(cell_worker.renewals_blocked,
                                       executor_.Now()) &&
         !cell_worker.starts_blocked && cell_worker.listed &&
         session.responsive() && !session.incarnation().draining &&
         executor_.Now() >= cell_worker.evacuated_until &&
         !IsInClosedDataCentre(cell_worker);
}

bool CellLeader::MayReceiveNewWork(const std::string& id,
                                   const CellWorker& cell_worker) const {
  const Instant now = executor_.Now();
  return MayReceiveStarts(cell_worker) &&
         !cell_worker.session->has_unwanted_runs() &&
         !cell_worker.session->is_slow_to_answer() &&
         now >= cell_worker.backoff_until && quarantine_.AllowsStart(id, now) &&
         reliability_.AllowsStart(id, cell_worker.session->runs().size());
}

std::vector<CandidateWorker*> CellLeader::CollectCandidates() {
  std::vector<CandidateWorker*> candidates;
  candidates.reserve(cell_workers_.size());
  for (auto& [id, cell_worker] : cell_workers_) {
    RefreshCandidate(id, &cell_worker);
    const bool open =
        MayReceiveNewWork(id, cell_worker) && !trials_.IsReserved(id);
    const bool set_aside = reliability_.IsSetAside(id);
    if (open != cell_worker.candidate.accepts_work ||
        set_aside != cell_worker.candidate.set_aside) {
      cell_worker.candidate.accepts_work = open;
      cell_worker.candidate.set_aside = set_aside;
      cell_worker.candidate.last_changed_pass = pass_;
    }
    candidates.push_back(&cell_worker.candidate);
  }
  return candidates;
}

void CellLeader::EvaluatePlace(const ReadyStep& ready,
                               const TaskRequirements& need,
                               const CandidateWorker& candidate,
                               size_t place,
                               int planned,
                               StepCandidates* places) const {
  places->Evaluate(place, need, planned);
  const StepPlan& plan = ready.job->plan.steps[ready.step];
  if (plan.max_per_worker == 0 || !places->IsSuitable(place)) {
    return;
  }
  const auto cell_worker = cell_workers_.find(std::string(candidate.id));
  const std::string step = StepName(*ready.job, ready.repetition, ready.step);
  const int on_worker = cell_worker->second.session->CountRunsOfStep(step);
  if (on_worker > 0) {
    places->Evaluate(place, need, on_worker + planned);
  }
}

void CellLeader::EvaluateChangedPlaces(
    const ReadyStep& ready,
    const TaskRequirements& need,
    const std::vector<CandidateWorker*>& candidates,
    uint64_t pass,
    StepCandidates* places) const {
  size_t visited = 0;
  EvaluatePlaces(ready, need, candidates, pass, candidates.size(), &visited,
                 places);
}

void CellLeader::EvaluatePlaces(const ReadyStep& ready,
                                const TaskRequirements& need,
                                const std::vector<CandidateWorker*>& candidates,
                                uint64_t pass,
                                size_t enough,
                                size_t* visited,
                                StepCandidates* places) const {
  size_t suitable = 0;
  for (; *visited < candidates.size() && suitable < enough; ++*visited) {
    const size_t place = *visited;
    if (candidates[place]->last_changed_pass > pass) {
      EvaluatePlace(ready, need, *candidates[place], place, /*planned=*/0,
                    places);
      suitable += places->IsSuitable(place) ? 1 : 0;
    }
  }
}

bool CellLeader::NoteWaitingStep(const ReadyStep& ready) {
  ++waiting_steps_;
  if (!ready.job->plan.steps[ready.step].best_effort) {
    services_with_waiting_steps_.insert(QueueOf(*ready.job)->service);
  }
  const Instant now = executor_.Now();
  StepState& step =
      ready.job->repetitions.at(ready.repetition).steps[ready.step];
  if (now - step.waiting_logged_at < kWaitLogInterval ||
      now - waiting_logged_ < kMinPauseBetweenWaitLogs) {
    return false;
  }
  const bool first = step.waiting_logged_at == Instant{};
  step.waiting_logged_at = now;
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
  log_.Write("info", "cell", "step is waiting for a suitable worker",
             {{"task", task.name()},
              {"rank", rank.urgency_class},
              {"steps_ahead", waiting_steps_ - 1},
              {"waited_ms", std::chrono::duration_cast<Millis>(executor_.Now() -
                                                               task.ready_since)
                                .count()},
              {"cpu", plan.size.cpu_millis},
              {"memory", plan.size.memory_mib},
              {"most_per_worker", plan.max_per_worker},
              {"workers", std::move(counts)}});
}

}  // namespace doorwood
