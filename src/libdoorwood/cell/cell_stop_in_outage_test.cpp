// SPDX-License-Identifier: Apache-2.0

// A leader is told to stop while the store is away, or just before it goes
// silent. All tests run in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "doorwood/json_reader.h"
#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::WorldInstance;

constexpr char kJob[] = "00112233aabbccdd";
constexpr Millis kGrace{5300};
// From the moment at which the store answers again to the next order.
constexpr Millis kNextOrderBound{1000};

struct StopInOutageFixture {
  explicit StopInOutageFixture(uint64_t seed) : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1", "a2", "b2"}) {
      world.AddInstance(name, "plaka");
    }
    leader = world.WaitForLeader();
    BOOST_REQUIRE(leader != nullptr);
    world.Run(Millis(1000));
    // One step after the other, so that something is always to be ordered.
    BOOST_REQUIRE(world.Submit(fakes::MakePlan(kJob, 60, 1, "ms=150")));
    world.Run(Millis(500));
  }

  void SetStoreUnresponsive(bool unresponsive) {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults.unresponsive = unresponsive;
    }
  }

  void BeginStop() {
    leader->live->AnnounceLeaving();
    leader->cell->ShutDown([this] { released = true; }, kGrace);
  }

  int RunsStarted() { return world.workers().at("w1")->runs_started; }

  /// The instance that the lead key names; empty: there is none.
  std::string LeadHolder() {
    StoreItem lead;
    return world.store().Get(LeadKey("all"), &lead)
               ? ""
               : StringFieldOf(lead.value, "instance");
  }

  /// Runs the world until `condition` holds; returns the time it took.
  template <typename Condition>
  Millis TimeUntil(Condition condition, Millis limit) {
    constexpr Millis kStep{5};
    Millis passed{0};
    while (!condition() && passed < limit) {
      world.RunExactly(kStep);
      passed += kStep;
    }
    return passed;
  }

  CellWorld world;
  WorldInstance* leader = nullptr;
  bool released = false;
};

// Guards against a leader that ends its orders because the store answered
// shortly before the stop began, and then stands still for the whole outage.
BOOST_AUTO_TEST_CASE(Leader_StoppedAfterStoreWentSilent_GoesOnOrdering) {
  for (int silent_before_ms = 0; silent_before_ms <= 1200;
       silent_before_ms += 100) {
    StopInOutageFixture fixture(static_cast<uint64_t>(silent_before_ms + 1));
    fixture.SetStoreUnresponsive(true);
    fixture.world.RunExactly(Millis(silent_before_ms));
    fixture.BeginStop();
    fixture.world.Run(Millis(1000));
    const int early = fixture.RunsStarted();
    fixture.world.Run(Millis(3000));
    BOOST_TEST_CONTEXT("silent for " << silent_before_ms << " ms") {
      BOOST_TEST(fixture.RunsStarted() >= early + 5);
      BOOST_TEST(!fixture.released);
      BOOST_TEST(fixture.world.violations().empty());
    }
  }
}

// Guards against a release that waits for other records or for the next turn of
// a slow retry, and against a successor that is late: the store is silent from
// some time before or after the stop began, and answers again within the grace.
BOOST_AUTO_TEST_CASE(Lead_StoreAnswersAgainDuringStop_NextOrderInTime) {
  int measured = 0;
  for (int silent_after_ms = -300; silent_after_ms <= 300;
       silent_after_ms += 20) {
    for (const int outage_ms : {900, 2500, 4000}) {
      StopInOutageFixture fixture(
          static_cast<uint64_t>(silent_after_ms + outage_ms));
      CellWorld& world = fixture.world;
      const Instant now = world.time().now();
      const Millis before(std::max(0, -silent_after_ms));
      world.time().RunAt(now + before, [&] { fixture.BeginStop(); });
      world.time().RunAt(now + before + Millis(silent_after_ms),
                         [&] { fixture.SetStoreUnresponsive(true); });
      world.RunExactly(before + Millis(silent_after_ms + outage_ms));
      const std::string stopped = fixture.leader->name;
      // The key may also be gone because its lease has run out.
      const std::string holder = fixture.LeadHolder();
      if (fixture.released || (!holder.empty() && holder != stopped)) {
        continue;  // The lead was released before the store went silent.
      }
      ++measured;
      fixture.SetStoreUnresponsive(false);
      const Millis taken = fixture.TimeUntil(
          [&] {
            const std::string next = fixture.LeadHolder();
            return !next.empty() && next != stopped;
          },
          Millis(6000));
      const int before_order = fixture.RunsStarted();
      const Millis ordered =
          taken + fixture.TimeUntil(
                      [&] { return fixture.RunsStarted() > before_order; },
                      Millis(6000));
      BOOST_TEST_CONTEXT("silent " << silent_after_ms << " ms after the stop, "
                                   << outage_ms << " ms long") {
        BOOST_TEST(ordered.count() <= kNextOrderBound.count());
        BOOST_TEST(world.violations().empty());
        BOOST_TEST(world.completed_task_starts().empty());
      }
    }
  }
  BOOST_TEST(measured >= 48);  // At least those silent before the stop.
}

// Guards against the key of a dead leader that outlives it by a store lease:
// the leader can renew its lease, but cannot release the lead.
BOOST_AUTO_TEST_CASE(Lead_StoppedLeaderCannotWrite_EndsWithItsLease) {
  for (int seed = 1; seed <= 10; ++seed) {
    StopInOutageFixture fixture(static_cast<uint64_t>(seed));
    fixture.world.Run(Millis(seed * 50));
    fixture.leader->store_faults.delayed_write_share = 1.0;
    fixture.BeginStop();
    const std::string stopped = fixture.leader->name;
    const Millis held = fixture.TimeUntil(
        [&] { return fixture.LeadHolder() != stopped; }, Millis(5000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(held.count() <= LiveOptions{}.lease_ttl.count());
      fixture.world.Run(Millis(15'000));
      BOOST_TEST(fixture.world.violations().empty());
    }
  }
}

// Guards against tasks that run twice, or are lost, if the store goes silent at
// any moment of a planned stop, whether or not the end of the term was stored.
BOOST_AUTO_TEST_CASE(Jobs_StoreGoesSilentDuringStop_RunOnceAndComplete) {
  for (int silent_after_ms = 0; silent_after_ms <= 420; silent_after_ms += 4) {
    StopInOutageFixture fixture(static_cast<uint64_t>(silent_after_ms + 1));
    CellWorld& world = fixture.world;
    fixture.BeginStop();
    world.RunExactly(Millis(silent_after_ms));
    fixture.SetStoreUnresponsive(true);
    world.Run(Millis(2500));
    fixture.SetStoreUnresponsive(false);
    world.Run(Millis(2500));
    world.Kill(fixture.leader->name);
    world.Run(Millis(25'000));
    BOOST_TEST_CONTEXT("silent " << silent_after_ms << " ms after the stop") {
      const auto phase = world.StateOf(kJob);
      BOOST_TEST((phase ? ToString(*phase) : "not known") == "completed");
      BOOST_TEST(world.violations().empty());
      BOOST_TEST(world.completed_task_starts().empty());
    }
  }
}

}  // namespace
}  // namespace doorwood
