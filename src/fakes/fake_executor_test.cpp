// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>
#include <string>

#include "fakes/fakes.h"

namespace doorwood {
namespace {

struct Fixture {
  fakes::VirtualTime time;
  fakes::FakeExecutor executor{time, 1};
  std::string order;
};

BOOST_FIXTURE_TEST_CASE(Thaw_AnswersAndTimersDeferred_AnswersRunFirst,
                        Fixture) {
  executor.Freeze();
  executor.Schedule(Millis(10), [this] { order += "t"; });
  executor.DeliverAnswer(Millis(20), [this] { order += "a"; });
  executor.DeliverAnswer(Millis(30), [this] { order += "a"; });
  time.Run(Millis(100));
  BOOST_TEST(order.empty());
  executor.Thaw();
  time.Run(Millis(1));
  BOOST_TEST(order == "aat");
}

BOOST_FIXTURE_TEST_CASE(Now_PauseAtSecondCall_OthersRunMeanwhile, Fixture) {
  fakes::FakeExecutor other(time, 2);
  other.Schedule(Millis(50), [this] { order += "o"; });
  executor.Schedule(Millis(50), [this] { order += "s"; });
  executor.PauseInNowCall(2, Millis(200));
  const Instant start = executor.Now();
  BOOST_TEST(order.empty());
  BOOST_TEST((executor.Now() - start == Millis(200)));
  BOOST_TEST(order == "o");
  time.Run(Millis(1));
  BOOST_TEST(order == "os");
}

BOOST_FIXTURE_TEST_CASE(Kill_WhileFrozen_NothingRunsAtThaw, Fixture) {
  executor.Freeze();
  executor.DeliverAnswer(Millis(1), [this] { order += "a"; });
  time.Run(Millis(5));
  executor.Kill();
  executor.Thaw();
  time.Run(Millis(5));
  BOOST_TEST(order.empty());
}

}  // namespace
}  // namespace doorwood
