// SPDX-License-Identifier: Apache-2.0

// Entries that name a worker at an address where another life answers: what
// that one says is no word of the worker's runs.

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr const char* kElsewhere = "elsewhere";
constexpr const char* kTask = "00112233aabbccdd.0.0.0";

struct AddressFixture {
  AddressFixture() : world(5) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (const char* worker : {"w1", "w2"}) {
      world.AddWorker(worker, 8000);
    }
    for (const char* instance : {"i1", "i2", "i3"}) {
      world.AddInstance(instance, "plaka");
    }
  }

  // Runs a lasting task; the worker that has it.
  std::string StartOne() {
    world.WaitForLeader();
    world.Run(Millis(1000));
    JobPlan plan = fakes::MakePlan("00112233aabbccdd", 1, 1, "");
    plan.steps[0].lasting = true;
    world.Submit(plan);
    world.Run(Millis(1500));
    for (const auto& [id, worker] : world.workers()) {
      if (worker->model.Runs(kTask)) {
        return id;
      }
    }
    return "";
  }
  void CutAll(const std::string& worker) {
    for (auto& [name, instance] : world.instances()) {
      instance->cut_from.insert(worker);
    }
  }
  size_t Running() {
    size_t running = 0;
    for (const auto& [id, worker] : world.workers()) {
      running += worker->model.running();
    }
    return running;
  }

  fakes::CellWorld world;
};

struct EntryRow {
  const char* name;
  bool takeover;
  /// The successor doesn't reach the worker.
  bool cut;
};

BOOST_AUTO_TEST_CASE(Entry_NamesAnothersAddress_RunIsNotStartedAgain) {
  const EntryRow rows[] = {{"one leader", false, false},
                           {"a takeover", true, false},
                           {"a takeover, worker unheard", true, true}};
  for (const EntryRow& row : rows) {
    AddressFixture fixture;
    const std::string at = fixture.StartOne();
    BOOST_REQUIRE(!at.empty());
    fixture.world.workers()[at]->listed_address = kElsewhere;
    if (row.cut) {
      fixture.CutAll(at);
    }
    if (row.takeover) {
      fixture.world.Kill(fixture.world.Leader()->name);
    }
    fixture.world.Run(Millis(20'000));
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(fixture.world.broken().empty());
      BOOST_TEST(fixture.Running() == 1U);
      // Only a worker that nobody reaches is given up, by its lease.
      BOOST_TEST(fixture.world.starts(kTask) == (row.cut ? 2 : 1));
    }
  }
}

// The first entry that a leader reads is wrong, and is mended before the worker
// is given work: the record that a successor reads must name the address at
// which the worker was heard.
BOOST_AUTO_TEST_CASE(Entry_IsMendedBeforeWork_SuccessorKnowsTheAddress) {
  AddressFixture fixture;
  for (auto& [id, worker] : fixture.world.workers()) {
    worker->listed_address = kElsewhere;
  }
  fixture.world.WaitForLeader();
  fixture.world.Run(Millis(3000));
  for (auto& [id, worker] : fixture.world.workers()) {
    worker->listed_address.clear();
  }
  fixture.world.Run(Millis(3000));
  const std::string at = fixture.StartOne();
  BOOST_REQUIRE(!at.empty());
  fixture.CutAll(at);
  fixture.world.Kill(fixture.world.Leader()->name);
  fixture.world.Run(Millis(20'000));
  BOOST_TEST(fixture.world.broken().empty());
  BOOST_TEST(fixture.Running() == 1U);
}

// The proof that is left: a crashed worker's own address is answered by
// another life, so that nothing waits for a lease.
BOOST_AUTO_TEST_CASE(Worker_CrashedAtTakeover_IsProvedGoneAtOnce) {
  constexpr Millis kSoon{6000};
  AddressFixture fixture;
  const std::string at = fixture.StartOne();
  BOOST_REQUIRE(!at.empty());
  fixture.world.Kill(fixture.world.Leader()->name);
  fixture.world.CrashWorker(at);
  BOOST_REQUIRE(fixture.world.WaitForLeader() != nullptr);
  fixture.world.Run(kSoon);
  BOOST_TEST(fixture.world.broken().empty());
  BOOST_TEST(fixture.Running() == 1U);
}

}  // namespace
}  // namespace doorwood
