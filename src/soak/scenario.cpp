// SPDX-License-Identifier: Apache-2.0

#include "soak/scenario.h"

#include <algorithm>

namespace doorwood::soak {
namespace {

constexpr Millis kSteadyStateTimeout{40'000};
constexpr Millis kPollInterval{100};
// Time after the recovery for decisions that follow from it.
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
    world.ReportViolation("no calm to begin with");
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
  const Links silent = world.LinksToWorkersInOtherDataCentres(centre);
  const Links border = world.LinksAcrossDataCentre(centre);
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
  world.Log("workers in other data centres become unreachable for " + who);
  CutAll(silent);
  world.task_checker().OnFaultBegins();
  Millis at = recovery.worker_partition_time;
  world.After(at, [&world, who, border] {
    world.Log("partitioned: " + who);
    CutAll(border);
  });
  at += recovery.full_partition_time;
  world.After(at, [&world, who, stores, recovery] {
    world.Log("reconnected to the store: " + who);
    HealAll(stores, recovery.resume_delay);
  });
  at += recovery.workers_delay;
  world.After(at, [&world, who, others, silent, recovery, done] {
    world.Log("fully reconnected: " + who);
    HealAll(others, recovery.resume_delay);
    HealAll(silent, recovery.resume_delay);
    world.After(recovery.resume_delay,
                [&world] { world.task_checker().OnFaultEnds(world.Now()); });
    done();
  });
}

void RunLeaderPartition(World& world,
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
