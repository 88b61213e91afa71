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

  /// `done` is called once every fault is over.
  void Play(const std::vector<Fault>& plan, std::function<void()> done);

 private:
  /// What ends a fault.
  using Undo = std::function<void()>;

  void PlayOne(const Fault& fault);
  void OnOver();
  size_t InstanceOf(const Fault& fault) const;
  /// Nothing: the fault needs no end.
  Undo Begin(const Fault& fault, size_t instance);
  Undo BeginAtStore(const Fault& fault, size_t instance);
  Undo BeginAtProcess(const Fault& fault, size_t instance);
  Undo Cut(const Fault& fault, Links links);
  Links CutLinks(const Fault& fault, size_t instance) const;
  void PlayAtWorker(const Fault& fault);
  void Replace(const Fault& fault);
  void LoseWorker(const Fault& fault, size_t worker);

  World& world_;
  std::set<size_t> busy_workers_;
  /// Workers replaced so far: they take turns with the spare ones.
  size_t replaced_ = 0;
  /// Faults that are not over yet.
  size_t left_ = 0;
  std::function<void()> done_;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_FAULT_PLAYER_H_
