// SPDX-License-Identifier: Apache-2.0

#include "doorwood/backup_runs.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace doorwood {
namespace {

// Quantiles of the standard normal distribution.
constexpr double kNinthDecile = 1.28;
constexpr double kEighthDecile = 0.84;
// Distance from the lower quartile to the median, in standard deviations.
constexpr double kQuartileDistance = 0.67;
// Equal tasks on different workers still differ by about a quarter.
constexpr double kMinStepSpread = 0.25;
constexpr size_t kMinOthers = 2;
constexpr double kFullProgress = 100;
// Percentages are rounded down, so a run reported at 0 may be near 1.
constexpr double kRounding = 0.5;
// Below this, the time of the start order is a large part of a run's age.
constexpr Millis kMinProjectionAge{100};

Millis Scale(Millis time, double factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

Millis QuantileOf(const RunTimeEstimate& estimate, double deviations) {
  return Scale(estimate.expected, std::exp(deviations * estimate.log_spread));
}

// A silent worker may be gone. A run that nothing is known of is expected to go
// on for as long as it has already taken.
std::optional<Millis> RemainingTime(const BackupCandidate& candidate,
                                    const BackupOptions& options) {
  if (candidate.unanswered >= options.silent_after) {
    return candidate.elapsed;
  }
  const auto& report = candidate.report;
  if (!report || candidate.elapsed - report->at > options.max_report_age) {
    return std::nullopt;
  }
  const auto total = ProjectRunTime(*report);
  return total ? std::max(*total - candidate.elapsed, Millis(0)) : Millis(0);
}

}  // namespace

std::string_view ToString(BackupVerdict verdict) {
  switch (verdict) {
    case BackupVerdict::kStart:
      return "start";
    case BackupVerdict::kNotSlow:
      return "not slow";
    case BackupVerdict::kAskProgress:
      return "ask progress";
    case BackupVerdict::kNoGain:
      return "no gain";
    case BackupVerdict::kOnTime:
      return "on time";
    case BackupVerdict::kBeyondUse:
      return "beyond use";
    case BackupVerdict::kNoAttempt:
      return "no attempt";
  }
  return "unknown";
}

RunTimeEstimate EstimateFromStep(std::span<const Millis> others,
                                 const RunTimeEstimate& model) {
  if (others.size() < kMinOthers) {
    return model;
  }
  std::vector<Millis> sorted(others.begin(), others.end());
  std::sort(sorted.begin(), sorted.end());
  const size_t last = sorted.size() - 1;
  const auto log_of = [&sorted](size_t index) {
    return std::log(
        static_cast<double>(std::max<int64_t>(1, sorted[index].count())));
  };
  // The upper half may consist of slow runs.
  const double spread =
      (log_of(last / 2) - log_of(last / 4)) / kQuartileDistance;
  return {sorted[last / 2], std::max(spread, kMinStepSpread)};
}

std::optional<Millis> ProjectRunTime(const ProgressReport& report) {
  if (report.at < kMinProjectionAge || report.percent >= kFullProgress) {
    return std::nullopt;
  }
  return Scale(report.at, kFullProgress / (report.percent + kRounding));
}

BackupDecision DecideBackup(const BackupCandidate& candidate,
                            const BackupOptions& options) {
  BackupDecision decision;
  if (candidate.elapsed <= QuantileOf(candidate.estimate, kNinthDecile)) {
    decision.verdict = BackupVerdict::kNotSlow;
    return decision;
  }
  // A copy must never be what fails a job.
  if (candidate.failed_runs + 2 >= candidate.max_attempts) {
    decision.verdict = BackupVerdict::kNoAttempt;
    return decision;
  }
  const JobOutlook& job = candidate.job;
  // In four of five cases the copy has ended by then.
  decision.copy_time =
      options.start_delay + QuantileOf(candidate.estimate, kEighthDecile);
  if (job.since_due + decision.copy_time + job.after_step > job.useful) {
    decision.verdict = BackupVerdict::kBeyondUse;
    return decision;
  }
  const auto remaining = RemainingTime(candidate, options);
  if (!remaining) {
    decision.verdict = BackupVerdict::kAskProgress;
    return decision;
  }
  decision.remaining = *remaining;
  const Millis without =
      std::max(decision.remaining + job.after_step, job.other_steps);
  const Millis with_copy = std::max(
      std::min(decision.copy_time, decision.remaining) + job.after_step,
      job.other_steps);
  decision.gain = without - with_copy;
  if (decision.gain < Scale(job.objective, options.min_gain_share)) {
    decision.verdict = BackupVerdict::kNoGain;
  } else if (job.since_due + without <=
             Scale(job.objective, options.safe_objective_share)) {
    decision.verdict = BackupVerdict::kOnTime;
  } else {
    decision.verdict = BackupVerdict::kStart;
  }
  return decision;
}

bool IsWithinBudget(const BackupRoom& room,
                    int64_t cpu,
                    const BackupOptions& options) {
  if (options.free_share <= 0 || room.steps_wait || cpu > room.free) {
    return false;
  }
  const auto limit = static_cast<int64_t>(
      options.free_share * static_cast<double>(room.free + room.copies_cpu));
  const bool plentiful = room.free * 2 >= room.capacity;
  return room.copies_cpu + cpu <= limit ||
         (plentiful && room.copies < options.min_copies);
}

}  // namespace doorwood
