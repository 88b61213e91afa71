// SPDX-License-Identifier: Apache-2.0

#include "doorwood/run_times.h"

#include <boost/test/unit_test.hpp>

namespace doorwood {
namespace {

constexpr char kQueue[] = "queue";

BOOST_AUTO_TEST_CASE(ExpectedRunTime_NothingObserved_IsTheEstimate) {
  const RunTimeModel model{RunTimeOptions{}};
  BOOST_TEST(model.ExpectedRunTime(kQueue, Millis(700)).count() == 700);
}

BOOST_AUTO_TEST_CASE(ExpectedRunTime_UninformativeEstimates_IsTheUsualTime) {
  RunTimeModel model{RunTimeOptions{}};
  const int64_t estimates[] = {100, 300, 1000, 3000, 9000};
  for (int i = 0; i < 200; ++i) {
    model.Observe(kQueue, 1, Millis(estimates[i % 5]), Millis(1500));
  }
  BOOST_TEST(model.ExpectedRunTime(kQueue, Millis(100)).count() > 1200);
  BOOST_TEST(model.ExpectedRunTime(kQueue, Millis(9000)).count() < 1900);
}

BOOST_AUTO_TEST_CASE(ExpectedRunTime_EstimatesHalfTheTime_DoublesThem) {
  RunTimeModel model{RunTimeOptions{}};
  for (int i = 0; i < 200; ++i) {
    const Millis estimate(100 + 150 * (i % 20));
    model.Observe(kQueue, 1, estimate, 2 * estimate);
  }
  const auto expected = model.ExpectedRunTime(kQueue, Millis(1000)).count();
  BOOST_TEST(expected > 1900);
  BOOST_TEST(expected < 2100);
}

BOOST_AUTO_TEST_CASE(ExpectedRunTime_OtherQueue_LearnsNothing) {
  RunTimeModel model{RunTimeOptions{}};
  model.Observe(kQueue, 1, Millis(100), Millis(5000));
  BOOST_TEST(model.ExpectedRunTime("other", Millis(100)).count() == 100);
}

BOOST_AUTO_TEST_CASE(Observe_ManyTasksOfAStep_CountAsOne) {
  RunTimeModel wide{RunTimeOptions{}};
  RunTimeModel single{RunTimeOptions{}};
  for (int i = 0; i < 20; ++i) {
    wide.Observe(kQueue, 20, Millis(1000), Millis(3000));
  }
  single.Observe(kQueue, 1, Millis(1000), Millis(3000));
  const auto difference = wide.ExpectedRunTime(kQueue, Millis(1000)) -
                          single.ExpectedRunTime(kQueue, Millis(1000));
  BOOST_TEST(std::abs(difference.count()) < 20);
}

}  // namespace
}  // namespace doorwood
