// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_policy.h"

#include <algorithm>
#include <array>

namespace doorwood {
namespace {

// Scores of places are sums of terms that lie between 0 and 1, weighted so
// that an earlier term decides before a later one.
constexpr double kDecides = 100.0;
constexpr double kMatters = 10.0;
constexpr double kMillis = 1000.0;

double ShareUsed(int64_t used, int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(used) / static_cast<double>(capacity)
             : 0.0;
}

bool HasLabel(const WorkerRoom& worker, std::string_view label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

// 1: all serving tasks there are of `image`; 0: none is; half: there are none.
double ShareOfImage(const WorkerRoom& worker, ImageId image) {
  constexpr double kEmptyWorker = 0.5;
  if (worker.strains.empty()) {
    return kEmptyWorker;
  }
  const auto same = std::count_if(
      worker.strains.begin(), worker.strains.end(),
      [image](const ServingStrain& serving) { return serving.image == image; });
  return static_cast<double>(same) / static_cast<double>(worker.strains.size());
}

// Processors that filling work may ask for on a worker.
double FillBudget(const WorkerRoom& worker, const PolicyOptions& options) {
  const int64_t ordinary = worker.reserved.cpu_millis - worker.serving_cpu;
  const double used =
      static_cast<double>(ordinary) +
      options.serving_use * static_cast<double>(worker.serving_cpu);
  return (static_cast<double>(worker.capacity.cpu_millis) - used) *
         options.fill_share;
}

PlaceProblem FindRoomProblem(const StepPlan& step,
                             const TaskNeed& need,
                             const WorkerRoom& worker,
                             const InterferenceModel& model,
                             const PolicyOptions& options) {
  const Resources after = worker.reserved + step.size;
  if (after.memory_mib > worker.capacity.memory_mib) {
    return PlaceProblem::kNoMemory;
  }
  if (after.accelerators > worker.capacity.accelerators) {
    return PlaceProblem::kNoAccelerators;
  }
  if (!step.fills) {
    return after.cpu_millis > worker.capacity.cpu_millis ? PlaceProblem::kNoCpu
                                                         : PlaceProblem::kNone;
  }
  const auto asked = static_cast<double>(worker.fill_cpu) +
                     static_cast<double>(step.size.cpu_millis);
  if (asked > FillBudget(worker, options)) {
    return PlaceProblem::kNoCpu;
  }
  const double cores = static_cast<double>(step.size.cpu_millis) / kMillis;
  return ExcessStrain(worker, need.image, cores, model) > 0
             ? PlaceProblem::kDisturbs
             : PlaceProblem::kNone;
}

}  // namespace

int64_t WorkLeft(const Job& job, int time, std::span<const Millis> run_times) {
  int64_t work = 0;
  for (size_t step = 0; step < job.plan.steps.size(); ++step) {
    const StepPlan& plan = job.plan.steps[step];
    const int left = plan.count - job.times[time].steps[step].done;
    work += left * plan.size.cpu_millis * run_times[step].count();
  }
  return work;
}

StepRank RankStep(const JobPlan& plan,
                  const Queue& queue,
                  int step,
                  int64_t due_at,
                  std::span<const Millis> run_times,
                  int64_t work_left,
                  int64_t now,
                  const PolicyOptions& options) {
  if (plan.steps[step].lasting) {
    return {0, queue.priority, due_at};
  }
  const auto chain = static_cast<double>(LongestChain(plan, run_times).count());
  const double objective =
      queue.stretch * chain + static_cast<double>(queue.latency_target.count());
  const int64_t left = RemainingChain(plan, step, run_times).count();
  const int64_t on_time = due_at + static_cast<int64_t>(objective) - left;
  if (now <= on_time) {
    return {1, queue.priority, work_left};
  }
  const int64_t useful =
      due_at + static_cast<int64_t>(objective * options.hopeless_factor) - left;
  if (now <= useful) {
    return {2, queue.priority, useful};
  }
  return {3, queue.priority, due_at};
}

int64_t LastingCpu(const JobPlan& plan) {
  int64_t cpu = 0;
  for (const StepPlan& step : plan.steps) {
    cpu += step.lasting && !step.fills ? step.count * step.size.cpu_millis : 0;
  }
  return cpu;
}

Millis RemainingChain(const JobPlan& plan,
                      int step,
                      std::span<const Millis> run_times) {
  // Longest path from `step` to any end, by walking later steps backwards.
  const size_t count = plan.steps.size();
  std::vector<Millis> rest(count, Millis(0));
  for (size_t i = count; i-- > 0;) {
    rest[i] += run_times[i];
    for (const int earlier : plan.steps[i].depends_on) {
      rest[earlier] = std::max(rest[earlier], rest[i]);
    }
  }
  return rest[step];
}

std::string_view ToString(PlaceProblem problem) {
  constexpr std::array<std::string_view, 11> kWords = {
      "none",       "closed",    "other_service", "step_bound",      "no_label",
      "other_rack", "no_memory", "no_cpu",        "no_accelerators", "disturbs",
      "unchanged"};
  return kWords[static_cast<size_t>(problem)];
}

PlaceProblem FindPlaceProblem(const StepPlan& step,
                              const TaskNeed& need,
                              const WorkerRoom& worker,
                              int on_worker,
                              const InterferenceModel& model,
                              const PolicyOptions& options) {
  if (!worker.open) {
    return PlaceProblem::kClosed;
  }
  if (worker.service != need.service) {
    return PlaceProblem::kOtherService;
  }
  if (step.most_per_worker > 0 && on_worker >= step.most_per_worker) {
    return PlaceProblem::kStepBound;
  }
  if (!step.required_label.empty() && !HasLabel(worker, step.required_label)) {
    return PlaceProblem::kNoLabel;
  }
  if (step.same_rack && !need.rack.empty() && worker.rack != need.rack) {
    return PlaceProblem::kOtherRack;
  }
  return FindRoomProblem(step, need, worker, model, options);
}

double PlaceScore(const StepPlan& step,
                  const TaskNeed& need,
                  const WorkerRoom& worker,
                  const InterferenceModel& model) {
  double score = 0;
  if (!step.data_rack.empty() && HasLabel(worker, step.data_rack)) {
    score += kDecides;
  }
  const double reserved =
      ShareUsed(worker.reserved.cpu_millis, worker.capacity.cpu_millis);
  const double filled = ShareUsed(worker.fill_cpu, worker.capacity.cpu_millis);
  if (step.latency_target > Millis(0)) {
    // Worker after worker is filled up, so that whole ones stay free for what
    // fills; among equals tasks of one image stay together, so that more kinds
    // of filling work find a worker where they disturb nobody.
    score += kMatters * reserved;
    score += ShareOfImage(worker, need.image);
    score -= filled;
  } else if (step.fills) {
    // To where it disturbs least and most processors are left.
    const double cores = static_cast<double>(step.size.cpu_millis) / kMillis;
    score -= worker.strains.empty()
                 ? 0.0
                 : 1.0 + ExcessStrain(worker, need.image, cores, model);
    score -= filled;
  } else {
    // Short ordinary work leaves whole workers to what fills.
    score -= kMatters * filled;
    score += reserved;
  }
  return score;
}

double ExcessStrain(const WorkerRoom& worker,
                    ImageId image,
                    double cores,
                    const InterferenceModel& model) {
  double excess = -1.0;
  for (const ServingStrain& serving : worker.strains) {
    const double added = model.Press(serving.image, image) * cores;
    excess = std::max(excess, serving.strain + added - serving.wanted);
  }
  return excess;
}

void WorkerTrust::OnSuccess(const std::string& worker) {
  records_.erase(worker);
}

void WorkerTrust::OnFailure(const std::string& worker,
                            std::string_view job,
                            Instant now) {
  Record& record = records_[worker];
  record.failures.insert_or_assign(std::string(job), now);
  std::erase_if(record.failures, [&](const auto& entry) {
    return now - entry.second > options_.failure_memory;
  });
  if (static_cast<int>(record.failures.size()) >= options_.failures_to_rest) {
    record.rests_until = now + options_.rest;
  }
}

void WorkerTrust::OnStart(const std::string& worker, Instant now) {
  const auto found = records_.find(worker);
  if (found == records_.end() || found->second.rests_until == Instant{}) {
    return;
  }
  // A probe that nobody heard fail gives the worker its trust back.
  if (now > found->second.rests_until + options_.failure_memory) {
    records_.erase(found);
    return;
  }
  found->second.rests_until =
      std::max(found->second.rests_until, now + options_.probe_interval);
}

bool WorkerTrust::Allows(const std::string& worker, Instant now) const {
  const auto found = records_.find(worker);
  return found == records_.end() || now >= found->second.rests_until;
}

void WorkerTrust::Forget(const std::string& worker) {
  records_.erase(worker);
}

}  // namespace doorwood
