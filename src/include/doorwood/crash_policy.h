// SPDX-License-Identifier: Apache-2.0

/// \file
/// Handling of tasks that crash their workers: which runs are suspected after a
/// crash, when a task is given up, and which workers are reserved for trials.
/// In a trial, a suspect starts on a worker on which no other run is new,
/// except runs of its gang. That worker gets no other work until the trial
/// passes or ends. Pure decisions; the caller passes the time.

#ifndef DOORWOOD_CRASH_POLICY_H_
#define DOORWOOD_CRASH_POLICY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "doorwood/job_table.h"
#include "doorwood/types.h"

namespace doorwood {

struct CrashOptions {
  /// A run outside of a trial that was observed running for this long is not a
  /// suspect after a crash.
  Millis unsuspected_after{500};
  /// A run outside of a trial that was observed running for this long is not
  /// related to a crash. Once a run that began as a trial was observed running
  /// for this long, the crash notes of its task are removed.
  Millis unrelated_after{10'000};
  /// A trial lasts twice as long as the longest time for which the suspect was
  /// observed running before a crash, within these bounds. Of the time before a
  /// mass crash, at most `unsuspected_after` counts. A faulty task
  /// crashes its workers at about the same age each time.
  Millis min_trial{1000};
  Millis max_trial{4000};
  /// Shortest trial for a task whose crashes all belong to mass crashes; see
  /// `mass_crash_size`.
  Millis min_mass_crash_trial{300};
  /// Delay before a likely culprit is restarted; doubled by each further crash.
  Millis restart_delay{250};
  Millis max_restart_delay{4000};
  /// Shares of a service's workers, at least one worker, that may be reserved
  /// for trials at the same time: for all suspects, and for likely culprits.
  double max_trial_share = 0.34;
  double max_culprit_trial_share = 0.1;
  /// When this many workers crash outside of trials within `mass_crash_window`,
  /// the cause is assumed to lie outside their tasks, or there are several
  /// causes. None of these crashes then counts towards giving a task up.
  size_t mass_crash_size = 3;
  Millis mass_crash_window{1500};
  /// How long a worker stays reserved for a trial that does not start.
  Millis reservation_timeout{3000};
};

/// A run that was on a worker when the worker crashed.
struct RunAtCrash {
  /// Time from the arrival of the worker's confirmation of the run to that of
  /// its last response; zero if the run was not confirmed.
  Millis observed_running{0};
  /// The worker had confirmed the run, which this leader had started there as a
  /// trial, and the trial had not passed.
  bool in_trial = false;
  /// This leader learned of the run from a report, so it is not known when the
  /// run began.
  bool adopted = false;
};

/// Role of a run in a crash.
enum class CrashRole {
  /// The run is not a suspect and was observed running for at least
  /// `unrelated_after`, so the crash is not related to it.
  kNone,
  /// The run was observed running for less than `unrelated_after`, but it is
  /// not a suspect.
  kBystander,
  /// The run was in a trial on the worker. If none of the worker's runs was in
  /// a trial: the run was observed running for less than `unsuspected_after`
  /// and was not adopted.
  kSuspect,
};

/// Returns one entry per run, in the order of `runs`.
std::vector<CrashRole> ClassifyRuns(std::span<const RunAtCrash> runs,
                                    const CrashOptions& options);

enum class CrashVerdict {
  /// The task may run beside others.
  kSound,
  /// The task is started only in a trial.
  kSuspect,
  /// The task is not started again; its job fails.
  kGivenUp,
};

std::string_view ToString(CrashVerdict verdict);

/// A task is given up in each of these cases:
/// - In its trials, workers on two machines crashed with a confirmed restart.
/// - In its trials, workers on three machines restarted or vanished.
/// - The task was a suspect in five crashes or possible crashes, and at least
///   two of them are confirmed restarts.
/// Mass crashes do not count in these cases. A task that is not given up is a
/// suspect if it was a suspect in any crash, or a bystander in more than one
/// crash outside of mass crashes.
CrashVerdict AssessCrashes(std::span<const CrashNote> crashes);

/// Whether a worker was observed to crash during a trial of the task. Such a
/// task is restarted with a delay, and only few of them are in trials at a
/// time. Other suspects may merely have been present at a crash.
bool IsLikelyCulprit(std::span<const CrashNote> crashes);

/// How long the task must be observed running in its trial before the worker
/// accepts other new work.
Millis TrialDuration(std::span<const CrashNote> crashes,
                     const CrashOptions& options);

/// Delay before a likely culprit with `crashes` crash notes is restarted.
/// `jitter` lies between 0 and 1 and changes the delay by up to a quarter
/// either way.
Millis RestartDelay(size_t crashes, double jitter, const CrashOptions& options);

/// Distinguishes isolated crashes from simultaneous crashes of many workers.
class MassCrashDetector {
 public:
  struct Crash {
    Instant at{};
    /// Task names and run numbers of the suspects and bystanders.
    std::vector<std::pair<std::string, uint32_t>> runs;
  };

