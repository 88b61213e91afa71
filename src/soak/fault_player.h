// SPDX-License-Identifier: Apache-2.0

/// \file
/// Carries out a fault plan on a `World`.

#ifndef DOORWOOD_SOAK_FAULT_PLAYER_H_
#define DOORWOOD_SOAK_FAULT_PLAYER_H_

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/world.h"

namespace doorwood::soak {

class FaultPlayer {
 public:
  explicit FaultPlayer(World& world) : world_(world) {}

  /// Calls `done` once every fault has ended.
  void Play(const std::vector<Fault>& plan, std::function<void()> done);

 private:
  /// Ends a fault.
  using Undo = std::function<void()>;

  void InjectInstanceFault(const Fault& fault);
  void OnFinished();
  size_t InstanceOf(const Fault& fault) const;
  /// Returns null if nothing has to be undone.
  Undo Begin(const Fault& fault, size_t instance);
  Undo BeginStoreFault(const Fault& fault, size_t instance);
  Undo BeginProcessFault(const Fault& fault, size_t instance);
  Undo Cut(const Fault& fault, Links links);
  Links LinksToCut(const Fault& fault, size_t instance) const;
  void InjectWorkerFault(const Fault& fault);
  void Replace(const Fault& fault);
  void CrashAndRestartWorker(const Fault& fault, size_t worker);

  World& world_;
  std::set<size_t> busy_workers_;
  /// Number of replacements so far. Workers are replaced in the order of their
  /// indexes, wrapping around; the new one is `serving()` indexes further on.
  size_t replaced_ = 0;
  /// Faults that have not ended yet.
  size_t outstanding_ = 0;
  std::function<void()> done_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_FAULT_PLAYER_H_
