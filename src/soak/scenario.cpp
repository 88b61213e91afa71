// SPDX-License-Identifier: Apache-2.0

#include "soak/scenario.h"

#include <algorithm>

namespace doorwood::soak {
namespace {

constexpr Millis kCalmPatience{40'000};
constexpr Millis kLook{100};
// After all is healed: for what is still decided then.
constexpr Millis kAfterwards{3000};

}  // namespace

void CutAll(const Links& links, Way way) {
  for (Link* link : links) {
    link->Cut(way);
  }
}

void HealAll(const Links& links, Way way, Millis old_after) {
  for (Link* link : links) {
    link->Heal(way, old_after);
  }
}

Task<bool> AwaitCalm(World& world, const Callers& callers) {
  const int64_t until = world.Now() + kCalmPatience.count();
  while (world.Now() < until) {
    if (world.Leader() && callers.AllLastingRun()) {
      co_return true;
    }
    co_await Sleep(world.context(), kLook);
  }
  co_return false;
}

Task<> CutInSteps(World& world, size_t centre, RegainedStore course) {
  const Links silent = world.LinksToWorkersElsewhere(centre);
  const Links border = world.BorderLinks(centre);
  Links stores;
  for (size_t i = centre; i < world.instances(); i += kDataCentres) {
    stores.push_back(world.StoreLinks(i).front());
  }
  Links others;
  for (Link* link : border) {
    if (std::find(stores.begin(), stores.end(), link) == stores.end()) {
      others.push_back(link);
    }
  }
  const std::string who = "data centre " + std::to_string(centre + 1);
  world.Log("workers elsewhere fall silent to " + who);
  CutAll(silent, Way::kBoth);
  co_await Sleep(world.context(), course.silent_before);
  world.Log("cut off: " + who);
  CutAll(border, Way::kBoth);
  co_await Sleep(world.context(), course.cut);
  world.Log("reaches the store again: " + who);
  HealAll(stores, Way::kBoth, course.old_after);
  co_await Sleep(world.context(), course.workers_later);
  world.Log("reaches all again: " + who);
  HealAll(others, Way::kBoth, course.old_after);
  HealAll(silent, Way::kBoth, course.old_after);
}

Task<size_t> Play(World& world, Callers& callers, RegainedStore course) {
  const size_t broken_before = world.broken();
  if (!co_await AwaitCalm(world, callers)) {
    world.Break("no calm to begin with");
    co_return world.broken() - broken_before;
  }
  co_await Sleep(world.context(), kAfterwards);
  const size_t leader = world.Leader().value_or(0);
  world.Log(World::NameOf(leader) + " leads");
  co_await CutInSteps(world, World::CentreOf(leader), course);
  co_await Sleep(world.context(), kAfterwards);
  co_return world.broken() - broken_before;
}

}  // namespace doorwood::soak
