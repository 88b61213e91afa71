// SPDX-License-Identifier: Apache-2.0

#include "doorwood/crash_guard.h"

#include <algorithm>
#include <set>
#include <utility>

namespace doorwood {
namespace {

// Different machines that went down in trials of a task: seen for sure, and
// all.
constexpr size_t kSureProofs = 2;
constexpr size_t kProofs = 3;
// Crashes of which something else may be the cause, and how many of them must
// have been seen for sure.
constexpr size_t kMostCrashes = 5;
constexpr size_t kSurelySeen = 2;

bool IsSure(const CrashNote& crash) {
  return crash.evidence == CrashEvidence::kOtherLife;
}

bool IsSeen(const CrashNote& crash) {
  return IsSure(crash) || crash.evidence == CrashEvidence::kVanished;
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

std::vector<Blame> BlameCrash(std::span<const RunAtCrash> runs,
                              const CrashOptions& options) {
  const bool any_tried =
      std::any_of(runs.begin(), runs.end(),
                  [](const RunAtCrash& run) { return run.tried; });
  std::vector<Blame> blames;
  for (const RunAtCrash& run : runs) {
    const bool is_new = !run.adopted && run.at_work < options.at_work;
    const bool suspect = any_tried ? run.tried : is_new;
    const bool young = run.at_work < options.cleared;
    blames.push_back(suspect ? Blame::kSuspect
                     : young ? Blame::kBystander
                             : Blame::kNone);
  }
  return blames;
}

CrashVerdict JudgeCrashes(std::span<const CrashNote> crashes) {
  std::set<std::string_view> proofs;
  std::set<std::string_view> sure_proofs;
  size_t notes = 0;
  size_t bystander = 0;
  size_t sure = 0;
  bool suspect = false;
  for (const CrashNote& crash : crashes) {
    suspect = suspect || crash.suspect;
    if (crash.one_of_many || crash.evidence == CrashEvidence::kTrial) {
      continue;
    }
    notes += crash.suspect ? 1 : 0;
    bystander += crash.suspect ? 0 : 1;
    sure += IsSure(crash) && crash.suspect ? 1 : 0;
    if (crash.alone && IsSeen(crash)) {
      proofs.insert(crash.machine);
    }
    if (crash.alone && IsSure(crash)) {
      sure_proofs.insert(crash.machine);
    }
  }
  const bool too_many = notes >= kMostCrashes && sure >= kSurelySeen;
  if (sure_proofs.size() >= kSureProofs || proofs.size() >= kProofs ||
      too_many) {
    return CrashVerdict::kGivenUp;
  }
  return suspect || bystander > 1 ? CrashVerdict::kSuspect
                                  : CrashVerdict::kSound;
}

bool IsLikelyCulprit(std::span<const CrashNote> crashes) {
  return std::any_of(
      crashes.begin(), crashes.end(),
      [](const CrashNote& crash) { return crash.alone && IsSeen(crash); });
}

Millis TrialOf(std::span<const CrashNote> crashes,
               const CrashOptions& options) {
  Millis longest{0};
  Millis shortest = options.short_trial;
  for (const CrashNote& crash : crashes) {
    if (crash.evidence == CrashEvidence::kTrial) {
      continue;
    }
    // What ran for long when many went down has probably not caused it.
    const Millis most = crash.one_of_many ? options.at_work : crash.at_work;
    longest = std::max(longest, std::min(crash.at_work, most));
    shortest = crash.one_of_many ? shortest : options.shortest_trial;
  }
  return std::clamp(2 * longest, shortest, options.longest_trial);
}

Millis PauseAfterCrashes(size_t crashes,
                         double jitter,
                         const CrashOptions& options) {
  constexpr double kSpread = 0.5;
  Millis pause = options.pause;
  for (size_t i = 1; i < crashes && pause < options.longest_pause; ++i) {
    pause *= 2;
  }
  pause = std::min(pause, options.longest_pause);
  const double factor = 1.0 + kSpread * (jitter - kSpread);
  return Millis(
      static_cast<int64_t>(static_cast<double>(pause.count()) * factor));
}

void CrashWave::Add(Crash crash) {
  std::erase_if(crashes_, [&](const Crash& earlier) {
    return crash.at - earlier.at > options_.wave;
  });
  crashes_.push_back(std::move(crash));
}

void CrashTrials::Keep(const std::string& task, Trial trial) {
  trials_[task] = std::move(trial);
}

void CrashTrials::Settle(const std::string& task) {
  const auto found = trials_.find(task);
  if (found != trials_.end()) {
    found->second.settled = true;
  }
}

void CrashTrials::End(const std::string& task) {
  trials_.erase(task);
}

void CrashTrials::Expire(Instant now) {
  std::erase_if(trials_, [&](const auto& entry) {
    const Trial& trial = entry.second;
    return !trial.started && now - trial.since > options_.longest_reservation;
  });
}

const CrashTrials::Trial* CrashTrials::Find(const std::string& task) const {
  const auto found = trials_.find(task);
  return found == trials_.end() ? nullptr : &found->second;
}

bool CrashTrials::Keeps(std::string_view worker) const {
  return std::any_of(trials_.begin(), trials_.end(), [&](const auto& entry) {
    return !entry.second.settled && entry.second.worker == worker;
  });
}

bool CrashTrials::IsTrying(const std::string& task,
                           std::string_view worker) const {
  const Trial* trial = Find(task);
  return trial != nullptr && trial->started && !trial->settled &&
         trial->worker == worker;
}

bool CrashTrials::HasPlace(std::string_view service,
                           int workers,
                           bool likely) const {
  const auto is_below = [&](bool of_likely, double share) {
    std::set<std::string_view> kept;
    for (const auto& [task, trial] : trials_) {
      if (!trial.settled && trial.service == service &&
          (trial.likely || !of_likely)) {
        kept.insert(trial.worker);
      }
    }
    const auto most = static_cast<size_t>(workers * share);
    return kept.size() < std::max<size_t>(most, 1);
  };
  return is_below(false, options_.trial_share) &&
         (!likely || is_below(true, options_.likely_share));
}

}  // namespace doorwood
