// SPDX-License-Identifier: Apache-2.0

#include "doorwood/run_times.h"

#include <algorithm>
#include <cmath>

namespace doorwood {
namespace {

// Variance of the logarithm of guesses that the first, undoubting line is
// taken to rest on: guesses of one queue differ by about half their size.
constexpr double kFirstVariance = 0.25;

double LogOf(Millis time) {
  return std::log(static_cast<double>(std::max<int64_t>(1, time.count())));
}

}  // namespace

void RunTimeModel::Observe(std::string_view queue,
                           int count,
                           Millis guess,
                           Millis taken) {
  auto found = queues_.find(queue);
  if (found == queues_.end()) {
    found = queues_.emplace(std::string(queue), Sums{}).first;
  }
  Sums& sums = found->second;
  // The tasks of one step are alike, so all of them count as one.
  const double weight = 1.0 / std::max(1, count);
  const double kept = 1.0 - weight / options_.memory;
  const double x = LogOf(guess);
  const double y = LogOf(taken);
  sums.weight = sums.weight * kept + weight;
  sums.x = sums.x * kept + weight * x;
  sums.y = sums.y * kept + weight * y;
  sums.xx = sums.xx * kept + weight * x * x;
  sums.xy = sums.xy * kept + weight * x * y;
}

Millis RunTimeModel::Expect(std::string_view queue, Millis guess) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.weight <= 0) {
    return guess;
  }
  const Sums& sums = found->second;
  const double x = LogOf(guess);
  const double mean_x = sums.x / sums.weight;
  const double mean_y = sums.y / sums.weight;
  const double spread = std::max(0.0, sums.xx - sums.weight * mean_x * mean_x);
  const double common = sums.xy - sums.weight * mean_x * mean_y;
  const double first = options_.guess_weight * kFirstVariance;
  const double slope =
      std::clamp((common + first) / (spread + first), 0.0, 1.0);
  const double seen = mean_y + slope * (x - mean_x);
  const double expected = (sums.weight * seen + options_.guess_weight * x) /
                          (sums.weight + options_.guess_weight);
  return Millis(static_cast<int64_t>(std::exp(expected)));
}

}  // namespace doorwood
