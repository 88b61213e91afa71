// SPDX-License-Identifier: Apache-2.0

// A worker that restarted in place and then vanishes. Runs in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/restart_fixture.h"

namespace doorwood {
namespace {

// Guards against lease ends that were computed with the worker's clock before
// its restart: they lie in the future for as long as the worker had been up.
BOOST_FIXTURE_TEST_CASE(
    Worker_RestartedInPlaceThenVanishes_TaskRestartsWithinOneLease,
    fakes::RestartFixture) {
  const std::string task = StartTaskAfterRestart(Millis(20'000));
  world.ShutDownWorker(fakes::kRestartingWorker);
  constexpr Millis kMargin{2000};
  const Millis lease =
      MaxOnLocalClock(world.options().sessions.run_lease) + kMargin;
  BOOST_TEST(TimeAway(task).count() <= lease.count());
}

}  // namespace
}  // namespace doorwood
