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
    "partition from the store",
    "partition from workers in other data centres",
    "partition of a data centre",
    "partition of a data centre in steps",
    "partition from other instances",
    "partition from everything",
    "connections reset by the store",
    "reset of all connections",
    "delay",
    "the store refuses one instance",
    "the store refuses all instances",
    "the store is slow",
    "the store is unreachable for all instances",
    "the store compacts its history",
    "keys of the instance's lease removed",
    "kill",
    "pause",
    "planned stop",
    "crash of a worker",
    "a worker leaves",
    "a worker's entry is removed",
    "a new configuration",
    "settings are reloaded",
    "a worker is replaced",
    "open connections go silent"};
// In addition to its share as one of the kinds, one fault in this many is a
// partition of a data centre that begins and heals in steps
// (kCutCentreInSteps), because that takes longer to have an effect.
constexpr uint64_t kSteppedCutOneIn = 8;
constexpr uint64_t kShortestPause = 100;           // ms
constexpr uint64_t kLongestPause = 1800;           // ms
constexpr uint64_t kShortestFault = 400;           // ms
constexpr uint64_t kLongestFault = 9000;           // ms
constexpr uint64_t kShortestSteppedCut = 8000;     // ms
constexpr uint64_t kLongestSteppedCut = 14'000;    // ms
constexpr uint64_t kLongestResumeDelay = 6000;     // ms
constexpr uint64_t kShortestSeriesInterval = 300;  // ms
constexpr uint64_t kLongestSeriesInterval = 3000;  // ms
constexpr uint64_t kLongestSeries = 5;             // changes
constexpr uint64_t kShortestChangeInterval = 5;    // ms
constexpr uint64_t kLongestChangeInterval = 250;   // ms
// Mixed into the seed so that the plans made from one seed use different random
// numbers.
constexpr uint64_t kChangesSeed = 0x636f6e666967;
constexpr uint64_t kSilenceSeed = 0x73696c656e6365;
// From one silence to the next. Longer than the time within which an instance
// has the configuration that follows the silence.
constexpr uint64_t kShortestSilenceInterval = 4000;  // ms
constexpr uint64_t kLongestSilenceInterval = 6000;   // ms
constexpr uint64_t kLongestTimeToChange = 500;       // ms
constexpr uint64_t kReplacementsSeed = 0x7265706c616365;
constexpr uint64_t kShortestReplacementInterval =
    700;  // ms, from one to the next
constexpr uint64_t kLongestReplacementInterval = 2000;  // ms
constexpr uint64_t kShortestOverlap = 3000;             // ms
constexpr uint64_t kLongestOverlap = 5000;              // ms
// From the replacement of a worker to a fault of the leader, which thus occurs
// while the tasks of that worker move.
constexpr uint64_t kShortestMoveTime = 300;  // ms
constexpr uint64_t kLongestMoveTime = 1300;  // ms
// A series begins within the first quarter of the time planned for it.
constexpr int kSeriesStartDivisor = 4;

// Repeated stops or kills while workers are replaced; `leader` as in `Fault`.
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
// A stopped instance runs again after about 3.5 s, so successive stops overlap.
constexpr Millis kStopInterval{2500};

// Random numbers that depend on the seed alone. The distributions of the
// standard library are not used: their results differ between libraries.
class SeededRandom {
 public:
  explicit SeededRandom(uint64_t seed) : random_(seed) {}

  uint64_t RandomBelow(uint64_t bound) { return random_() % bound; }
  Millis RandomBetween(uint64_t least, uint64_t most) {
    return Millis(least + RandomBelow(most - least + 1));
  }

 private:
  std::mt19937_64 random_;
};

Direction DrawDirection(SeededRandom* random) {
  constexpr std::array<Direction, 4> kDirections = {
      Direction::kBoth, Direction::kBoth, Direction::kToServer,
      Direction::kToCaller};
  return kDirections[random->RandomBelow(kDirections.size())];
}

Fault DrawFault(SeededRandom* random) {
  Fault fault;
  fault.kind = random->RandomBelow(kSteppedCutOneIn) == 0
                   ? FaultKind::kCutCentreInSteps
                   : static_cast<FaultKind>(random->RandomBelow(kFaultKinds));
  // Most faults are short; some last longer than every lease.
  const uint64_t longest =
      random->RandomBelow(2) == 0 ? kLongestFault / 4 : kLongestFault;
  fault.duration = random->RandomBetween(kShortestFault, longest);
  if (fault.kind == FaultKind::kCutCentreInSteps) {
    fault.duration =
        random->RandomBetween(kShortestSteppedCut, kLongestSteppedCut);
  }
  fault.leader = random->RandomBelow(2) == 0;
  fault.pick = static_cast<uint32_t>(random->RandomBelow(UINT32_MAX));
  fault.direction = DrawDirection(random);
  fault.resume_delay = random->RandomBelow(2) == 0
                           ? Millis(0)
                           : random->RandomBetween(0, kLongestResumeDelay);
  return fault;
}

