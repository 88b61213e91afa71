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
    BOOST_TEST(one[i].lasts.count() == other[i].lasts.count());
    BOOST_TEST((one[i].kind == other[i].kind));
    BOOST_TEST(one[i].pick == other[i].pick);
  }
}

BOOST_AUTO_TEST_CASE(Plan_AnySeed_IsOverInTime) {
  for (uint64_t seed = 0; seed < 200; ++seed) {
    Millis last{0};
    for (const Fault& fault : MakeFaultPlan(seed, kLength)) {
      BOOST_TEST((fault.at >= last));
      BOOST_TEST((fault.at + fault.lasts <= kLength));
      BOOST_TEST((fault.lasts > Millis(0)));
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
  }
  BOOST_TEST(kinds.size() == static_cast<size_t>(FaultKind::kCount));
}

BOOST_AUTO_TEST_CASE(ChangePlan_AnySeed_HasSeriesAndIsOverInTime) {
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
