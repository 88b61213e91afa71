// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_policy.h"

#include <algorithm>
#include <array>

namespace doorwood {
namespace {

// Weights of the terms of a worker's score. Most terms lie between 0 and 1, so
// a term with a larger weight usually outweighs those with smaller weights.
constexpr double kDecisiveWeight = 100.0;
constexpr double kStrongWeight = 10.0;
// A step on two racks is slow as a whole, which costs more than one task that
// is far from its data.
constexpr double kRackWeight = 200.0;
// Exceeds the sum of all other terms.
constexpr double kForbiddingWeight = 1000.0;

constexpr double kMillisPerCore = 1000.0;

double ShareUsed(int64_t used, int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(used) / static_cast<double>(capacity)
             : 0.0;
}

bool HasLabel(const CandidateWorker& worker, std::string_view label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

// Also true if the step's tasks need not share a rack, or have none yet.
bool IsInRackOfStep(const StepPlan& step,
                    const TaskRequirements& need,
                    const CandidateWorker& worker) {
  return !step.same_rack || need.rack.empty() || worker.rack == need.rack;
}

// Share of the worker's serving tasks whose image is `image`; 0.5 if the worker
// has no serving task.
double ShareOfImage(const CandidateWorker& worker, ImageId image) {
  constexpr double kEmptyWorker = 0.5;
  if (worker.serving_utilizations.empty()) {
    return kEmptyWorker;
  }
  const auto same = std::count_if(worker.serving_utilizations.begin(),
                                  worker.serving_utilizations.end(),
                                  [image](const ServingUtilization& serving) {
                                    return serving.image == image;
                                  });
  return static_cast<double>(same) /
         static_cast<double>(worker.serving_utilizations.size());
}

// Processors that best-effort work may request on a worker, in thousandths.
double BestEffortCpuBudget(const CandidateWorker& worker,
                           const PolicyOptions& options) {
  const int64_t ordinary = worker.reserved.cpu_millis - worker.serving_cpu;
  const double used =
      static_cast<double>(ordinary) +
      options.serving_cpu_use_ratio * static_cast<double>(worker.serving_cpu);
  return (static_cast<double>(worker.capacity.cpu_millis) - used) *
         options.best_effort_cpu_share;
}

PlaceProblem FindCapacityProblem(const StepPlan& step,
                                 const TaskRequirements& need,
                                 const CandidateWorker& worker,
                                 const InterferenceModel& model,
                                 const PolicyOptions& options) {
  const Resources after = worker.reserved + step.size;
  if (after.memory_mib > worker.capacity.memory_mib) {
    return PlaceProblem::kNoMemory;
  }
  if (after.accelerators > worker.capacity.accelerators) {
    return PlaceProblem::kNoAccelerators;
  }
  if (!step.best_effort) {
    return after.cpu_millis > worker.capacity.cpu_millis ? PlaceProblem::kNoCpu
                                                         : PlaceProblem::kNone;
  }
  const auto asked = static_cast<double>(worker.best_effort_cpu) +
                     static_cast<double>(step.size.cpu_millis);
  if (asked > BestEffortCpuBudget(worker, options)) {
    return PlaceProblem::kNoCpu;
  }
  const double cores =
      static_cast<double>(step.size.cpu_millis) / kMillisPerCore;
  return ExcessUtilization(worker, need.image, cores, model) > 0
             ? PlaceProblem::kDisturbs
             : PlaceProblem::kNone;
}

}  // namespace

int64_t WorkLeft(const Job& job,
                 int repetition,
                 std::span<const Millis> run_times) {
  int64_t work = 0;
  for (size_t step = 0; step < job.plan.steps.size(); ++step) {
    const StepPlan& plan = job.plan.steps[step];
    const int left =
        plan.count - job.repetitions.at(repetition).steps[step].done;
    work += left * plan.size.cpu_millis * run_times[step].count();
  }
  return work;
}

Millis ObjectiveOf(const JobPlan& plan, const Queue& queue) {
  std::vector<Millis> estimates;
  for (const StepPlan& step : plan.steps) {
    estimates.push_back(step.estimate);
  }
  const double chain =
      static_cast<double>(CriticalPathLength(plan, estimates).count());
  return Millis(static_cast<int64_t>(queue.max_slowdown * chain)) +
         queue.latency_target;
}

StepRank RankStep(const JobPlan& plan,
                  const Queue& queue,
                  int step,
                  int64_t due_at,
                  std::span<const Millis> run_times,
                  int64_t work_left,
                  int64_t now,
                  const PolicyOptions& options) {
  if (plan.steps[step].long_running) {
    return {0, queue.priority, due_at};
  }
  const auto chain =
      static_cast<double>(CriticalPathLength(plan, run_times).count());
  const double objective = queue.max_slowdown * chain +
                           static_cast<double>(queue.latency_target.count());
  const int64_t left =
      RemainingCriticalPathLength(plan, step, run_times).count();
  const int64_t latest_on_time =
      due_at + static_cast<int64_t>(objective) - left;
  if (now <= latest_on_time) {
    return {1, queue.priority, work_left};
  }
  const int64_t latest_useful =
      due_at +
      static_cast<int64_t>(objective * options.max_useful_time_factor) - left;
  if (now <= latest_useful) {
    return {2, queue.priority, latest_useful};
  }
  return {3, queue.priority, due_at};
}

int64_t LongRunningCpu(const JobPlan& plan) {
  int64_t cpu = 0;
  for (const StepPlan& step : plan.steps) {
    cpu += step.long_running && !step.best_effort
               ? step.count * step.size.cpu_millis
               : 0;
  }
  return cpu;
}

Millis RemainingCriticalPathLength(const JobPlan& plan,
                                   int step,
                                   std::span<const Millis> run_times) {
  // Longest path from `step` to any end, computed from the last step backwards.
  const size_t count = plan.steps.size();
  std::vector<Millis> remaining(count, Millis(0));
  for (size_t i = count; i-- > 0;) {
    remaining[i] += run_times[i];
    for (const int earlier : plan.steps[i].depends_on) {
      remaining[earlier] = std::max(remaining[earlier], remaining[i]);
    }
  }
  return remaining[step];
}

std::string_view ToString(PlaceProblem problem) {
  constexpr std::array<std::string_view, 12> kNames = {
      "none",       "closed",    "other_service", "step_bound",      "no_label",
      "other_rack", "no_memory", "no_cpu",        "no_accelerators", "disturbs",
      "unchanged",  "no_ticket"};
  return kNames[static_cast<size_t>(problem)];
}

PlaceProblem FindPlaceProblem(const StepPlan& step,
                              const TaskRequirements& need,
                              const CandidateWorker& worker,
                              int tasks_on_worker,
                              const InterferenceModel& model,
                              const PolicyOptions& options) {
  if (!worker.accepts_work) {
    return PlaceProblem::kClosed;
  }
  if (worker.service != need.service) {
    return PlaceProblem::kOtherService;
  }
  if (step.max_per_worker > 0 && tasks_on_worker >= step.max_per_worker) {
    return PlaceProblem::kStepBound;
  }
  if (!step.required_label.empty() && !HasLabel(worker, step.required_label)) {
    return PlaceProblem::kNoLabel;
  }
  if (need.rack_required && !IsInRackOfStep(step, need, worker)) {
    return PlaceProblem::kOtherRack;
  }
  const PlaceProblem problem =
      FindCapacityProblem(step, need, worker, model, options);
  return problem == PlaceProblem::kNone && !worker.has_ticket
             ? PlaceProblem::kNoTicket
             : problem;
}

double PlaceScore(const StepPlan& step,
                  const TaskRequirements& need,
                  const CandidateWorker& worker,
                  const InterferenceModel& model) {
  double score = 0;
  if (!step.data_rack.empty() && HasLabel(worker, step.data_rack)) {
    score += kDecisiveWeight;
  }
  if (step.same_rack && IsInRackOfStep(step, need, worker)) {
    score += kRackWeight;
  }
  const double reserved =
      ShareUsed(worker.reserved.cpu_millis, worker.capacity.cpu_millis);
  const double best_effort_share =
      ShareUsed(worker.best_effort_cpu, worker.capacity.cpu_millis);
  if (step.latency_target > Millis(0)) {
    // Serving tasks are packed on one worker after another, which leaves whole
    // workers to best-effort work. Among equally full workers, tasks of one
    // image stay together, so that more kinds of best-effort work find a worker
    // on which they disturb no serving task.
    score += kStrongWeight * reserved;
    score += ShareOfImage(worker, need.image);
    score -= best_effort_share;
  } else if (step.best_effort) {
    // Prefer workers whose serving tasks keep the most headroom and whose
    // best-effort work requests few processors; both terms have equal weight.
    const double cores =
        static_cast<double>(step.size.cpu_millis) / kMillisPerCore;
    score -= worker.serving_utilizations.empty()
                 ? 0.0
                 : 1.0 + ExcessUtilization(worker, need.image, cores, model);
    score -= best_effort_share;
  } else {
    // Other tasks avoid workers with best-effort work and fill up the fullest
    // ones first, which leaves whole workers to best-effort work.
    score -= kStrongWeight * best_effort_share;
    score += reserved;
  }
  if (worker.set_aside) {
    // A run with checkpoints loses little when it fails, and shows whether the
    // worker works again. Any other task goes there only if no other worker
    // can take it.
    const bool saves = step.checkpoints && !step.long_running;
    score += saves ? kDecisiveWeight : -kForbiddingWeight;
  }
  return score;
}

double ExcessUtilization(const CandidateWorker& worker,
                         ImageId image,
                         double cores,
                         const InterferenceModel& model) {
  double excess = -1.0;
  for (const ServingUtilization& serving : worker.serving_utilizations) {
    const double added =
        model.InterferencePerCore(serving.image, image) * cores;
    excess =
        std::max(excess, serving.utilization + added - serving.max_utilization);
  }
  return excess;
}

void WorkerQuarantine::OnSuccess(const std::string& worker) {
  records_.erase(worker);
}

void WorkerQuarantine::OnFailure(const std::string& worker,
                                 std::string_view job,
                                 Instant now) {
  Record& record = records_[worker];
  record.failures.insert_or_assign(std::string(job), now);
  std::erase_if(record.failures, [&](const auto& entry) {
    return now - entry.second > options_.failure_window;
  });
  if (static_cast<int>(record.failures.size()) >=
      options_.quarantine_failures) {
    record.quarantined_until = now + options_.quarantine_period;
  }
}

void WorkerQuarantine::OnStart(const std::string& worker, Instant now) {
  const auto found = records_.find(worker);
  if (found == records_.end() || found->second.quarantined_until == Instant{}) {
    return;
  }
  // The quarantine, or the probe interval after the last start, ended more than
  // a failure window ago, and no new quarantine began. The worker counts as
  // healthy again.
  if (now > found->second.quarantined_until + options_.failure_window) {
    records_.erase(found);
    return;
  }
  found->second.quarantined_until =
      std::max(found->second.quarantined_until, now + options_.probe_interval);
}

bool WorkerQuarantine::AllowsStart(const std::string& worker,
                                   Instant now) const {
  const auto found = records_.find(worker);
  return found == records_.end() || now >= found->second.quarantined_until;
}

void WorkerQuarantine::RemoveWorker(const std::string& worker) {
  records_.erase(worker);
}

}  // namespace doorwood
