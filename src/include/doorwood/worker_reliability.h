// SPDX-License-Identifier: Apache-2.0

/// \file
/// Evidence about workers that fail their runs or slow them down, and the
/// decision which workers are set aside. A worker that is set aside gets few
/// runs at a time, preferably ones that lose little when they fail. Makes no
/// calls and reads no clock.

#ifndef DOORWOOD_WORKER_RELIABILITY_H_
#define DOORWOOD_WORKER_RELIABILITY_H_

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

struct WorkerReliabilityOptions {
  /// Largest share of a service's workers that is set aside at the same time; 0
  /// turns the decision off. If more qualify, the cause is rarely the workers,
  /// and the service needs their capacity.
  double max_set_aside_share = 0;
  /// Time constant with which evidence decays. A worker that is repaired is
  /// back within about this time.
  Millis evidence_lifetime{15'000};
  /// A worker is set aside only if its failure rate is certainly above this. At
  /// one failure in ten runs a job of ten tasks meets one more often than not,
  /// and a repeated run makes it miss an objective of 1.5 times its run time.
  double min_failure_rate = 0.1;
  /// And above this multiple of the failure rate of the service's other
  /// workers.
  double min_rate_factor = 2;
  /// A worker is set aside if its runs certainly take longer than those of the
  /// service's other workers by this factor. Beyond it, a job with an objective
  /// of 1.5 times its run time has no time left for waiting.
  double min_slowdown = 1.3;
  /// Width of the confidence intervals in standard deviations. All workers are
  /// tested all the time, so a chance of one in a thousand a worker is needed.
  double confidence = 3;
  /// A worker that is set aside is taken back when its failure rate and
  /// slowdown are no longer certainly above this share of the limits.
  double return_share = 0.5;
  /// Most runs at a time on a worker that is set aside: enough to find out
  /// whether it works again.
  int max_runs_set_aside = 2;
  /// Maximum number of tasks whose first failure is remembered.
  size_t max_failed_tasks = 2048;
};

/// Decayed sums over the ends of runs on one worker.
struct RunEvidence {
  /// Ends that were `done` or `failed`, and the failed ones among them.
  double runs = 0;
  double failures = 0;
  /// Number, sum and sum of squares of the logarithms of run time divided by
  /// expected run time.
  double timed = 0;
  double log_ratio = 0;
  double log_ratio_squared = 0;

  void Decay(double factor);
  void Add(const RunEvidence& other);
};

/// Lower end of the Wilson confidence interval of a rate of which `hits` of
/// `count` were observed, `deviations` standard deviations wide to each side; 0
/// without observations.
double LowerRateBound(double hits, double count, double deviations);

/// A worker that may be set aside.
struct ServiceWorker {
  std::string_view worker;
  std::string_view service;
};

/// A change of the decision, with its inputs.
struct SetAsideChange {
  std::string worker;
  bool set_aside = false;
  RunEvidence evidence;
  /// Lower bounds of the worker's failure rate and slowdown.
  double failure_rate = 0;
  double slowdown = 0;
  /// Failure rate of the service.
  double service_failure_rate = 0;
};

class WorkerReliability {
 public:
  explicit WorkerReliability(const WorkerReliabilityOptions& options)
      : options_(options) {}

  /// A run of the task completed the task there.
  void OnDone(const std::string& worker, const std::string& task, Instant now);
  /// A run of the task failed there. If the task has failed on another worker
  /// before, both failures are taken as the task's own.
  void OnFailed(const std::string& worker,
                const std::string& task,
                Instant now);
  /// A run at full speed took `taken`, and was expected to take `expected`.
  void OnRunTime(const std::string& worker,
                 Millis expected,
                 Millis taken,
                 Instant now);
  /// Decides anew which of the workers are set aside. Nothing changes for
  /// workers that are not named.
  std::vector<SetAsideChange> Update(std::span<const ServiceWorker> workers,
                                     Instant now);

  bool IsSetAside(std::string_view worker) const;
  /// Whether the worker, with `runs` runs there, may get another one.
  bool AllowsStart(std::string_view worker, size_t runs) const;
  size_t set_aside() const { return set_aside_count_; }

  /// Evidence to be kept for a successor: that of a worker that is set aside.
  /// Null for any other.
  const RunEvidence* EvidenceToRecord(std::string_view worker) const;
  /// Takes over the evidence of an earlier leader. The worker is set aside
  /// until the next `Update` that names it.
  void Restore(const std::string& worker,
               const RunEvidence& evidence,
               Instant now);
  /// Forgets a worker, because it is gone or has been restarted.
  void RemoveWorker(const std::string& worker);
  void Clear();

 private:
  struct Record {
    RunEvidence evidence;
    Instant updated{};
    bool set_aside = false;
  };
  /// First failure of a task that is not done yet.
  struct FailedTask {
    /// Empty: the task has failed on several workers.
    std::string worker;
    Instant at{};
  };
  struct Rating {
    double failure_rate = 0;
    double slowdown = 0;
    /// How far the worker is beyond the limits; at least 1 qualifies.
    double severity = 0;
  };

  Record& RecordAt(const std::string& worker, Instant now);
  /// Share of evidence that is left after `age`.
  double Remaining(Instant::duration age) const;
  Rating Rate(const RunEvidence& evidence, const RunEvidence& service) const;
  void RememberFailedTask(const std::string& task, FailedTask failed);

  const WorkerReliabilityOptions options_;
  std::map<std::string, Record, std::less<>> records_;
  std::map<std::string, FailedTask> failed_tasks_;
  size_t set_aside_count_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_RELIABILITY_H_
