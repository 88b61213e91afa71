// SPDX-License-Identifier: Apache-2.0

// Who takes a lead that nobody has.

#include <boost/test/unit_test.hpp>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

// A large site: a few strong machines and many weak ones, whose turn to try for
// the lead comes seconds after it falls vacant. A leader of all workers on a
// weak machine costs callers half of what they get.
struct ManyWeakFixture {
  explicit ManyWeakFixture(int seed) : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    for (int n = 0; n < kWeak; ++n) {
      world.AddInstance("w" + std::to_string(n), "pireas", 0.12);
    }
    for (const char* name : {"x1", "x2", "x3", "x4"}) {
      world.AddInstance(name, "plaka", kStrongShare);
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
  }

  double ShareOfLeader() {
    const fakes::WorldInstance* leader = world.Leader();
    return leader == nullptr ? 0.0 : leader->live->self().cpu_share;
  }

  static constexpr int kWeak = 24;
  static constexpr int kSeeds = 8;
  static constexpr double kStrongShare = 0.5;
  fakes::CellWorld world;
};

BOOST_AUTO_TEST_CASE(Lead_AllStartAtOnce_AStrongOneTakesIt) {
  for (int seed = 1; seed <= ManyWeakFixture::kSeeds; ++seed) {
    ManyWeakFixture fixture(seed);
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
    }
  }
}

BOOST_AUTO_TEST_CASE(Lead_StoreForgetsAllKeys_AStrongOneTakesIt) {
  for (int seed = 1; seed <= ManyWeakFixture::kSeeds; ++seed) {
    ManyWeakFixture fixture(seed);
    for (auto& [name, instance] : fixture.world.instances()) {
      fixture.world.store().Revoke(*instance->live->lease());
    }
    fixture.world.Run(Millis(4000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
    }
  }
}

// The lead falls vacant twice, the second time when turns would come that began
// with the first. Machines that go together with the leader are listed for a
// moment longer, so that strong ones have to wait for their turn as well.
BOOST_AUTO_TEST_CASE(Lead_FallsVacantTwice_WeakOnesWaitForTheirTurnAgain) {
  for (int seed = 1; seed <= ManyWeakFixture::kSeeds; ++seed) {
    ManyWeakFixture fixture(seed);
    fixture.world.Kill("x1");
    // The lease runs out after 2 s; then turns come for 3 s.
    fixture.world.Run(Millis(2600 + 50 * seed));
    fixture.world.Kill("x2");
    fixture.world.Kill("x3");
    fixture.world.Run(Millis(6000));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(fixture.ShareOfLeader() == fixture.kStrongShare);
    }
  }
}

}  // namespace
}  // namespace doorwood
