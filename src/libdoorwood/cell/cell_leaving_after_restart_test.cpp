// SPDX-License-Identifier: Apache-2.0

// A worker that restarted in place and then drains. Runs in virtual time.

#include <boost/test/unit_test.hpp>
#include <string>

#include "libdoorwood/cell/restart_fixture.h"

namespace doorwood {
namespace {

// Guards against a stopped run that is waited for although the worker answers
// and no longer lists it. The worker numbers its ends anew, so the leader takes
// the end of the run for one that it knows. The notice comes at different times
// of a poll.
BOOST_AUTO_TEST_CASE(
    Worker_RestartedInPlaceThenDrains_LongRunningTaskMovesAway) {
  for (int offset_ms = 0; offset_ms < 1200; offset_ms += 100) {
    fakes::RestartFixture fixture;
    const std::string task = fixture.StartTaskAfterRestart(Millis(20'000));
    fixture.world.RunExactly(Millis(offset_ms));
    fixture.worker().model.SetStopDuration(Millis(600));
    fixture.worker().incarnation.draining = true;
    constexpr Millis kTimeToLeave{6000};
    constexpr Millis kTimeToStop{2000};
    fixture.world.Run(kTimeToStop);
    BOOST_REQUIRE(!fixture.worker().model.IsRunning(task));
    fixture.world.Run(kTimeToLeave - kTimeToStop);
    fixture.world.ShutDownWorker(fakes::kRestartingWorker);
    const Millis away = fixture.TimeAway(task);
    BOOST_TEST(away == Millis(0), "drains at " << offset_ms
                                               << " ms: away for further "
                                               << away.count() << " ms");
  }
}

}  // namespace
}  // namespace doorwood
