// SPDX-License-Identifier: Apache-2.0

/// \file
/// Carries out planned faults on a world.

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

  /// Ends once every fault is over.
  Task<> Play(std::vector<Fault> plan);

 private:
  /// What ends a fault.
  using Undo = std::function<void()>;

  Task<> PlayOne(Fault fault);
  size_t InstanceOf(const Fault& fault) const;
  /// Nothing: the fault needs no end.
  Undo Begin(const Fault& fault, size_t instance);
  Undo BeginAtStore(const Fault& fault, size_t instance);
  Undo BeginAtProcess(const Fault& fault, size_t instance);
  Undo Cut(const Fault& fault, Links links);
  Links CutLinks(const Fault& fault, size_t instance) const;
  Task<> PlayAtWorker(Fault fault);

  World& world_;
  std::set<size_t> busy_workers_;
  size_t under_way_ = 0;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_FAULT_PLAYER_H_