std::vector<Fault> DrawReplacements(SeededRandom* random,
                                    Millis from,
                                    Millis until) {
  std::vector<Fault> plan;
  Fault fault;
  fault.kind = FaultKind::kReplaceWorker;
  for (fault.at = from; fault.at + Millis(kLongestOverlap) <= until;
       fault.at += random->RandomBetween(kShortestReplacementInterval,
                                         kLongestReplacementInterval)) {
    fault.duration = random->RandomBetween(kShortestOverlap, kLongestOverlap);
    plan.push_back(fault);
  }
  return plan;
}

// Picks one of `kLeaderChanges` and repeats it at random intervals. If it
// targets the leader, each fault is placed while the tasks of a replaced worker
// move, as long as workers are replaced.
std::vector<Fault> DrawLeaderChanges(SeededRandom* random,
                                     const std::vector<Fault>& replaced,
                                     Millis from,
                                     Millis until) {
  const LeaderChange& change =
      kLeaderChanges[random->RandomBelow(kLeaderChanges.size())];
  std::vector<Fault> plan;
  Fault fault;
  fault.kind = change.kind;
  fault.leader = change.leader;
  fault.pick = static_cast<uint32_t>(random->RandomBelow(UINT16_MAX));
  auto moving = replaced.begin();
  for (Millis at = from;;) {
    at += random->RandomBetween(change.shortest, change.longest);
    while (moving != replaced.end() && moving->at < at) {
      ++moving;
    }
    fault.at = at;
    if (change.leader && moving != replaced.end()) {
      fault.at = moving->at +
                 random->RandomBetween(kShortestMoveTime, kLongestMoveTime);
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
  SeededRandom random(seed);
  std::vector<Fault> plan;
  Millis at{0};
  for (;;) {
    at += random.RandomBetween(kShortestPause, kLongestPause);
    if (at + Millis(kShortestFault) > length) {
      return plan;
    }
    Fault fault = DrawFault(&random);
    fault.at = at;
    fault.duration = std::min(fault.duration, length - at);
    plan.push_back(fault);
  }
}

std::vector<Fault> MakeChangePlan(uint64_t seed, Millis length) {
  SeededRandom random(seed ^ kChangesSeed);
  std::vector<Fault> plan;
  Millis at{0};
  for (;;) {
    at += random.RandomBetween(kShortestSeriesInterval, kLongestSeriesInterval);
    const uint64_t series = 1 + random.RandomBelow(kLongestSeries);
    Fault change;
    change.kind = random.RandomBelow(2) == 0 ? FaultKind::kConfigure
                                             : FaultKind::kReloadSettings;
    change.leader = random.RandomBelow(2) == 0;
    change.pick = static_cast<uint32_t>(random.RandomBelow(UINT32_MAX));
    for (uint64_t i = 0; i < series; ++i) {
      at +=
          random.RandomBetween(kShortestChangeInterval, kLongestChangeInterval);
      if (at > length) {
        return plan;
      }
      change.at = at;
      plan.push_back(change);
    }
  }
}

std::vector<Fault> MakeReplacePlan(uint64_t seed, Millis from, Millis until) {
  SeededRandom random(seed ^ kReplacementsSeed);
  const Millis begin = from + random.RandomBetween(0, (until - from).count() /
                                                          kSeriesStartDivisor);
  std::vector<Fault> plan = DrawReplacements(&random, begin, until);
  const auto changes = DrawLeaderChanges(&random, plan, begin, until);
  plan.insert(plan.end(), changes.begin(), changes.end());
  std::stable_sort(plan.begin(), plan.end(), IsEarlier);
  return plan;
}

std::vector<Fault> MakeSilencePlan(uint64_t seed, Millis length) {
  SeededRandom random(seed ^ kSilenceSeed);
  std::vector<Fault> plan;
  Millis at{0};
  for (;;) {
    at +=
        random.RandomBetween(kShortestSilenceInterval, kLongestSilenceInterval);
    if (at + Millis(kShortestSilenceInterval) > length) {
      return plan;
    }
    Fault silence;
    silence.at = at;
    silence.kind = FaultKind::kSilenceConnections;
    silence.leader = random.RandomBelow(2) == 0;
    silence.pick = static_cast<uint32_t>(random.RandomBelow(UINT32_MAX));
    plan.push_back(silence);
    Fault change;
    change.at = at + random.RandomBetween(0, kLongestTimeToChange);
    change.kind = FaultKind::kConfigure;
    plan.push_back(change);
  }
}

std::vector<Fault> MakeStopPlan(Millis length) {
  std::vector<Fault> plan;
  for (Millis at = kStopInterval; at <= length; at += kStopInterval) {
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