  explicit MassCrashDetector(const CrashOptions& options) : options_(options) {}

  /// Records a crash outside of trials. Calls must be in order of time;
  /// IsMassCrash then returns whether the newest crash belongs to a mass crash.
  void Add(Crash crash);
  bool IsMassCrash() const {
    return crashes_.size() >= options_.mass_crash_size;
  }
  /// The newest crash and those at most `mass_crash_window` before it,
  /// including those recorded before the mass crash was recognized.
  const std::vector<Crash>& crashes() const { return crashes_; }
  void Clear() { crashes_.clear(); }

 private:
  const CrashOptions options_;
  std::vector<Crash> crashes_;
};

/// The trials of suspects and of the other tasks of their gangs, and the
/// workers reserved for them; at most one entry per task. For a single suspect
/// a worker is reserved first, and the trial begins when the task is started
/// there. For gangs and adopted runs, the entry is made when the run is started
/// or adopted. The worker accepts no other work until the trial passes or the
/// entry is removed.
class CrashTrials {
 public:
  struct Trial {
    std::string worker;
    std::string service;
    /// When the worker was reserved or, if `started`, when the trial began.
    Instant since{};
    /// The task is a likely culprit.
    bool likely_culprit = false;
    /// Time for which the task must be observed running.
    Millis duration{0};
    bool started = false;
    /// The task was observed running for `duration`, so its worker accepts
    /// other work again.
    bool passed = false;
  };

  explicit CrashTrials(const CrashOptions& options) : options_(options) {}

  /// Reserves `trial.worker` for the task or, if `trial.started`, begins the
  /// trial there. Replaces the task's earlier reservation or trial.
  void Reserve(const std::string& task, Trial trial);
  void MarkPassed(const std::string& task);
  void End(const std::string& task);
  /// Drops reservations whose trial did not start in `reservation_timeout`.
  void Expire(Instant now);
  void Clear() { trials_.clear(); }

  /// The task's trial, also one that has passed; null if there is none.
  const Trial* Find(const std::string& task) const;
  /// Whether the worker is reserved for a trial that has not passed.
  bool IsReserved(std::string_view worker) const;
  /// Whether the task's trial on the worker has begun and has neither ended nor
  /// passed.
  bool IsInTrial(const std::string& task, std::string_view worker) const;
  /// Whether another trial may begin on one of the service's `workers` workers.
  /// `likely_culprit`: the suspect, or any task of its gang, is a likely
  /// culprit.
  bool HasFreeSlot(std::string_view service,
                   int workers,
                   bool likely_culprit) const;
  const std::map<std::string, Trial>& trials() const { return trials_; }

 private:
  const CrashOptions options_;
  std::map<std::string, Trial> trials_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CRASH_POLICY_H_
