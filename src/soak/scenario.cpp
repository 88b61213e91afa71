// SPDX-License-Identifier: Apache-2.0

#include "soak/scenario.h"

#include <algorithm>

namespace doorwood::soak {
namespace {

constexpr Millis kSteadyStateTimeout{40'000};
constexpr Millis kPollInterval{100};
// Waited in the steady state before the partition, and after the recovery for
// the decisions that follow from it.
constexpr Millis kSettleTime{3000};

void CutAll(const Links& links) {
  for (Link* link : links) {
    link->Cut(Direction::kBoth);
  }
}

void HealAll(const Links& links, Millis resume_delay) {
  for (Link* link : links) {
    link->Heal(Direction::kBoth, resume_delay);
  }
}

void AwaitSteadyStateUntil(World& world,
                           const Callers& callers,
                           int64_t until,
                           const std::function<void()>& done) {
  if (world.Leader() && callers.AllLongRunningTasksRun()) {
    done();
    return;
  }
  if (world.Now() >= until) {
    world.ReportViolation("no steady state within 40 s before the faults");
    done();
    return;
  }
  world.After(kPollInterval, [&world, &callers, until, done] {
    AwaitSteadyStateUntil(world, callers, until, done);
  });
}

}  // namespace

void AwaitSteadyState(World& world,
                      const Callers& callers,
                      std::function<void()> done) {
  AwaitSteadyStateUntil(world, callers,
                        world.Now() + kSteadyStateTimeout.count(), done);
}

void PartitionInSteps(World& world,
                      size_t centre,
                      StepwiseRecovery recovery,
                      std::function<void()> done) {
  const Links cross_worker_links =
      world.LinksToWorkersInOtherDataCentres(centre);
  const Links border_links = world.LinksAcrossDataCentre(centre);
  Links store_links;
  for (size_t i = centre; i < world.instances(); i += kDataCentres) {
    store_links.push_back(world.StoreLinks(i).front());
  }
  Links other_links;
  for (Link* link : border_links) {
    if (std::find(store_links.begin(), store_links.end(), link) ==
        store_links.end()) {
      other_links.push_back(link);
    }
  }
  const std::string centre_name = "data centre " + std::to_string(centre + 1);
  world.Log("workers in other data centres become unreachable for " +
            centre_name);
  CutAll(cross_worker_links);
  world.task_checker().OnFaultBegins();
  Millis at = recovery.worker_partition_time;
  world.After(at, [&world, centre_name, border_links] {
    world.Log("partitioned: " + centre_name);
    CutAll(border_links);
  });
  at += recovery.full_partition_time;
  world.After(at, [&world, centre_name, store_links, recovery] {
    world.Log("reconnected to the store: " + centre_name);
    HealAll(store_links, recovery.resume_delay);
  });
  at += recovery.other_links_delay;
  world.After(at, [&world, centre_name, other_links, cross_worker_links,
                   recovery, done] {
    world.Log("fully reconnected: " + centre_name);
    HealAll(other_links, recovery.resume_delay);
    HealAll(cross_worker_links, recovery.resume_delay);
    world.After(recovery.resume_delay,
                [&world] { world.task_checker().OnFaultEnds(world.Now()); });
    done();
  });
}

void PartitionLeaderDataCentre(World& world,
                               const Callers& callers,
                               StepwiseRecovery recovery,
                               std::function<void(size_t)> done) {
  const size_t before = world.violations();
  const auto after = [&world, before, done] {
    done(world.violations() - before);
  };
  const auto healed = [&world, after] { world.After(kSettleTime, after); };
  AwaitSteadyState(world, callers, [&world, recovery, healed] {
    world.After(kSettleTime, [&world, recovery, healed] {
      const size_t leader = world.Leader().value_or(0);
      world.Log(World::NameOf(leader) + " leads");
      PartitionInSteps(world, World::DataCentreOf(leader), recovery, healed);
    });
  });
}

}  // namespace doorwood::soak
