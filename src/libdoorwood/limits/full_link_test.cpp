// SPDX-License-Identifier: Apache-2.0

// A leader whose network link is full: starts, polls, the leader's records and
// the renewals of its lease share 250 KB a second in each direction.

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using fakes::CellWorld;

constexpr double kLinkRate = 250'000;
constexpr size_t kPayloadBytes = 700;
// Bytes that one task sends over the link: its start, and the poll that reports
// its end.
constexpr double kBytesPerTask = 2 * 330 + kPayloadBytes;
constexpr int kTasksPerJob = 20;

struct FullLinkFixture {
  explicit FullLinkFixture(double known_share = 0.95) {
    world.LimitLinks(kLinkRate, known_share);
    Queue queue = fakes::MakeQueue("queue", 4);
    queue.max_slowdown = 2;
    queue.latency_target = Millis(1000);
    world.SetTable({queue});
    for (int i = 0; i < 120; ++i) {
      char id[16];
      std::snprintf(id, sizeof(id), "w%03d", i);
      world.AddWorker(id, 32'000);
    }
    world.AddInstance("a1", "plaka");
    world.AddInstance("b1", "plaka");
    BOOST_REQUIRE(world.WaitForLeader() != nullptr);
    world.Run(Millis(3000));
    leader = world.Leader();
  }

  // Hands in jobs of `tasks_per_second` for `duration`.
  void Offer(int tasks_per_second, Millis duration) {
    const Millis gap(1000 * kTasksPerJob / tasks_per_second);
    for (Millis passed{0}; passed < duration; passed += gap) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + offered++);
      JobPlan plan = fakes::MakePlan(
          id, 1, kTasksPerJob, "ms=600 " + std::string(kPayloadBytes - 7, 'x'));
      plan.steps[0].estimate = Millis(600);
      plan.accepted_at = world.time().now_ms();
      leader->cell->Submit(plan, [this](std::error_code error, AcceptOutcome) {
        ++(error ? refused : accepted);
      });
      world.RunExactly(gap);
    }
  }
  uint64_t done() const { return leader->cell->counters().ends_done; }

  CellWorld world{11};
  fakes::WorldInstance* leader = nullptr;
  int offered = 0;
  int accepted = 0;
  int refused = 0;
};

// Guards against answers that queue on the link until their calls have timed
// out: runs that were at work were lost and started twice, and the lead was
// lost, since the renewals of its lease queued behind them.
BOOST_AUTO_TEST_CASE(FullLink_ThreeTimesTheLoad_KeepsLeadAndRules) {
  FullLinkFixture fixture;
  const double tasks_per_second = kLinkRate / kBytesPerTask;
  constexpr Millis kDuration{20'000};
  const uint64_t before = fixture.done();
  fixture.Offer(static_cast<int>(3 * tasks_per_second), kDuration);
  const auto done = static_cast<double>(fixture.done() - before);
  const double carried = tasks_per_second * 20;
  BOOST_TEST_MESSAGE("done " << done << " of " << carried << ", accepted "
                             << fixture.accepted << ", refused "
                             << fixture.refused << ", lapsed "
                             << fixture.leader->cell->counters().ends_lost);
  BOOST_TEST(done >= 0.8 * carried);
  BOOST_TEST(fixture.refused > 0);
  BOOST_TEST(fixture.leader->cell->counters().step_downs == 0U);
  BOOST_TEST(fixture.leader->cell->counters().ends_lost == 0U);
  BOOST_TEST(fixture.world.log_count("start order got no usable answer") == 0);
  fixture.world.Run(Millis(8000));
  BOOST_TEST(fixture.world.Leader() == fixture.leader);
  BOOST_TEST(fixture.world.violations().empty());
  BOOST_TEST(fixture.world.completed_task_starts().empty());
  BOOST_TEST(fixture.done() - before ==
             static_cast<uint64_t>(fixture.accepted) * kTasksPerJob);
}

// Guards against a limit that holds work back while the link has room.
BOOST_AUTO_TEST_CASE(FullLink_HalfTheLoad_NothingIsRefused) {
  FullLinkFixture fixture;
  fixture.Offer(static_cast<int>(0.5 * kLinkRate / kBytesPerTask),
                Millis(10'000));
  fixture.world.Run(Millis(2000));
  BOOST_TEST(fixture.refused == 0);
  BOOST_TEST(fixture.leader->cell->counters().starts_not_sent == 0U);
  BOOST_TEST(fixture.done() ==
             static_cast<uint64_t>(fixture.accepted) * kTasksPerJob);
}

// A start that has waited for too long is not sent, and its task is started
// later.
BOOST_AUTO_TEST_CASE(FullLink_OtherTrafficFillsIt_StartsAreNotSentLate) {
  FullLinkFixture fixture;
  fixture.Offer(60, Millis(400));
  for (int i = 0; i < 10; ++i) {
    fixture.leader->link->Send(static_cast<size_t>(kLinkRate) / 10);
    fixture.leader->link_load->AddOutgoing(static_cast<size_t>(kLinkRate) / 10,
                                           fixture.world.time().now());
  }
  fixture.Offer(60, Millis(3000));
  fixture.world.Run(Millis(4000));
  BOOST_TEST(fixture.world.violations().empty());
  BOOST_TEST(fixture.world.log_count("start order got no usable answer") == 0);
  BOOST_TEST(fixture.done() ==
             static_cast<uint64_t>(fixture.accepted) * kTasksPerJob);
}

}  // namespace
}  // namespace doorwood
