// SPDX-License-Identifier: Apache-2.0

#include "doorwood/lasting_room.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr Millis kStep{300};

struct RoomFixture {
  // Other work asks for `use` of what serving work leaves, for so long.
  void Pass(double use, Millis duration) {
    for (Millis passed{0}; passed < duration; passed += kStep) {
      now += kStep;
      room.Observe({1000.0, 1000.0 * use}, now);
    }
  }
  // Largest share, in hundredths, that may be reserved.
  int Share() const {
    int share = 0;
    while (share < 100 && room.Allows(1, share, 100, now)) {
      ++share;
    }
    return share;
  }

  LastingRoomOptions options;
  LastingRoom room{options};
  Instant now = Instant{} + std::chrono::hours(1);
};

BOOST_FIXTURE_TEST_CASE(Allows_NothingSeenYet_IsCareful, RoomFixture) {
  BOOST_TEST(Share() == 60);
  BOOST_TEST(room.Allows(1'000'000, 0, 0, now));
}

BOOST_FIXTURE_TEST_CASE(Allows_NoOtherWorkForLong_StaysCareful, RoomFixture) {
  Pass(0.0, Millis(60'000));
  BOOST_TEST(Share() == 60);
}

BOOST_FIXTURE_TEST_CASE(Allows_OtherWorkLeavesRoomForLong_TakesMore,
                        RoomFixture) {
  Pass(0.5, Millis(19'000));
  BOOST_TEST(Share() == 60);
  Pass(0.5, Millis(2000));
  BOOST_TEST(Share() == 80);
}

BOOST_FIXTURE_TEST_CASE(Allows_OtherWorkPresses_TakesNone, RoomFixture) {
  Pass(0.5, Millis(25'000));
  Pass(1.2, Millis(300));
  BOOST_TEST(Share() == 0);
}

BOOST_FIXTURE_TEST_CASE(Allows_BurstIsOver_ReturnsByAndBy, RoomFixture) {
  Pass(0.5, Millis(25'000));
  Pass(1.2, Millis(4000));
  Pass(0.5, Millis(3000));
  BOOST_TEST(Share() == 0);
  Pass(0.5, Millis(6000));
  BOOST_TEST(Share() == 60);
  Pass(0.5, Millis(15'000));
  BOOST_TEST(Share() == 80);
}

// The load of a deployment that is full on a quiet day: other work came to use
// 0.77 of what a share of 0.6 left it, and to ask for 1.68 of what 0.8 did.
BOOST_FIXTURE_TEST_CASE(Allows_LoadThatRises_StaysCarefulAndThenTakesNone,
                        RoomFixture) {
  for (const double use : {0.25, 0.31, 0.54, 0.77, 0.78, 0.87}) {
    Pass(use, Millis(5000));
    BOOST_TEST(Share() <= 60);
  }
  BOOST_TEST(Share() == 0);
}

}  // namespace
}  // namespace doorwood
