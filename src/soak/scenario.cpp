// SPDX-License-Identifier: Apache-2.0

#include "soak/scenario.h"

#include <algorithm>

namespace doorwood::soak {
namespace {

constexpr Millis kCalmPatience{40'000};
constexpr Millis kLook{100};
// After all is healed: for what is still decided then.
constexpr Millis kAfterwards{3000};

void CutAll(const Links& links) {
  for (Link* link : links) {
    link->Cut(Way::kBoth);
  }
}

void HealAll(const Links& links, Millis old_after) {
  for (Link* link : links) {
    link->Heal(Way::kBoth, old_after);
  }
}

void AwaitCalmUntil(World& world,
                    const Callers& callers,
                    int64_t until,
                    const std::function<void()>& done) {
  if (world.Leader() && callers.AllLastingRun()) {
    done();
    return;
  }
  if (world.Now() >= until) {
    world.Break("no calm to begin with");
    done();
    return;
  }
  world.After(kLook, [&world, &callers, until, done] {
    AwaitCalmUntil(world, callers, until, done);
  });
}

}  // namespace

void AwaitCalm(World& world,
               const Callers& callers,
               std::function<void()> done) {
  AwaitCalmUntil(world, callers, world.Now() + kCalmPatience.count(), done);
}

void CutInSteps(World& world,
                size_t centre,
                RegainedStore course,
                std::function<void()> done) {
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
  CutAll(silent);
  world.watch().OnFaultBegins();
  Millis at = course.silent_before;
  world.After(at, [&world, who, border] {
    world.Log("cut off: " + who);
    CutAll(border);
  });
  at += course.cut;
  world.After(at, [&world, who, stores, course] {
    world.Log("reaches the store again: " + who);
    HealAll(stores, course.old_after);
  });
  at += course.workers_later;
  world.After(at, [&world, who, others, silent, course, done] {
    world.Log("reaches all again: " + who);
    HealAll(others, course.old_after);
    HealAll(silent, course.old_after);
    world.After(course.old_after,
                [&world] { world.watch().OnFaultOver(world.Now()); });
    done();
  });
}

void Play(World& world,
          const Callers& callers,
          RegainedStore course,
          std::function<void(size_t)> done) {
  const size_t before = world.broken();
  const auto after = [&world, before, done] { done(world.broken() - before); };
  const auto healed = [&world, after] { world.After(kAfterwards, after); };
  AwaitCalm(world, callers, [&world, course, healed] {
    world.After(kAfterwards, [&world, course, healed] {
      const size_t leader = world.Leader().value_or(0);
      world.Log(World::NameOf(leader) + " leads");
      CutInSteps(world, World::CentreOf(leader), course, healed);
    });
  });
}

}  // namespace doorwood::soak
