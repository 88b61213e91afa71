// SPDX-License-Identifier: Apache-2.0

// Guards against orders for a worker's earlier life that its next life carries
// out, so that runs there outlast the lease that the leader counts.

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <string>

#include "libdoorwood/cell/next_life_fixture.h"

namespace doorwood {
namespace {

using fakes::Describe;
using fakes::NextLifeCourse;
using fakes::NextLifeFixture;
using fakes::ViolationReport;

// The leader orders starts before it knows of the restart.
BOOST_AUTO_TEST_CASE(Task_StartSentBeforeRestartIsKnown_NeverRunsTwice) {
  ViolationReport report;
  for (const int down_ms : {100, 300, 600}) {
    for (const int cut_after_ms : {100, 500, 1000, 1500, 2000, 2600, 3500}) {
      for (const int times : {1, 2}) {
        NextLifeCourse course;
        course.down = Millis(down_ms);
        course.cut_after = Millis(cut_after_ms);
        course.restarts = times;
        NextLifeFixture fixture(course);
        fixture.Run();
        report.Add(Describe(course), fixture.world);
      }
    }
  }
}

// A part of the orders for the earlier life is carried out late.
BOOST_AUTO_TEST_CASE(Task_OrdersOfEarlierLifeCarriedOutLate_NeverRunsTwice) {
  ViolationReport report;
  for (const int order_delay_ms : {400, 500, 700, 900, 2000, 4000, 12'000}) {
    for (const int cut_after_ms : {500, 800, 1000, 1500, 2000, 3500}) {
      for (const int kill_after_ms : {0, 700, 1100, 1900}) {
        for (const bool late_until_cut : {false, true}) {
          NextLifeCourse course;
          course.cut_after = Millis(cut_after_ms);
          course.late_share = late_until_cut ? 0.5 : 1;
          course.late_until_cut = late_until_cut;
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
}

// Leaders are lost between the restart and the cut; a successor finds runs on
// the next life whose lease it did not grant.
BOOST_AUTO_TEST_CASE(Task_LeaderLostAfterRestart_NeverRunsTwice) {
  ViolationReport report;
  for (const int kill_after_ms : {50, 300, 800, 1400}) {
    for (const int cut_after_ms : {500, 1500, 2000, 2600, 4500}) {
      for (const bool frozen : {false, true}) {
        NextLifeCourse course;
        course.cut_after = Millis(cut_after_ms);
        course.kills_leader = true;
        course.freezes_leader = frozen;
        course.kill_after = Millis(kill_after_ms);
        NextLifeFixture fixture(course);
        fixture.Run();
        report.Add(Describe(course), fixture.world);
      }
    }
  }
}

// The worker is cut off as soon as it is back, so that no leader learns of the
// next life before the cut is over.
BOOST_AUTO_TEST_CASE(Task_RestartGoesUnnoticed_NeverRunsTwice) {
  ViolationReport report;
  for (const int down_ms : {100, 300, 500, 600, 650, 680}) {
    for (const int cut_after_ms : {5, 20, 50}) {
      NextLifeCourse course;
      course.down = Millis(down_ms);
      course.cut_after = Millis(cut_after_ms);
      course.loses_replies = true;
      NextLifeFixture fixture(course);
      fixture.Run();
      report.Add(Describe(course), fixture.world);
    }
  }
}

}  // namespace
}  // namespace doorwood
