// SPDX-License-Identifier: Apache-2.0

// Guards against a start for a worker's earlier life that got no answer and is
// carried out late by the next life, which is cut off before any leader learns
// of it, so that its task is started again elsewhere.

#include <boost/test/unit_test.hpp>

#include "libdoorwood/cell/next_life_fixture.h"

namespace doorwood {
namespace {

using fakes::Describe;
using fakes::NextLifeCourse;
using fakes::NextLifeFixture;
using fakes::ViolationReport;

BOOST_AUTO_TEST_CASE(Task_StartCarriedOutLateByUnknownLife_NeverRunsTwice) {
  ViolationReport report;
  for (const int order_delay_ms : {400, 2000, 4000, 12'000}) {
    for (const int cut_after_ms : {20, 50, 100, 200}) {
      for (const int kill_after_ms : {0, 10}) {
        NextLifeCourse course;
        course.cut_after = Millis(cut_after_ms);
        course.late_share = 1;
        course.order_delay = Millis(order_delay_ms);
        course.kills_leader = kill_after_ms != 0;
        course.kill_after = Millis(kill_after_ms);
        NextLifeFixture fixture(course);
        fixture.Run();
        report.Add(Describe(course), fixture.world);
      }
    }
  }
}

// The leader is lost before it learns of the next life, and the worker is cut
// off before the next leader contacts it or after.
BOOST_AUTO_TEST_CASE(Task_LeaderLostBeforeRestartIsNoticed_NeverRunsTwice) {
  ViolationReport report;
  for (const int order_delay_ms : {400, 500, 700, 900, 2000, 4000, 12'000}) {
    for (const int cut_after_ms : {500, 800, 1000, 1500, 2000, 3500}) {
      for (const bool late_until_cut : {false, true}) {
        NextLifeCourse course;
        course.cut_after = Millis(cut_after_ms);
        course.late_share = late_until_cut ? 0.5 : 1;
        course.late_until_cut = late_until_cut;
        course.order_delay = Millis(order_delay_ms);
        course.kills_leader = true;
        NextLifeFixture fixture(course);
        fixture.Run();
        report.Add(Describe(course), fixture.world);
      }
    }
  }
}

}  // namespace
}  // namespace doorwood
