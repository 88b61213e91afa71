// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which faults come when: the same for the same seed.

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
  kStoreSilent,
  kStoreForgets,
  kRevoke,
  kKill,
  kPause,
  kPlannedStop,
  kCrashWorker,
  kWorkerLeaves,
  kDropEntry,
  /// From here on not drawn among the faults: see MakeChangePlan.
  kConfigure,
  kHangUp,
  /// See MakeReplacePlan.
  kReplaceWorker,
  kCount,
};

std::string_view ToString(FaultKind kind);
/// Something that operators do not do on purpose.
bool IsUnplanned(FaultKind kind);

struct Fault {
  /// From the beginning of the faults.
  Millis at{0};
  Millis lasts{0};
  FaultKind kind = FaultKind::kCutStore;
  /// Hits who leads then; otherwise, whom `pick` falls on.
  bool leader = false;
  uint32_t pick = 0;
  Way way = Way::kBoth;
  /// See `Link::Heal`.
  Millis old_after{0};
};

/// Sorted by time; all are over after `length`.
std::vector<Fault> MakeFaultPlan(uint64_t seed, Millis length);

/// Configurations and changed settings, single and in quick series, to be
/// played beside the faults.
std::vector<Fault> MakeChangePlan(uint64_t seed, Millis length);

/// Workers replaced one by one from about `from` on, and beside it either
/// planned stops of all instances in turn, or of who leads, or kills of who
/// leads. Sorted by time; all are over after `until`.
std::vector<Fault> MakeReplacePlan(uint64_t seed, Millis from, Millis until);

/// Planned stops of one instance after the other, and of who leads.
std::vector<Fault> MakeStopPlan(Millis length);

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_FAULT_PLAN_H_
