// SPDX-License-Identifier: Apache-2.0

#include "doorwood/cell_policy.h"

#include <algorithm>

namespace doorwood {
namespace {

// Scores of places are sums of terms that lie between 0 and 1, weighted so
// that an earlier term decides before a later one.
constexpr double kDecides = 100.0;
constexpr double kMatters = 10.0;

double ShareUsed(int64_t used, int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(used) / static_cast<double>(capacity)
             : 0.0;
}

bool HasLabel(const WorkerRoom& worker, std::string_view label) {
  return std::find(worker.labels.begin(), worker.labels.end(), label) !=
         worker.labels.end();
}

int64_t UnreservedCpu(const WorkerRoom& worker) {
  return worker.capacity.cpu_millis - worker.reserved.cpu_millis;
}

bool HasRoom(const StepPlan& step,
             const WorkerRoom& worker,
             const PolicyOptions& options) {
  Resources need = step.size;
  if (step.fills) {
    need.cpu_millis = 0;
  }
  if (!Fits(worker.reserved + need, worker.capacity)) {
    return false;
  }
  if (!step.fills) {
    return true;
  }
  const double left =
      static_cast<double>(UnreservedCpu(worker)) * options.fill_share;
  return worker.serving == 0 &&
         static_cast<double>(worker.fill_cpu + step.size.cpu_millis) <= left;
}

}  // namespace

StepRank RankStep(const JobPlan& plan,
                  const Queue& queue,
                  bool lasting,
                  int64_t due_at,
                  Millis remaining_chain,
                  int64_t now,
                  const PolicyOptions& options) {
  if (lasting) {
    return {0, queue.priority, due_at};
  }
  const auto chain = static_cast<double>(LongestChain(plan).count());
  const double objective =
      queue.stretch * chain + static_cast<double>(queue.latency_target.count());
  const int64_t left = remaining_chain.count();
  const int64_t on_time = due_at + static_cast<int64_t>(objective) - left;
  if (now <= on_time) {
    return {1, queue.priority, on_time};
  }
  const int64_t useful =
      due_at + static_cast<int64_t>(objective * options.hopeless_factor) - left;
  if (now <= useful) {
    return {2, queue.priority, useful};
  }
  return {3, queue.priority, due_at};
}

Millis RemainingChain(const JobPlan& plan, int step) {
  // Longest path from `step` to any end, by walking later steps backwards.
  const size_t count = plan.steps.size();
  std::vector<Millis> rest(count, Millis(0));
  for (size_t i = count; i-- > 0;) {
    rest[i] += plan.steps[i].estimate;
    for (const int earlier : plan.steps[i].depends_on) {
      rest[earlier] = std::max(rest[earlier], rest[i]);
    }
  }
  return rest[step];
}

bool MayRun(const StepPlan& step,
            const TaskNeed& need,
            const WorkerRoom& worker,
            int on_worker,
            const PolicyOptions& options) {
  if (!worker.open || worker.service != need.service) {
    return false;
  }
  if (step.most_per_worker > 0 && on_worker >= step.most_per_worker) {
    return false;
  }
  if (!step.required_label.empty() && !HasLabel(worker, step.required_label)) {
    return false;
  }
  if (step.same_rack && !need.rack.empty() && worker.rack != need.rack) {
    return false;
  }
  return HasRoom(step, worker, options);
}

double PlaceScore(const StepPlan& step,
                  const TaskNeed& need,
                  const WorkerRoom& worker) {
  double score = 0;
  if (!need.avoid.empty() && worker.id == need.avoid) {
    score -= kDecides * kDecides;
  }
  if (!step.data_rack.empty() && HasLabel(worker, step.data_rack)) {
    score += kDecides;
  }
  const double reserved =
      ShareUsed(worker.reserved.cpu_millis, worker.capacity.cpu_millis);
  const double filled = ShareUsed(worker.fill_cpu, worker.capacity.cpu_millis);
  if (step.latency_target > Millis(0)) {
    // Serving work stays together, apart from what fills.
    score += worker.serving > 0 ? kMatters : 0.0;
    score -= kMatters * filled;
    score += reserved;
  } else if (step.fills) {
    // To where most processors are left.
    score -= reserved + filled;
  } else {
    // Short ordinary work leaves whole workers to what fills.
    score -= kMatters * filled;
    score += reserved;
  }
  return score;
}

int NextPace(int pace, double worst_share, const PolicyOptions& options) {
  constexpr int kFull = 100;
  if (worst_share >= 1.0) {
    return 0;
  }
  if (worst_share > options.tail_high) {
    return std::max(0, pace / 2);
  }
  if (worst_share < options.tail_low) {
    return std::min(kFull, pace + options.pace_step);
  }
  return pace;
}

void WorkerTrust::OnSuccess(const std::string& worker) {
  records_.erase(worker);
}

void WorkerTrust::OnFailure(const std::string& worker,
                            std::string_view job,
                            Instant now) {
  Record& record = records_[worker];
  record.failed_jobs.emplace(job);
  if (static_cast<int>(record.failed_jobs.size()) >=
      options_.failures_to_rest) {
    record.rests_until = now + options_.rest;
  }
}

bool WorkerTrust::Allows(const std::string& worker,
                         Instant now,
                         int running) const {
  const auto found = records_.find(worker);
  if (found == records_.end() || found->second.rests_until == Instant{}) {
    return true;
  }
  return now >= found->second.rests_until && running == 0;
}

void WorkerTrust::Forget(const std::string& worker) {
  records_.erase(worker);
}

}  // namespace doorwood
