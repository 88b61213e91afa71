// SPDX-License-Identifier: Apache-2.0

#include "doorwood/place_search.h"

#include <algorithm>
#include <limits>

namespace doorwood {
namespace {

constexpr double kNoScore = -std::numeric_limits<double>::infinity();
// Sorts remembered at most; the one tried longest ago goes first. Bounds what
// a pass compares each step with: a day of 490 workers keeps some 20.
constexpr size_t kMostFits = 128;

bool IsAtLeast(const Resources& size, const Resources& least) {
  return size.cpu_millis >= least.cpu_millis &&
         size.memory_mib >= least.memory_mib &&
         size.accelerators >= least.accelerators;
}

}  // namespace

StepPlaces::StepPlaces(const StepPlan& step,
                       std::span<WorkerRoom* const> rooms,
                       const InterferenceModel& model,
                       const PolicyOptions& options)
    : step_(step),
      rooms_(rooms),
      model_(model),
      options_(options),
      problems_(rooms.size(), PlaceProblem::kUnchanged),
      scores_(rooms.size(), kNoScore) {}

void StepPlaces::Judge(size_t place, const TaskNeed& need, int on_worker) {
  const WorkerRoom& room = *rooms_[place];
  problems_[place] =
      FindPlaceProblem(step_, need, room, on_worker, model_, options_);
  scores_[place] =
      IsGood(place) ? PlaceScore(step_, need, room, model_) : kNoScore;
}

bool StepPlaces::IsGood(size_t place) const {
  return problems_[place] == PlaceProblem::kNone;
}

int StepPlaces::Best(std::string_view avoid) const {
  int best = kNoWorker;
  int avoided = kNoWorker;
  for (size_t place = 0; place < scores_.size(); ++place) {
    if (scores_[place] == kNoScore) {
      continue;
    }
    if (!avoid.empty() && rooms_[place]->id == avoid) {
      avoided = static_cast<int>(place);
      continue;
    }
    if (best == kNoWorker || scores_[place] > scores_[best]) {
      best = static_cast<int>(place);
    }
  }
  return best == kNoWorker ? avoided : best;
}

ProblemCounts StepPlaces::CountProblems() const {
  ProblemCounts counts;
  for (const PlaceProblem problem : problems_) {
    if (problem != PlaceProblem::kNone) {
      ++counts[problem];
    }
  }
  return counts;
}

bool HopelessFits::IsSameSort(const Fit& fit,
                              const StepPlan& step,
                              std::string_view service) {
  return fit.service == service && fit.fills == step.fills &&
         (!fit.fills || fit.image == step.image);
}

uint64_t HopelessFits::TriedIn(const StepPlan& step,
                               std::string_view service) const {
  uint64_t newest = 0;
  for (const Fit& fit : fits_) {
    if (fit.pass > newest && IsSameSort(fit, step, service) &&
        IsAtLeast(step.size, fit.size)) {
      newest = fit.pass;
    }
  }
  return newest;
}

void HopelessFits::Add(const StepPlan& step,
                       std::string_view service,
                       uint64_t pass) {
  const bool constrained = !step.required_label.empty() || step.same_rack ||
                           step.most_per_worker > 0;
  if (constrained) {
    return;
  }
  // What is no smaller was tried no later, so it tells nothing more.
  std::erase_if(fits_, [&](const Fit& older) {
    return IsSameSort(older, step, service) && IsAtLeast(older.size, step.size);
  });
  if (fits_.size() >= kMostFits) {
    fits_.erase(std::min_element(
        fits_.begin(), fits_.end(),
        [](const Fit& a, const Fit& b) { return a.pass < b.pass; }));
  }
  fits_.push_back(
      {std::string(service), step.fills, step.image, step.size, pass});
}

}  // namespace doorwood
