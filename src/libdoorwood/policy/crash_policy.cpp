// SPDX-License-Identifier: Apache-2.0

#include "doorwood/crash_policy.h"

#include <algorithm>
#include <set>
#include <utility>

namespace doorwood {
namespace {

// A task is given up once workers on this many different machines crashed in
// its trials: with a confirmed process restart, and in total.
constexpr size_t kConfirmedTrialCrashesToGiveUp = 2;
constexpr size_t kTrialCrashesToGiveUp = 3;
// A task is given up after this many crashes or possible crashes as a suspect,
// which may have other causes, if at least `kMinConfirmedCrashes` of them are
// confirmed.
constexpr size_t kSuspectCrashesToGiveUp = 5;
constexpr size_t kMinConfirmedCrashes = 2;

bool IsConfirmed(const CrashNote& crash) {
  return crash.evidence == CrashEvidence::kRestarted;
}

bool IsObserved(const CrashNote& crash) {
  return IsConfirmed(crash) || crash.evidence == CrashEvidence::kVanished;
}

}  // namespace

std::string_view ToString(CrashVerdict verdict) {
  switch (verdict) {
    case CrashVerdict::kSound:
      return "sound";
    case CrashVerdict::kSuspect:
      return "suspect";
    case CrashVerdict::kGivenUp:
      return "given up";
  }
  return "unknown";
}

std::vector<CrashRole> ClassifyRuns(std::span<const RunAtCrash> runs,
                                    const CrashOptions& options) {
  const bool any_in_trial =
      std::any_of(runs.begin(), runs.end(),
                  [](const RunAtCrash& run) { return run.in_trial; });
  std::vector<CrashRole> roles;
  for (const RunAtCrash& run : runs) {
    const bool is_new =
        !run.adopted && run.observed_running < options.unsuspected_after;
    const bool suspect = any_in_trial ? run.in_trial : is_new;
    const bool recent = run.observed_running < options.unrelated_after;
    roles.push_back(suspect  ? CrashRole::kSuspect
                    : recent ? CrashRole::kBystander
                             : CrashRole::kNone);
  }
  return roles;
}

CrashVerdict AssessCrashes(std::span<const CrashNote> crashes) {
  std::set<std::string_view> trial_machines;
  std::set<std::string_view> confirmed_trial_machines;
  size_t suspect_crashes = 0;
  size_t bystander_crashes = 0;
  size_t confirmed_crashes = 0;
  bool suspect = false;
  for (const CrashNote& crash : crashes) {
    suspect = suspect || crash.suspect;
    if (crash.mass_crash || crash.evidence == CrashEvidence::kTrial) {
      continue;
    }
    suspect_crashes += crash.suspect ? 1 : 0;
    bystander_crashes += crash.suspect ? 0 : 1;
    confirmed_crashes += IsConfirmed(crash) && crash.suspect ? 1 : 0;
    if (crash.in_trial && IsObserved(crash)) {
      trial_machines.insert(crash.machine);
    }
    if (crash.in_trial && IsConfirmed(crash)) {
      confirmed_trial_machines.insert(crash.machine);
    }
  }
  const bool too_many = suspect_crashes >= kSuspectCrashesToGiveUp &&
                        confirmed_crashes >= kMinConfirmedCrashes;
  if (confirmed_trial_machines.size() >= kConfirmedTrialCrashesToGiveUp ||
      trial_machines.size() >= kTrialCrashesToGiveUp || too_many) {
    return CrashVerdict::kGivenUp;
  }
  return suspect || bystander_crashes > 1 ? CrashVerdict::kSuspect
                                          : CrashVerdict::kSound;
}

bool IsLikelyCulprit(std::span<const CrashNote> crashes) {
  return std::any_of(crashes.begin(), crashes.end(),
                     [](const CrashNote& crash) {
                       return crash.in_trial && IsObserved(crash);
                     });
}

Millis TrialDuration(std::span<const CrashNote> crashes,
                     const CrashOptions& options) {
  Millis longest{0};
  Millis shortest = options.min_mass_crash_trial;
  for (const CrashNote& crash : crashes) {
    if (crash.evidence == CrashEvidence::kTrial) {
      continue;
    }
    // A task that had been running for long when many workers crashed is
    // unlikely to be the cause, so at most `unsuspected_after` of its time
    // counts.
    const Millis limit =
        crash.mass_crash ? options.unsuspected_after : crash.observed_running;
    longest = std::max(longest, std::min(crash.observed_running, limit));
    shortest = crash.mass_crash ? shortest : options.min_trial;
  }
  return std::clamp(2 * longest, shortest, options.max_trial);
}

Millis RestartDelay(size_t crashes,
                    double jitter,
                    const CrashOptions& options) {
  constexpr double kSpread = 0.5;
  Millis delay = options.restart_delay;
  for (size_t i = 1; i < crashes && delay < options.max_restart_delay; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, options.max_restart_delay);
  const double factor = 1.0 + kSpread * (jitter - kSpread);
  return Millis(
      static_cast<int64_t>(static_cast<double>(delay.count()) * factor));
}

void MassCrashDetector::Add(Crash crash) {
  std::erase_if(crashes_, [&](const Crash& earlier) {
    return crash.at - earlier.at > options_.mass_crash_window;
  });
  crashes_.push_back(std::move(crash));
}

void CrashTrials::Reserve(const std::string& task, Trial trial) {
  trials_[task] = std::move(trial);
}

void CrashTrials::MarkPassed(const std::string& task) {
  const auto found = trials_.find(task);
  if (found != trials_.end()) {
    found->second.passed = true;
  }
}

void CrashTrials::End(const std::string& task) {
  trials_.erase(task);
}

void CrashTrials::Expire(Instant now) {
  std::erase_if(trials_, [&](const auto& entry) {
    const Trial& trial = entry.second;
    return !trial.started && now - trial.since > options_.reservation_timeout;
  });
}

const CrashTrials::Trial* CrashTrials::Find(const std::string& task) const {
  const auto found = trials_.find(task);
  return found == trials_.end() ? nullptr : &found->second;
}

bool CrashTrials::IsReserved(std::string_view worker) const {
  return std::any_of(trials_.begin(), trials_.end(), [&](const auto& entry) {
    return !entry.second.passed && entry.second.worker == worker;
  });
}

bool CrashTrials::IsInTrial(const std::string& task,
                            std::string_view worker) const {
  const Trial* trial = Find(task);
  return trial != nullptr && trial->started && !trial->passed &&
         trial->worker == worker;
}

bool CrashTrials::HasFreeSlot(std::string_view service,
                              int workers,
                              bool likely_culprit) const {
  const auto has_free_slot = [&](bool culprits_only, double share) {
    std::set<std::string_view> reserved;
    for (const auto& [task, trial] : trials_) {
      if (!trial.passed && trial.service == service &&
          (trial.likely_culprit || !culprits_only)) {
        reserved.insert(trial.worker);
      }
    }
    const auto limit = static_cast<size_t>(workers * share);
    return reserved.size() < std::max<size_t>(limit, 1);
  };
  return has_free_slot(false, options_.max_trial_share) &&
         (!likely_culprit ||
          has_free_slot(true, options_.max_culprit_trial_share));
}

}  // namespace doorwood
