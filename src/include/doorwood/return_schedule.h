// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides what becomes of a submission that no leader accepts now: whether it
/// waits in this instance, and when its caller should return. Pure: the caller
/// passes the time and what the instance knows.

#ifndef DOORWOOD_RETURN_SCHEDULE_H_
#define DOORWOOD_RETURN_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "doorwood/types.h"

namespace doorwood {

/// What an instance has observed of one cell's leader.
struct LeaderSigns {
  enum class Stage {
    /// Accepts jobs, as far as this instance knows.
    kServing,
    /// Holds the lead and has not accepted jobs since it took it.
    kReading,
    /// Holds the lead key, but refuses connections, does not answer, or answers
    /// that it does not lead any more.
    kLost,
    /// Nobody holds the lead.
    kVacant,
  };
  Stage stage = Stage::kVacant;
  /// When the lead was seen first (kServing, kReading), when the leader last
  /// gave a sign of life (kLost), or when the lead was seen to be vacant.
  Instant since{};
};

struct ServiceForecastOptions {
  /// Time to live of the lease of the lead key.
  Millis lease_ttl{2000};
  /// Until this instance has observed takeovers: how long a lead stays vacant,
  /// and how long a new leader reads its records.
  Millis initial_vacancy{200};
  Millis initial_reading{600};
  /// A step that is overdue by more than this, and by more than its forecast,
  /// has no known end.
  Millis max_overdue{1000};
  /// Added to the end of a lease, for the store to remove the key and this
  /// instance to notice it.
  Millis lease_end_margin{500};
  /// Number of takeovers that the forecast is based on.
  size_t max_observations = 4;
};

/// Forecasts when a leader accepts jobs again, from the durations of earlier
/// takeovers.
class ServiceForecast {
 public:
  explicit ServiceForecast(const ServiceForecastOptions& options);

  void ObserveVacancy(Millis duration);
  void ObserveReading(Millis duration);

  /// Returns when the cell's leader accepts jobs, `now` if it does already.
  /// Empty if that is not known: the store does not answer, so that nobody can
  /// take the lead; or the step under way is overdue by more than
  /// `max_overdue` and its forecast; or a lost leader's key outlasts its lease,
  /// so that the leader is alive and only this instance does not reach it.
  std::optional<Instant> ServiceAt(const LeaderSigns& signs,
                                   bool store_responsive,
                                   Instant now) const;

 private:
  static Millis Longest(const std::deque<Millis>& observed, Millis initial);
  void Observe(std::deque<Millis>* observed, Millis duration) const;

  const ServiceForecastOptions options_;
  std::deque<Millis> vacancies_;
  std::deque<Millis> readings_;
};

struct ReturnScheduleOptions {
  /// Maximum number of submissions that wait in this instance; 0: none does.
  size_t max_held = 0;
  /// Longest time for which a submission waits in this instance. Covers the end
  /// of a killed leader's lease and its successor's takeover.
  Millis max_hold{2800};
  /// Part of a caller's time that accepting a job takes once its leader serves:
  /// the call to the leader, the write, and the answer.
  Millis accept_time{200};
  /// Submissions a second that a leader accepts when many arrive at once,
  /// shared by all instances.
  double accepts_per_second = 400;
  /// Callers whose time limit is not known are spread over this many seconds.
  int spread_seconds = 3;
};

/// One submission that no leader has accepted, and what is known about it.
struct ReturnQuestion {
  Instant now{};
  /// When a leader accepts jobs; empty if that is not known.
  std::optional<Instant> service_at;
  /// When the caller stops waiting; empty if that is not known.
  std::optional<Instant> deadline;
  /// When the submission arrived in this instance.
  Instant arrived_at{};
  /// Number of other submissions that wait in this instance.
  size_t held = 0;
  /// Number of instances that take submissions.
  size_t instances = 1;
  /// False: the submission must be answered now.
  bool may_hold = true;
};

struct ReturnDecision {
  enum class Kind {
    kForward,
    /// The submission waits in this instance until a leader accepts jobs.
    kHold,
    /// The caller should return after `retry_after`.
    kReturnLater,
    /// No return within the caller's time limit can be served. `retry_after`
    /// is the first time at which a return can be, so beyond that limit if it
    /// is known, and else a second.
    kRefuse,
  };
  Kind kind = Kind::kRefuse;
  /// Whole seconds, because that is what an HTTP answer can express.
  Seconds retry_after{0};
};

class ReturnSchedule {
 public:
  explicit ReturnSchedule(const ReturnScheduleOptions& options);

  ReturnDecision Decide(const ReturnQuestion& question);
  /// True if the submission can wait until `service_at`: its caller and
  /// `max_hold` allow it. A submission is released in any case once a leader
  /// accepts jobs and the caller's time suffices.
  bool CanWait(const ReturnQuestion& question) const;
  /// Decides about a submission that cannot wait, and counts a caller who is
  /// told to return among those who return in that second.
  ReturnDecision ScheduleReturn(const ReturnQuestion& question);
  /// Time between two submissions that an instance releases, so that all
  /// instances together release `accepts_per_second`.
  Millis release_interval(size_t instances) const;

 private:
  const ReturnScheduleOptions options_;
  /// Number of callers told to return, by second of the instance's clock.
  std::map<int64_t, int> returns_;
};

}  // namespace doorwood

#endif  // DOORWOOD_RETURN_SCHEDULE_H_
