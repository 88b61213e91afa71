// SPDX-License-Identifier: Apache-2.0

/// \file
/// Admission control for the long-running work of a service. Such work stays
/// for minutes and is not stopped to free capacity: admitting too much delays
/// the service's other jobs for as long, and admitting too little refuses
/// callers.
///
/// No fixed share of the processors suits all workloads: for the same requests
/// in different mixes, the total value for callers was highest at a share of
/// 0.8 in one case and 0.5 in another (docs/design/shifted-work.md). Admission
/// therefore starts with a conservative share. Once non-serving work was first
/// observed `observation_time` ago, the share is raised while the peak use of
/// that work is low. Nothing is admitted while the peak use is above `max_use`.
/// See `ServiceLoad` for what counts as non-serving work.

#ifndef DOORWOOD_LONG_RUNNING_ADMISSION_H_
#define DOORWOOD_LONG_RUNNING_ADMISSION_H_

#include "doorwood/types.h"

namespace doorwood {

struct LongRunningAdmissionOptions {
  /// Share of a service's processors that long-running work may reserve until
  /// `observation_time` after non-serving work was first observed, and while
  /// the peak use is above `low_use`.
  double initial_share = 0.6;
  /// The share while the peak use is low; see `low_use`. In experiments on
  /// three deployments the total value for callers was highest at 0.8 (in
  /// thousands: 20.1 at 0.9, 21.0 at 0.8, 20.9 at 0.7, 20.6 at 0.6).
  double raised_share = 0.8;
  /// No more long-running work is admitted while the peak use is above this.
  /// The use includes waiting work, so it may exceed 1. On days with light load
  /// the use was 0.4 to 0.97, briefly 1.13, while the jobs that are not
  /// long-running met their objectives; it rose from 1.15 to 1.68 where those
  /// jobs were late.
  double max_use = 0.85;
  /// Up to this peak use, long-running work may reserve `raised_share` once
  /// non-serving work was first observed `observation_time` ago.
  double low_use = 0.65;
  /// How long ago non-serving work must first have been observed before low use
  /// counts as evidence: nearly two periods of the load swings that were
  /// observed on simulated days (11 s each).
  Millis observation_time{20'000};
  /// Non-serving work counts as observed above this use.
  double min_present_use = 0.1;
  /// Time constant with which the recorded peak use decays.
  Millis peak_decay_time{10'000};
};

/// Processors of a service, in thousandths. Non-serving work has no latency
/// target. It includes long-running and best-effort work. The use is
/// `requested / available`.
struct ServiceLoad {
  /// Processors that serving work is expected to leave unused.
  double available = 0;
  /// Processors requested by non-serving runs on workers, long-running ones
  /// included, and by unplaced tasks that are ready and not long-running.
  double requested = 0;
};

class LongRunningAdmission {
 public:
  explicit LongRunningAdmission(const LongRunningAdmissionOptions& options)
      : options_(options) {}

  /// To be called a few times a second.
  void Observe(const ServiceLoad& load, Instant now);
  /// Whether a job that reserves `requested` until it is cancelled may be
  /// admitted beside long-running work that reserves `reserved`. All amounts
  /// are in thousandths of a processor. Always true while the service's
  /// capacity is unknown (0).
  bool Allows(int64_t requested,
              int64_t reserved,
              int64_t capacity,
              Instant now) const;

  /// Peak of the use (see `ServiceLoad`); it decays to the current use.
  double peak_use() const { return peak_use_; }
  /// Whether non-serving work was first observed at least `observation_time`
  /// ago.
  bool IsObservationTimeOver(Instant now) const;

 private:
  const LongRunningAdmissionOptions options_;
  double peak_use_ = 0;
  Instant observed_{};
  /// When non-serving work was first observed; zero: not yet.
  Instant present_since_{};
};

}  // namespace doorwood

#endif  // DOORWOOD_LONG_RUNNING_ADMISSION_H_
