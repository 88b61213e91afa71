// SPDX-License-Identifier: Apache-2.0

#include "doorwood/interference.h"

#include <algorithm>

namespace doorwood {
namespace {

// Keeps the correction bounded where little best-effort work runs.
constexpr double kRegularization = 4.0;

}  // namespace

ImageId InterferenceModel::Intern(std::string_view image) {
  const auto known = ids_.find(image);
  if (known != ids_.end()) {
    return known->second;
  }
  const auto id = static_cast<ImageId>(ids_.size());
  ids_.emplace(image, id);
  base_latency_.push_back(0);
  for (std::vector<double>& row : interference_) {
    row.push_back(options_.default_interference);
  }
  interference_.emplace_back(ids_.size(), options_.default_interference);
  return id;
}

double InterferenceModel::BaseLatency(ImageId image, Millis target) const {
  const auto target_ms = static_cast<double>(target.count());
  if (base_latency_[image] <= 0) {
    return target_ms * options_.initial_base_share;
  }
  return std::max(base_latency_[image], target_ms * options_.min_base_share);
}

double InterferenceModel::Utilization(ImageId image,
                                      int64_t tail_latency_ms,
                                      Millis target) const {
  const double base = BaseLatency(image, target);
  const double tail = std::max(base, static_cast<double>(tail_latency_ms));
  return 1.0 - base / tail;
}

double InterferenceModel::UtilizationAtShare(ImageId image,
                                             Millis target,
                                             double share) const {
  const double tail = static_cast<double>(target.count()) * share;
  return Utilization(image, static_cast<int64_t>(tail), target);
}

void InterferenceModel::Decay(Millis passed) {
  const double kept =
      1.0 - static_cast<double>(passed.count()) /
                static_cast<double>(options_.decay_time.count());
  for (std::vector<double>& row : interference_) {
    for (double& factor : row) {
      const double excess = factor - options_.default_interference;
      if (excess > 0) {
        factor = options_.default_interference + excess * kept;
      }
    }
  }
}

double InterferenceModel::Observe(ImageId serving,
                                  int64_t tail_latency_ms,
                                  Millis target,
                                  std::span<const BestEffortLoad> best_effort,
                                  double load) {
  if (tail_latency_ms <= 0 || target <= Millis(0)) {
    return load;
  }
  const auto tail = static_cast<double>(tail_latency_ms);
  double& base = base_latency_[serving];
  base = base > 0 ? std::min(base, tail) : tail;
  const double utilization = Utilization(serving, tail_latency_ms, target);
  double added = 0;
  double squares = 0;
  for (const BestEffortLoad& item : best_effort) {
    added += InterferencePerCore(serving, item.image) * item.cores;
    squares += item.cores * item.cores;
  }
  if (load < 0) {
    return std::max(0.0, utilization - added);
  }
  const double error = utilization - std::min(load + added, 1.0);
  for (const BestEffortLoad& item : best_effort) {
    double& factor = interference_[serving][item.image];
    factor += options_.learning_rate * error * item.cores /
              (squares + kRegularization);
    factor = std::clamp(factor, 0.0, options_.max_interference);
  }
  const double rate = squares > 0 ? options_.load_learning_rate
                                  : options_.load_learning_rate_alone;
  return std::clamp(load + rate * error, 0.0, 1.0);
}

}  // namespace doorwood
