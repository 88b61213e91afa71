// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tasks that take their workers down: who is blamed for a crash, when a task
/// is given up, and which workers are kept for trying a suspect alone. Pure
/// decisions; the caller passes the time.

#ifndef DOORWOOD_CRASH_GUARD_H_
#define DOORWOOD_CRASH_GUARD_H_

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
  /// Seen at work for so long, a run is not suspected at once.
  Millis at_work{500};
  /// Seen at work for so long, a run has nothing to do with a crash, and what
  /// was noted of its task before is forgotten.
  Millis cleared{10'000};
  /// A suspect is tried for twice as long as it was seen at work before a
  /// crash, within these bounds: a culprit takes its workers down at about one
  /// age.
  Millis shortest_trial{1000};
  Millis longest_trial{4000};
  /// Shortest trial where all crashes were among those of many workers.
  Millis short_trial{300};
  /// Pause before a likely culprit is started again; doubled by each further
  /// crash.
  Millis pause{250};
  Millis longest_pause{4000};
  /// Shares of a service's workers, one at least, on which suspects may be
  /// tried at a time: all of them, and likely culprits.
  double trial_share = 0.34;
  double likely_share = 0.1;
  /// So many workers that go down within `wave` have a cause outside of their
  /// tasks, or several: no single one of these crashes proves anything.
  size_t wave_size = 3;
  Millis wave{1500};
  /// A worker is kept for a trial that does not begin for at most so long.
  Millis longest_reservation{3000};
};

/// A run that was on a worker when it went down.
struct RunAtCrash {
  /// For how long the worker was heard of after it had confirmed the run.
  Millis at_work{0};
  /// It was tried alone there, from its confirmed start on.
  bool tried = false;
  /// It had run for some time before it was known.
  bool adopted = false;
};

/// What a crash says of one of the runs.
enum class Blame {
  kNone,
  /// It had not run for long, but was seen at work, or another one was tried
  /// there.
  kBystander,
  kSuspect,
};

/// One for each run, in the same order.
std::vector<Blame> BlameCrash(std::span<const RunAtCrash> runs,
                              const CrashOptions& options);

enum class CrashVerdict {
  /// It may run beside others.
  kSound,
  /// It is started alone.
  kSuspect,
  /// It is not started again; its job has failed.
  kGivenUp,
};

std::string_view ToString(CrashVerdict verdict);

/// Crashes of different machines in trials are proof: two that were seen for
/// sure, or three. So are five as a suspect, two of them seen for sure. Those
/// of many workers at a time prove nothing.
CrashVerdict JudgeCrashes(std::span<const CrashNote> crashes);

/// It was seen to crash in a trial. Such a task is paused, and few are tried at
/// a time. Others just happened to be there when a worker went down.
bool IsLikelyCulprit(std::span<const CrashNote> crashes);

/// For how long the task has to be seen at work before its worker gets anything
/// else that is new.
Millis TrialOf(std::span<const CrashNote> crashes, const CrashOptions& options);

/// How long a likely culprit waits after its newest crash. `jitter`: 0 to 1.
Millis PauseAfterCrashes(size_t crashes,
                         double jitter,
                         const CrashOptions& options);

/// Tells crashes that come alone from those of many workers at a time.
class CrashWave {
 public:
  struct Crash {
    Instant at{};
    /// Names and numbers of the runs that were blamed for it.
    std::vector<std::pair<std::string, uint32_t>> blamed;
  };

  explicit CrashWave(const CrashOptions& options) : options_(options) {}

  /// Call `Add` for each crash outside of trials, in the order of time, then
  /// ask: it is one of many.
  void Add(Crash crash);
  bool IsOneOfMany() const { return crashes_.size() >= options_.wave_size; }
  /// Those of the last while, also before it was known that they are many.
  const std::vector<Crash>& crashes() const { return crashes_; }
  void Clear() { crashes_.clear(); }

 private:
  const CrashOptions options_;
  std::vector<Crash> crashes_;
};

/// Which workers are kept for suspects: one each, from when it is chosen until
/// the suspect has been seen at work or is gone.
class CrashTrials {
 public:
  struct Trial {
    std::string worker;
    std::string service;
    Instant since{};
    /// Of a likely culprit.
    bool likely = false;
    /// It is settled once it was seen at work for so long.
    Millis length{0};
    bool started = false;
    /// It was seen at work: its worker is open again.
    bool settled = false;
  };

  explicit CrashTrials(const CrashOptions& options) : options_(options) {}

  /// Keeps a worker for the task, in place of any other.
  void Keep(const std::string& task, Trial trial);
  void Settle(const std::string& task);
  void End(const std::string& task);
  /// Ends reservations that were not used in time.
  void Expire(Instant now);
  void Clear() { trials_.clear(); }

  /// Null: none.
  const Trial* Find(const std::string& task) const;
  /// The worker is kept for a trial.
  bool Keeps(std::string_view worker) const;
  /// The task was started there as a suspect, and its trial goes on.
  bool IsTrying(const std::string& task, std::string_view worker) const;
  /// Another trial may begin on one of the service's `workers` workers.
  bool HasPlace(std::string_view service, int workers, bool likely) const;
  const std::map<std::string, Trial>& trials() const { return trials_; }

 private:
  const CrashOptions options_;
  std::map<std::string, Trial> trials_;
};

}  // namespace doorwood

#endif  // DOORWOOD_CRASH_GUARD_H_
