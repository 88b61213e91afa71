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
    "settings are read again",
    "a worker is replaced"};
// One fault in this many is a stepwise partition: it is rarer than the others
// because it takes longer to have an effect.
constexpr uint64_t kSteppedCutOneIn = 8;
constexpr uint64_t kShortestPause = 100;        // ms
constexpr uint64_t kLongestPause = 1800;        // ms
constexpr uint64_t kShortestFault = 400;        // ms
constexpr uint64_t kLongestFault = 9000;        // ms
constexpr uint64_t kShortestSteps = 8000;       // ms
constexpr uint64_t kLongestSteps = 14'000;      // ms
constexpr uint64_t kLongestResumeDelay = 6000;  // ms
constexpr uint64_t kShortestCalm = 300;         // ms
constexpr uint64_t kLongestCalm = 3000;         // ms
constexpr uint64_t kLongestSeries = 5;          // changes
constexpr uint64_t kShortestBetween = 5;        // ms
constexpr uint64_t kLongestBetween = 250;       // ms
// Mixed into the seed so that the plans of a seed do not begin alike.
constexpr uint64_t kChangesSeed = 0x636f6e666967;
constexpr uint64_t kReplacedSeed = 0x7265706c616365;
constexpr uint64_t kShortestReplaced = 700;  // ms, from one to the next
constexpr uint64_t kLongestReplaced = 2000;  // ms
constexpr uint64_t kShortestOverlap = 3000;  // ms
constexpr uint64_t kLongestOverlap = 5000;   // ms
// The tasks of a replaced worker move within this time after the replacement.
constexpr uint64_t kShortestMoveTime = 300;  // ms
constexpr uint64_t kLongestMoveTime = 1300;  // ms
// The series begins within the first fourth of its time.
constexpr int kSeriesStartDivisor = 4;

// How the leader changes while workers are replaced.
struct LeaderChange {
  FaultKind kind;
  bool leader;
  uint64_t shortest;  // ms, from one to the next
  uint64_t longest;   // ms
};
constexpr std::array<LeaderChange, 4> kLeaderChanges = {
    {{FaultKind::kPlannedStop, false, 2000, 2500},
     {FaultKind::kPlannedStop, true, 3000, 6000},
     {FaultKind::kKill, true, 8000, 11'000},
     {FaultKind::kKill, true, 10'000, 14'000}}};
// A stopped instance runs again after about 3.5 s.
constexpr Millis kBetweenStops{2500};

// Random numbers that depend on the seed alone. The distributions of the
// standard library are not used: their results differ between libraries.
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
  fault.kind = draws->Below(kSteppedCutOneIn) == 0
                   ? FaultKind::kCutCentreInSteps
                   : static_cast<FaultKind>(draws->Below(kFaultKinds));
  // Most faults are short; some last longer than every lease.
  const uint64_t longest =
      draws->Below(2) == 0 ? kLongestFault / 4 : kLongestFault;
  fault.duration = draws->Between(kShortestFault, longest);
  if (fault.kind == FaultKind::kCutCentreInSteps) {
    fault.duration = draws->Between(kShortestSteps, kLongestSteps);
  }
  fault.leader = draws->Below(2) == 0;
  fault.pick = static_cast<uint32_t>(draws->Below(UINT32_MAX));
  fault.way = DrawWay(draws);
  fault.resume_delay =
      draws->Below(2) == 0 ? Millis(0) : draws->Between(0, kLongestResumeDelay);
  return fault;
}

std::vector<Fault> DrawReplacements(Draws* draws, Millis from, Millis until) {
  std::vector<Fault> plan;
  Fault fault;
  fault.kind = FaultKind::kReplaceWorker;
  for (fault.at = from; fault.at + Millis(kLongestOverlap) <= until;
       fault.at += draws->Between(kShortestReplaced, kLongestReplaced)) {
    fault.duration = draws->Between(kShortestOverlap, kLongestOverlap);
    plan.push_back(fault);
  }
  return plan;
}

// Faults of the leader are placed while the tasks of a replaced worker move.
std::vector<Fault> DrawLeaderChanges(Draws* draws,
                                     const std::vector<Fault>& replaced,
                                     Millis from,
                                     Millis until) {
  const LeaderChange& change =
      kLeaderChanges[draws->Below(kLeaderChanges.size())];
  std::vector<Fault> plan;
  Fault fault;
  fault.kind = change.kind;
  fault.leader = change.leader;
  fault.pick = static_cast<uint32_t>(draws->Below(UINT16_MAX));
  auto moving = replaced.begin();
  for (Millis at = from;;) {
    at += draws->Between(change.shortest, change.longest);
    while (moving != replaced.end() && moving->at < at) {
      ++moving;
    }
    fault.at = at;
    if (change.leader && moving != replaced.end()) {
      fault.at =
          moving->at + draws->Between(kShortestMoveTime, kLongestMoveTime);
    }
    if (fault.at > until) {
      return plan;
    }
    ++fault.pick;
    plan.push_back(fault);
  }
}

bool IsEarlier(const Fault& one, const Fault& other) {
  return one.at < other.at;
}

}  // namespace

std::string_view ToString(FaultKind kind) {
  return kNames[static_cast<size_t>(kind)];
}

bool IsUnplanned(FaultKind kind) {
  switch (kind) {
    case FaultKind::kPlannedStop:
    case FaultKind::kWorkerLeaves:
    case FaultKind::kConfigure:
    case FaultKind::kReloadSettings:
    case FaultKind::kReplaceWorker:
      return false;
    default:
      return true;
  }
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
    fault.duration = std::min(fault.duration, length - at);
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
    change.kind = draws.Below(2) == 0 ? FaultKind::kConfigure
                                      : FaultKind::kReloadSettings;
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

std::vector<Fault> MakeReplacePlan(uint64_t seed, Millis from, Millis until) {
  Draws draws(seed ^ kReplacedSeed);
  const Millis begin =
      from + draws.Between(0, (until - from).count() / kSeriesStartDivisor);
  std::vector<Fault> plan = DrawReplacements(&draws, begin, until);
  const auto changes = DrawLeaderChanges(&draws, plan, begin, until);
  plan.insert(plan.end(), changes.begin(), changes.end());
  std::stable_sort(plan.begin(), plan.end(), IsEarlier);
  return plan;
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
