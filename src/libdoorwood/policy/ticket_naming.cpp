// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ticket_naming.h"

#include <algorithm>
#include <numeric>

namespace doorwood {
namespace {

// The estimate before any answer, and the number of workers as which it counts.
constexpr double kPriorShare = 0.5;
constexpr double kPriorWorkers = 8;
// Weight of the general share in the estimate for a step, in workers.
constexpr double kGeneralWorkers = 4;
// Older answers count less once this many workers were named.
constexpr double kMaxCountedWorkers = 400;
// Longer times are not waited for; keeps sums of any stated times in range.
constexpr Millis kLongestDecision{600'000};
// Keeps the number of named workers finite if none was permitted yet.
constexpr double kMinShare = 0.01;

// Number of workers whose decisions take no longer than the fixed part of one
// call.
size_t WorkersPerFixedTime(const AdvicePolicy& policy) {
  if (policy.decision_time_each <= Millis(0)) {
    return kMaxNamedWorkers;
  }
  return static_cast<size_t>(
      std::max<int64_t>(1, policy.decision_time / policy.decision_time_each));
}

}  // namespace

std::vector<TicketTurns::Turn> TicketTurns::Order(
    std::span<const std::string> steps,
    uint64_t calls) const {
  std::vector<Turn> order;
  if (calls % 2 == 0) {
    for (size_t i = 0; i < std::min(steps.size(), kMaxConsidered); ++i) {
      order.push_back({i, false});
    }
  }
  std::vector<size_t> by_name(steps.size());
  std::iota(by_name.begin(), by_name.end(), size_t{0});
  std::sort(by_name.begin(), by_name.end(),
            [&](size_t a, size_t b) { return steps[a] < steps[b]; });
  const auto next = std::partition_point(
      by_name.begin(), by_name.end(),
      [&](size_t index) { return steps[index] <= last_in_turn_; });
  std::rotate(by_name.begin(), next, by_name.end());
  by_name.resize(std::min(by_name.size(), kMaxConsidered));
  for (const size_t index : by_name) {
    order.push_back({index, true});
  }
  return order;
}

void PermittedShare::Observe(size_t named, size_t permitted) {
  named_ += static_cast<double>(named);
  permitted_ += static_cast<double>(permitted);
  if (named_ > kMaxCountedWorkers) {
    permitted_ *= kMaxCountedWorkers / named_;
    named_ = kMaxCountedWorkers;
  }
}

double PermittedShare::Estimate(size_t named, size_t permitted) const {
  const double general =
      (permitted_ + kPriorShare * kPriorWorkers) / (named_ + kPriorWorkers);
  return (static_cast<double>(permitted) + general * kGeneralWorkers) /
         (static_cast<double>(named) + kGeneralWorkers);
}

Millis StatedDecisionTime(const AdvicePolicy& policy, size_t workers) {
  const auto bounded = [](Millis time) {
    return std::clamp(time, Millis(0), kLongestDecision);
  };
  return bounded(bounded(policy.decision_time) +
                 bounded(policy.decision_time_each) *
                     static_cast<int64_t>(workers));
}

std::vector<std::string> ChooseWorkersToName(const TicketDemand& demand,
                                             double permitted_share) {
  const double share = std::clamp(permitted_share, kMinShare, 1.0);
  const size_t least_unknown = WorkersPerFixedTime(demand.policy);
  const auto tasks = static_cast<double>(demand.tasks);
  std::vector<std::string> named;
  double expected = 0;
  const auto add = [&](Permission permission, double weight, size_t least) {
    for (const TicketCandidate& candidate : demand.candidates) {
      const bool is_needed = expected < tasks || named.size() < least;
      if (!is_needed || named.size() >= kMaxNamedWorkers) {
        return;
      }
      if (candidate.permission == permission) {
        named.push_back(candidate.worker);
        expected += weight * candidate.capacity;
      }
    }
  };
  add(Permission::kPermitted, 1.0, 0);
  if (expected < tasks) {
    add(Permission::kUnknown, share, least_unknown);
  }
  if (named.empty()) {
    add(Permission::kRefused, share, least_unknown);
  }
  return named;
}

}  // namespace doorwood
