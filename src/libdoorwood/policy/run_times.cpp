// SPDX-License-Identifier: Apache-2.0

#include "doorwood/run_times.h"

#include <algorithm>
#include <cmath>

namespace doorwood {
namespace {

// Variance of the logarithms of the estimates in the prior. The prior assumes
// that run times equal their estimates. The estimates of one queue differ by
// about half their size.
constexpr double kPriorVariance = 0.25;
// Variance of the logarithm of the run time around that of the estimate in the
// prior; see the figures at RunTimeModel.
constexpr double kPriorErrorVariance = 1.0;

double LogOf(Millis time) {
  return std::log(static_cast<double>(std::max<int64_t>(1, time.count())));
}

}  // namespace

void RunTimeModel::Observe(std::string_view queue,
                           int count,
                           Millis estimate,
                           Millis run_time) {
  auto found = queues_.find(queue);
  if (found == queues_.end()) {
    found = queues_.emplace(std::string(queue), Sums{}).first;
  }
  Sums& sums = found->second;
  // Tasks of one step behave alike, so together they weigh as one observation.
  const double weight = 1.0 / std::max(1, count);
  const double kept = 1.0 - weight / options_.decay_steps;
  const double x = LogOf(estimate);
  const double y = LogOf(run_time);
  const double error = y - LogOf(ExpectedRunTime(queue, estimate));
  sums.weight = sums.weight * kept + weight;
  sums.x = sums.x * kept + weight * x;
  sums.y = sums.y * kept + weight * y;
  sums.xx = sums.xx * kept + weight * x * x;
  sums.xy = sums.xy * kept + weight * x * y;
  sums.errors = sums.errors * kept + weight * error * error;
}

double RunTimeModel::LogSpread(std::string_view queue) const {
  const auto found = queues_.find(queue);
  const Sums sums = found == queues_.end() ? Sums{} : found->second;
  return std::sqrt(
      (sums.errors + options_.estimate_weight * kPriorErrorVariance) /
      (sums.weight + options_.estimate_weight));
}

Millis RunTimeModel::ExpectedRunTime(std::string_view queue,
                                     Millis estimate) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.weight <= 0) {
    return estimate;
  }
  const Sums& sums = found->second;
  const double x = LogOf(estimate);
  const double mean_x = sums.x / sums.weight;
  const double mean_y = sums.y / sums.weight;
  const double variance =
      std::max(0.0, sums.xx - sums.weight * mean_x * mean_x);
  const double covariance = sums.xy - sums.weight * mean_x * mean_y;
  const double prior = options_.estimate_weight * kPriorVariance;
  const double slope =
      std::clamp((covariance + prior) / (variance + prior), 0.0, 1.0);
  const double fitted = mean_y + slope * (x - mean_x);
  const double expected =
      (sums.weight * fitted + options_.estimate_weight * x) /
      (sums.weight + options_.estimate_weight);
  return Millis(static_cast<int64_t>(std::exp(expected)));
}

}  // namespace doorwood
