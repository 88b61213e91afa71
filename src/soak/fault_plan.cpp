// SPDX-License-Identifier: Apache-2.0

#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace doorwood::soak {
namespace {

constexpr size_t kKinds = static_cast<size_t>(FaultKind::kCount);
constexpr size_t kFaultKinds = static_cast<size_t>(FaultKind::kConfigure);
constexpr std::array<std::string_view, kKinds> kNames = {
    "cut from the store",
    "cut from workers elsewhere",
    "cut of a data centre",
    "cut of a data centre in steps",
    "cut from other instances",
    "cut from everything",
    "resets by the store",
    "reset of all connections",
    "delay",
    "the store refuses one",
    "the store refuses all",
    "the store is slow",
    "the store is silent to all",
    "the store forgets its history",
    "keys taken away",
    "kill",
    "pause",
    "planned stop",
    "crash of a worker",
    "a worker leaves",
    "a worker's entry goes",
    "a new configuration",
    "settings are read again"};
// One in so many is a cut in steps, which needs time to tell.
constexpr uint64_t kStepsAmong = 8;
constexpr uint64_t kShortestPause = 100;    // ms
constexpr uint64_t kLongestPause = 1800;    // ms
constexpr uint64_t kShortestFault = 400;    // ms
constexpr uint64_t kLongestFault = 9000;    // ms
constexpr uint64_t kShortestSteps = 8000;   // ms
constexpr uint64_t kLongestSteps = 14'000;  // ms
constexpr uint64_t kLongestResume = 6000;   // ms
constexpr uint64_t kShortestCalm = 300;     // ms
constexpr uint64_t kLongestCalm = 3000;     // ms
constexpr uint64_t kLongestSeries = 5;      // changes
constexpr uint64_t kShortestBetween = 5;    // ms
constexpr uint64_t kLongestBetween = 250;   // ms
// So that the two plans of a seed do not begin alike.
constexpr uint64_t kChangesSeed = 0x636f6e666967;
// A stopped instance is back after about 3.5 s.
constexpr Millis kBetweenStops{2500};

// Numbers that depend on nothing but the seed; those of the standard's
// distributions may differ from library to library.
class Draws {
 public:
  explicit Draws(uint64_t seed) : random_(seed) {}

  uint64_t Below(uint64_t bound) { return random_() % bound; }
  Millis Between(uint64_t least, uint64_t most) {
    return Millis(least + Below(most - least + 1));
  }

 private:
  std::mt19937_64 random_;
};

Way DrawWay(Draws* draws) {
  constexpr std::array<Way, 4> kWays = {Way::kBoth, Way::kBoth, Way::kThere,
                                        Way::kBack};
  return kWays[draws->Below(kWays.size())];
}

Fault DrawFault(Draws* draws) {
  Fault fault;
  fault.kind = draws->Below(kStepsAmong) == 0
                   ? FaultKind::kCutCentreInSteps
                   : static_cast<FaultKind>(draws->Below(kFaultKinds));
  // Most are short, some outlast every lease.
  const uint64_t longest =
      draws->Below(2) == 0 ? kLongestFault / 4 : kLongestFault;
  fault.lasts = draws->Between(kShortestFault, longest);
  if (fault.kind == FaultKind::kCutCentreInSteps) {
    fault.lasts = draws->Between(kShortestSteps, kLongestSteps);
  }
  fault.leader = draws->Below(2) == 0;
  fault.pick = static_cast<uint32_t>(draws->Below(UINT32_MAX));
  fault.way = DrawWay(draws);
  fault.old_after =
      draws->Below(2) == 0 ? Millis(0) : draws->Between(0, kLongestResume);
  return fault;
}

}  // namespace

std::string_view ToString(FaultKind kind) {
  return kNames[static_cast<size_t>(kind)];
}

std::vector<Fault> MakeFaultPlan(uint64_t seed, Millis length) {
  Draws draws(seed);
  std::vector<Fault> plan;
  Millis at{0};
  for (;;) {
    at += draws.Between(kShortestPause, kLongestPause);
    if (at + Millis(kShortestFault) > length) {
      return plan;
    }
    Fault fault = DrawFault(&draws);
    fault.at = at;
    fault.lasts = std::min(fault.lasts, length - at);
    plan.push_back(fault);
  }
}

std::vector<Fault> MakeChangePlan(uint64_t seed, Millis length) {
  Draws draws(seed ^ kChangesSeed);
  std::vector<Fault> plan;
  Millis at{0};
  for (;;) {
    at += draws.Between(kShortestCalm, kLongestCalm);
    const uint64_t series = 1 + draws.Below(kLongestSeries);
    Fault change;
    change.kind =
        draws.Below(2) == 0 ? FaultKind::kConfigure : FaultKind::kHangUp;
    change.leader = draws.Below(2) == 0;
    change.pick = static_cast<uint32_t>(draws.Below(UINT32_MAX));
    for (uint64_t i = 0; i < series; ++i) {
      at += draws.Between(kShortestBetween, kLongestBetween);
      if (at > length) {
        return plan;
      }
      change.at = at;
      plan.push_back(change);
    }
  }
}

std::vector<Fault> MakeStopPlan(Millis length) {
  std::vector<Fault> plan;
  for (Millis at = kBetweenStops; at <= length; at += kBetweenStops) {
    Fault fault;
    fault.at = at;
    fault.kind = FaultKind::kPlannedStop;
    fault.pick = static_cast<uint32_t>(plan.size());
    fault.leader = plan.size() % 3 == 0;
    plan.push_back(fault);
  }
  return plan;
}

}  // namespace doorwood::soak
