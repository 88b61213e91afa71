// SPDX-License-Identifier: Apache-2.0

/// \file
/// Schedules of faults, reproducible from a seed.

#ifndef DOORWOOD_SOAK_FAULT_PLAN_H_
#define DOORWOOD_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "soak/link.h"

namespace doorwood::soak {

enum class FaultKind {
  kCutStore,
  kCutWorkersElsewhere,
  kCutCentre,
  kCutCentreInSteps,
  kCutPeers,
  kCutInstance,
  kResetStore,
  kResetInstance,
  kDelayInstance,
  kStoreRefuses,
  kStoreRefusesAll,
  kStoreSlow,
  kStoreUnreachable,
  kCompactStore,
  kDropLeaseKeys,
  kKill,
  kPause,
  kPlannedStop,
  kCrashWorker,
  kWorkerLeaves,
  kDropEntry,
  /// This kind and the following ones are not part of MakeFaultPlan; see
  /// MakeChangePlan.
  kConfigure,
  kReloadSettings,
  /// See MakeReplacePlan.
  kReplaceWorker,
  /// See MakeSilencePlan.
  kSilenceConnections,
  kCount,
};

std::string_view ToString(FaultKind kind);
/// True for faults, false for actions of operators.
bool IsUnplanned(FaultKind kind);

struct Fault {
  /// Start, from the beginning of the plan.
  Millis at{0};
  Millis duration{0};
  FaultKind kind = FaultKind::kCutStore;
  /// Whether the target is the leader at that time; otherwise `pick` selects
  /// it.
  bool leader = false;
  uint32_t pick = 0;
  Direction direction = Direction::kBoth;
  /// See `Link::Heal`.
  Millis resume_delay{0};
};

/// Random faults, sorted by time; all have ended after `length`.
std::vector<Fault> MakeFaultPlan(uint64_t seed, Millis length);

/// New configurations and reloaded settings, single and in quick series, to be
/// played alongside the faults.
std::vector<Fault> MakeChangePlan(uint64_t seed, Millis length);

/// Workers replaced one by one starting at about `from`, together with either
/// planned stops of all instances in turn, planned stops of the leader, or
/// kills of the leader. Sorted by time; all have ended after `until`.
std::vector<Fault> MakeReplacePlan(uint64_t seed, Millis from, Millis until);

/// Open connections of one instance after the other go silent for good, with a
/// new configuration within half a second.
std::vector<Fault> MakeSilencePlan(uint64_t seed, Millis length);

/// Planned stops of one instance after the other, and of the leader.
std::vector<Fault> MakeStopPlan(Millis length);

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_FAULT_PLAN_H_
