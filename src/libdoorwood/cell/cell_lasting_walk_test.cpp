// SPDX-License-Identifier: Apache-2.0

// A seeded random walk of troubles over leaders whose tasks last, so that a run
// that was wrongly taken to be over is seen as a second one, also long after.
// The store goes and comes back, refuses some instances and serves others, and
// pairs of instances, and of instances and workers, are cut. Only what runs
// twice is checked here; cell_walk_test checks that jobs end.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "libdoorwood/cell/lasting_walk_fixture.h"

namespace doorwood {
namespace {

constexpr int kSeeds = 400;
constexpr int kSteps = 70;

class PlainWalk : public fakes::LastingWalk {
 public:
  using LastingWalk::LastingWalk;

 private:
  void Step() override { Play(Pick(16)); }
};

BOOST_AUTO_TEST_CASE(Cells_LastingTasksAndRandomTroubles_NothingRunsTwice) {
  const char* only = std::getenv("DOORWOOD_SEED");
  const int first = only == nullptr ? 1 : std::atoi(only);
  const int last = only == nullptr ? kSeeds : first;
  fakes::Tally tally;
  for (int seed = first; seed <= last; ++seed) {
    PlainWalk walk(static_cast<uint64_t>(seed));
    walk.Run(kSteps);
    tally.Take("seed " + std::to_string(seed), walk.world());
  }
}

}  // namespace
}  // namespace doorwood
