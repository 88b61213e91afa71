// SPDX-License-Identifier: Apache-2.0

#include "soak/fault_plan.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace doorwood::soak {
namespace {

constexpr Millis kLength{40'000};

BOOST_AUTO_TEST_CASE(Plan_SameSeed_IsTheSame) {
  const auto one = MakeFaultPlan(7, kLength);
  const auto other = MakeFaultPlan(7, kLength);
  BOOST_REQUIRE_EQUAL(one.size(), other.size());
  for (size_t i = 0; i < one.size(); ++i) {
    BOOST_TEST(one[i].at.count() == other[i].at.count());
    BOOST_TEST(one[i].duration.count() == other[i].duration.count());
    BOOST_TEST((one[i].kind == other[i].kind));
    BOOST_TEST(one[i].pick == other[i].pick);
  }
}

BOOST_AUTO_TEST_CASE(Plan_AnySeed_EndsInTime) {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    Millis last{0};
    for (const Fault& fault : MakeFaultPlan(seed, kLength)) {
      BOOST_TEST((fault.at >= last));
      BOOST_TEST((fault.at + fault.duration <= kLength));
      BOOST_TEST((fault.duration > Millis(0)));
      last = fault.at;
    }
  }
}

BOOST_AUTO_TEST_CASE(Plan_ManySeeds_HaveEveryKind) {
  std::set<FaultKind> kinds;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    for (const Fault& fault : MakeFaultPlan(seed, kLength)) {
      kinds.insert(fault.kind);
    }
    for (const Fault& change : MakeChangePlan(seed, kLength)) {
      kinds.insert(change.kind);
    }
    for (const Fault& fault :
         MakeReplacePlan(seed, Millis(0), Millis(kLength))) {
      kinds.insert(fault.kind);
    }
  }
  for (const Fault& fault : MakeSilencePlan(0, kLength)) {
    kinds.insert(fault.kind);
  }
  BOOST_TEST(kinds.size() == static_cast<size_t>(FaultKind::kCount));
}

BOOST_AUTO_TEST_CASE(ChangePlan_AnySeed_HasSeriesAndEndsInTime) {
  size_t series = 0;
  for (uint64_t seed = 0; seed < 50; ++seed) {
    Millis last{0};
    for (const Fault& change : MakeChangePlan(seed, kLength)) {
      BOOST_TEST((change.at >= last && change.at <= kLength));
      series += change.at - last < Millis(250) ? 1 : 0;
      last = change.at;
    }
  }
  BOOST_TEST(series > 50U);
}

BOOST_AUTO_TEST_CASE(ReplacePlan_AnySeed_IsASeriesAndEndsInTime) {
  constexpr Millis kFrom{20'000};
  for (uint64_t seed = 0; seed < 200; ++seed) {
    Millis last{0};
    Millis last_replaced{0};
    size_t replaced = 0;
    for (const Fault& fault : MakeReplacePlan(seed, kFrom, kLength)) {
      BOOST_TEST((fault.at >= last && fault.at >= kFrom));
      BOOST_TEST((fault.at + fault.duration <= kLength));
      last = fault.at;
      if (fault.kind != FaultKind::kReplaceWorker) {
        continue;
      }
      BOOST_TEST(
          (fault.duration >= Millis(3000) && fault.duration <= Millis(5000)));
      if (replaced++ > 0) {
        const Millis gap = fault.at - last_replaced;
        BOOST_TEST((gap >= Millis(700) && gap <= Millis(2000)));
      }
      last_replaced = fault.at;
    }
    BOOST_TEST(replaced >= 5U);
  }
}

BOOST_AUTO_TEST_CASE(ReplacePlan_TooShortForOne_ReplacesNone) {
  for (uint64_t seed = 0; seed < 20; ++seed) {
    for (const Fault& fault : MakeReplacePlan(seed, Millis(0), Millis(4000))) {
      BOOST_TEST((fault.kind != FaultKind::kReplaceWorker));
      BOOST_TEST((fault.at <= Millis(4000)));
    }
  }
}

BOOST_AUTO_TEST_CASE(ReplacePlan_SameSeed_IsTheSame) {
  const auto one = MakeReplacePlan(7, Millis(0), kLength);
  const auto other = MakeReplacePlan(7, Millis(0), kLength);
  BOOST_REQUIRE_EQUAL(one.size(), other.size());
  for (size_t i = 0; i < one.size(); ++i) {
    BOOST_TEST(one[i].at.count() == other[i].at.count());
    BOOST_TEST(one[i].duration.count() == other[i].duration.count());
    BOOST_TEST((one[i].kind == other[i].kind));
  }
}

BOOST_AUTO_TEST_CASE(ReplacePlan_ManySeeds_CoverEveryLeaderChange) {
  size_t in_turn = 0;
  size_t leader_stopped = 0;
  size_t leader_killed = 0;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    std::set<uint32_t> stopped;
    size_t stops = 0;
    size_t kills = 0;
    for (const Fault& fault : MakeReplacePlan(seed, Millis(0), kLength)) {
      if (fault.kind == FaultKind::kPlannedStop && !fault.leader) {
        stopped.insert(fault.pick % 8);
      }
      stops += fault.kind == FaultKind::kPlannedStop && fault.leader ? 1 : 0;
      kills += fault.kind == FaultKind::kKill && fault.leader ? 1 : 0;
    }
    in_turn += stopped.size() == 8 ? 1 : 0;
    leader_stopped += stops > 1 ? 1 : 0;
    leader_killed += kills > 1 ? 1 : 0;
  }
  BOOST_TEST(in_turn > 0U);
  BOOST_TEST(leader_stopped > 0U);
  BOOST_TEST(leader_killed > 0U);
  BOOST_TEST(in_turn + leader_stopped + leader_killed == 20U);
}

BOOST_AUTO_TEST_CASE(Unplanned_KillsCutsAndTheStore_NotWhatOperatorsDo) {
  for (const FaultKind kind :
       {FaultKind::kCutStore, FaultKind::kCutInstance,
        FaultKind::kStoreUnreachable, FaultKind::kDropLeaseKeys,
        FaultKind::kKill, FaultKind::kPause, FaultKind::kCrashWorker,
        FaultKind::kDropEntry}) {
    BOOST_TEST(IsUnplanned(kind), ToString(kind));
  }
  for (const FaultKind kind :
       {FaultKind::kPlannedStop, FaultKind::kWorkerLeaves,
        FaultKind::kReplaceWorker, FaultKind::kConfigure,
        FaultKind::kReloadSettings}) {
    BOOST_TEST(!IsUnplanned(kind), ToString(kind));
  }
}

BOOST_AUTO_TEST_CASE(StopPlan_Long_StopsEachInstanceAndTheLeader) {
  constexpr uint32_t kInstances = 8;
  std::set<uint32_t> stopped;
  size_t leaders = 0;
  for (const Fault& fault : MakeStopPlan(kLength)) {
    BOOST_TEST((fault.kind == FaultKind::kPlannedStop));
    if (fault.leader) {
      ++leaders;
    } else {
      stopped.insert(fault.pick % kInstances);
    }
  }
  BOOST_TEST(stopped.size() == kInstances);
  BOOST_TEST(leaders > 0);
}

}  // namespace
}  // namespace doorwood::soak
