// SPDX-License-Identifier: Apache-2.0

/// \file
/// Prediction of task run times, learned for each queue from completed tasks
/// and the callers' estimates. The accuracy of these estimates differs widely
/// between callers.

#ifndef DOORWOOD_RUN_TIMES_H_
#define DOORWOOD_RUN_TIMES_H_

#include <map>
#include <string>
#include <string_view>

#include "doorwood/types.h"

namespace doorwood {

struct RunTimeOptions {
  /// After this many completed steps of a queue the observations weigh as much
  /// as the estimate.
  double estimate_weight = 4;
  /// Number of further completed steps of the queue after which the weight of
  /// an observation has fallen to about a third.
  double decay_steps = 300;
};

/// For each queue, a line fitted through the logarithms of estimates and run
/// times. Estimates are taken as correct at first. Where they turn out to carry
/// little information, the line flattens and predictions approach the queue's
/// usual run time. In one day's logs a tenth of the runs took less than 0.4
/// times the estimate, and a tenth more than 5.9 times.
class RunTimeModel {
 public:
  explicit RunTimeModel(const RunTimeOptions& options) : options_(options) {}

  /// Records that a task of a step of `count` equal tasks ran for `run_time`
  /// at full speed.
  void Observe(std::string_view queue,
               int count,
               Millis estimate,
               Millis run_time);
  /// Expected run time of a task.
  Millis ExpectedRunTime(std::string_view queue, Millis estimate) const;
  /// Standard deviation of the logarithm of the run time from that of the
  /// expected one.
  double LogSpread(std::string_view queue) const;

 private:
  /// Weighted sums over the observations; x: logarithm of the estimate, y: of
  /// the run time.
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    /// Squared distances of y from the value expected before the observation.
    double errors = 0;
  };

  const RunTimeOptions options_;
  std::map<std::string, Sums, std::less<>> queues_;
};

}  // namespace doorwood

#endif  // DOORWOOD_RUN_TIMES_H_
