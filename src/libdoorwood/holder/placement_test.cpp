// SPDX-License-Identifier: Apache-2.0

// Placement by labels, selectors and free capacity; evictions; the ledger.

#include "doorwood/placement.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

namespace doorwood {
namespace {

constexpr Resources kCapacity{4000, 8000, 2};

// Workers and the attempts that run on them.
class Fleet {
 public:
  int Add(Labels labels, const std::vector<TaskSpec>& running) {
    infos_.push_back({});
    infos_.back().id = "w" + std::to_string(infos_.size());
    infos_.back().labels = std::move(labels);
    residents_.emplace_back();
    Resources used;
    for (const TaskSpec& spec : running) {
      specs_.push_back(spec);
      residents_.back().push_back(
          {.key = {{"d", 0}, {1, specs_.size()}}, .spec = &specs_.back()});
      used = used + spec.size;
    }
    views_.push_back({.info = &infos_.back(),
                      .capacity = kCapacity,
                      .free = kCapacity - used,
                      .residents = residents_.back()});
    return static_cast<int>(views_.size()) - 1;
  }

  WorkerView& view(int index) { return views_[index]; }

  Decision Decide(const TaskSpec& spec) {
    return MakeDefaultPolicy()->Decide(spec, views_);
  }

 private:
  std::deque<InstanceInfo> infos_;
  std::deque<TaskSpec> specs_;
  std::deque<std::vector<ResidentAttempt>> residents_;
  std::vector<WorkerView> views_;
};

TaskSpec Batch(int64_t cpu, int yields = 50) {
  return {
      .size = {cpu, 100, 0}, .labels = {{"kind", "render"}}, .yields = yields};
}

TaskSpec Service(int64_t cpu) {
  return {.work_class = WorkClass::kService,
          .size = {cpu, 100, 0},
          .labels = {{"kind", "stream"}},
          .yields = 0};
}

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(Decide_BatchOrService_ChoosesFullestOrEmptiestWorker) {
  Fleet fleet;
  fleet.Add({}, {});
  fleet.Add({}, {Batch(1000)});
  BOOST_TEST(fleet.Decide(Batch(1000)).worker == 1);
  BOOST_TEST(fleet.Decide(Service(1000)).worker == 0);
}

BOOST_AUTO_TEST_CASE(Decide_TaskWithOnSelector_UsesMatchingWorkersOnly) {
  Fleet fleet;
  fleet.Add({{"hall", "west"}}, {});
  fleet.Add({{"hall", "east"}}, {});
  TaskSpec spec = Batch(1000);
  spec.on = "hall=east";
  BOOST_TEST(fleet.Decide(spec).worker == 1);
  spec.on = "hall=north";
  const Decision decision = fleet.Decide(spec);
  BOOST_TEST(decision.impossible);
  BOOST_TEST(decision.worker == -1);
}

BOOST_AUTO_TEST_CASE(Decide_BesideSelectorOfEitherFails_ChoosesNoWorker) {
  Fleet fleet;
  TaskSpec exclusive_service = Service(1000);
  exclusive_service.beside = "kind!=render";
  fleet.Add({}, {exclusive_service});
  BOOST_TEST(fleet.Decide(Batch(1000)).worker == -1);
  BOOST_TEST(!fleet.Decide(Batch(1000)).impossible);
  Fleet other;
  other.Add({}, {Batch(1000)});
  TaskSpec exclusive_batch = exclusive_service;
  exclusive_batch.work_class = WorkClass::kBatch;
  BOOST_TEST(other.Decide(exclusive_batch).worker == -1);
}

BOOST_AUTO_TEST_CASE(Decide_ClosedWorker_IsNotChosen) {
  Fleet fleet;
  fleet.Add({}, {});
  fleet.view(0).open = false;
  BOOST_TEST(fleet.Decide(Batch(1000)).worker == -1);
  BOOST_TEST(fleet.Decide(Service(1000)).worker == -1);
}

BOOST_AUTO_TEST_CASE(Decide_TaskLargerThanAnyWorker_IsImpossible) {
  Fleet fleet;
  fleet.Add({}, {Batch(4000)});
  BOOST_TEST(fleet.Decide(Batch(4001)).impossible);
  BOOST_TEST(!fleet.Decide(Batch(4000)).impossible);
  TaskSpec accelerated = Batch(1);
  accelerated.size.accelerators = 3;
  BOOST_TEST(fleet.Decide(accelerated).impossible);
}

BOOST_AUTO_TEST_CASE(
    Decide_ServiceWithoutFreeCapacity_EvictsHighestYieldsFirst) {
  Fleet fleet;
  fleet.Add({}, {Batch(1000, 20), Batch(1000, 90), Batch(2000, 60)});
  const Decision one = fleet.Decide(Service(1000));
  BOOST_TEST(one.evict_on == 0);
  BOOST_REQUIRE(one.victims.size() == 1u);
  BOOST_TEST(one.victims[0].attempt.counter == 2u);
  const Decision two = fleet.Decide(Service(3000));
  BOOST_TEST(two.victims.size() == 2u);
}

BOOST_AUTO_TEST_CASE(Decide_ServicesAndUnrepeatableTasks_AreNotEvicted) {
  Fleet fleet;
  TaskSpec unrepeatable = Batch(2000);
  unrepeatable.repeatable = false;
  fleet.Add({}, {Service(2000), unrepeatable});
  const Decision decision = fleet.Decide(Service(1000));
  BOOST_TEST(decision.evict_on == -1);
  BOOST_TEST(decision.victims.empty());
}

BOOST_AUTO_TEST_CASE(Decide_BatchWithoutFreeCapacity_EvictsNothing) {
  Fleet fleet;
  fleet.Add({}, {Batch(4000, 100)});
  const Decision decision = fleet.Decide(Batch(1000, 0));
  BOOST_TEST(decision.evict_on == -1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ledger)

BOOST_AUTO_TEST_CASE(Ledger_ReserveTwiceOrBeyondFreeCapacity_IsRefused) {
  Ledger ledger;
  ledger.set_capacity(kCapacity);
  const AttemptKey a{{"d", 0}, {1, 1}};
  const AttemptKey b{{"d", 0}, {1, 2}};
  BOOST_TEST(ledger.Reserve(a, {3000, 100, 1}));
  BOOST_TEST(!ledger.Reserve(a, {1, 1, 0}));
  BOOST_TEST(!ledger.Reserve(b, {2000, 100, 0}));
  BOOST_TEST(!ledger.Reserve(b, {0, 0, 2}));
  BOOST_TEST(!ledger.Reserve(b, {0, 7901, 0}));
  ledger.Release(a);
  ledger.Release(a);
  BOOST_TEST((ledger.free() == kCapacity));
  // Adopt reserves capacity even beyond what is free.
  ledger.Adopt(a, {5000, 100, 0});
  BOOST_TEST(ledger.free().cpu_millis == -1000);
  BOOST_TEST(!ledger.Reserve(b, {1, 1, 0}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
