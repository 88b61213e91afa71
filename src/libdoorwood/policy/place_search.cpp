// SPDX-License-Identifier: Apache-2.0

#include "doorwood/place_search.h"

#include <algorithm>
#include <limits>

namespace doorwood {
namespace {

constexpr double kNoScore = -std::numeric_limits<double>::infinity();
// Maximum number of entries; the one with the oldest pass is evicted first.
// Bounds the comparisons per step and pass: a simulated day with 490 workers
// needs about 20 entries.
constexpr size_t kMaxEntries = 128;

bool IsAtLeast(const Resources& size, const Resources& least) {
  return size.cpu_millis >= least.cpu_millis &&
         size.memory_mib >= least.memory_mib &&
         size.accelerators >= least.accelerators;
}

}  // namespace

StepCandidates::StepCandidates(const StepPlan& step,
                               std::span<CandidateWorker* const> workers,
                               const InterferenceModel& model,
                               const PolicyOptions& options)
    : step_(step),
      workers_(workers),
      model_(model),
      options_(options),
      problems_(workers.size(), PlaceProblem::kUnchanged),
      scores_(workers.size(), kNoScore) {}

void StepCandidates::Evaluate(size_t index,
                              const TaskRequirements& need,
                              int tasks_on_worker) {
  const CandidateWorker& worker = *workers_[index];
  problems_[index] =
      FindPlaceProblem(step_, need, worker, tasks_on_worker, model_, options_);
  scores_[index] =
      IsSuitable(index) ? PlaceScore(step_, need, worker, model_) : kNoScore;
}

bool StepCandidates::IsSuitable(size_t index) const {
  return problems_[index] == PlaceProblem::kNone;
}

int StepCandidates::Best(std::string_view avoid) const {
  int best = kNoWorker;
  int avoided = kNoWorker;
  for (size_t index = 0; index < scores_.size(); ++index) {
    if (scores_[index] == kNoScore) {
      continue;
    }
    if (!avoid.empty() && workers_[index]->id == avoid) {
      avoided = static_cast<int>(index);
      continue;
    }
    if (best == kNoWorker || scores_[index] > scores_[best]) {
      best = static_cast<int>(index);
    }
  }
  return best == kNoWorker ? avoided : best;
}

ProblemCounts StepCandidates::CountProblems() const {
  ProblemCounts counts;
  for (const PlaceProblem problem : problems_) {
    if (problem != PlaceProblem::kNone) {
      ++counts[problem];
    }
  }
  return counts;
}

bool FailedPlacements::IsSameKind(const Entry& entry,
                                  const StepPlan& step,
                                  std::string_view service) {
  return entry.service == service && entry.best_effort == step.best_effort &&
         (!entry.best_effort || entry.image == step.image);
}

uint64_t FailedPlacements::LastFailedPass(const StepPlan& step,
                                          std::string_view service) const {
  uint64_t newest = 0;
  for (const Entry& entry : entries_) {
    if (entry.pass > newest && IsSameKind(entry, step, service) &&
        IsAtLeast(step.size, entry.size)) {
      newest = entry.pass;
    }
  }
  return newest;
}

void FailedPlacements::Add(const StepPlan& step,
                           std::string_view service,
                           uint64_t pass) {
  const bool constrained =
      !step.required_label.empty() || step.same_rack || step.max_per_worker > 0;
  if (constrained) {
    return;
  }
  // Entries of the same kind that are no smaller come from an earlier or the
  // same pass, so the new entry covers them.
  std::erase_if(entries_, [&](const Entry& older) {
    return IsSameKind(older, step, service) && IsAtLeast(older.size, step.size);
  });
  if (entries_.size() >= kMaxEntries) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [](const Entry& a, const Entry& b) { return a.pass < b.pass; }));
  }
  entries_.push_back(
      {std::string(service), step.best_effort, step.image, step.size, pass});
}

}  // namespace doorwood
