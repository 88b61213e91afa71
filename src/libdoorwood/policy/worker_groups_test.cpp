// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_groups.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

namespace doorwood {
namespace {

struct GroupsFixture {
  WorkerGroups groups{{.min_workers = 100,
                       .group_size = 20,
                       .wanted_load = 0.25,
                       .min_groups_in_use = 2}};

  void AssignAll(int workers) {
    for (int i = 0; i < workers; ++i) {
      ++sizes[groups.Assign("pool", i % 2 == 0 ? "north" : "south", workers)];
    }
  }
  void SetLoads(int64_t capacity, int64_t used) {
    std::map<WorkerGroup, WorkerGroups::Load> loads;
    for (const auto& [group, size] : sizes) {
      loads[group] = {capacity, used};
    }
    groups.SetLoads(loads);
  }

  std::map<WorkerGroup, int> sizes;
};

BOOST_FIXTURE_TEST_SUITE(worker_groups, GroupsFixture)

BOOST_AUTO_TEST_CASE(Assign_SmallCell_HasNoGroups) {
  AssignAll(99);
  BOOST_TEST(sizes.size() == 1U);
  BOOST_TEST(sizes.contains(0));
  BOOST_TEST(groups.Choose("pool", 1) == 0);
}

// A group's size does not grow with the cell, so neither does what a successor
// has to account for before it starts a job's tasks.
BOOST_AUTO_TEST_CASE(Assign_LargerCells_HaveMoreGroupsOfTheSameSize) {
  AssignAll(6000);
  BOOST_TEST(sizes.size() == 300U);
  for (const auto& [group, size] : sizes) {
    BOOST_TEST(group > 0);
    BOOST_TEST(size == 20);
  }
}

BOOST_AUTO_TEST_CASE(Choose_LightLoad_UsesFewGroups) {
  AssignAll(200);
  SetLoads(100'000, 0);
  std::set<WorkerGroup> chosen;
  for (int i = 0; i < 10; ++i) {
    chosen.insert(groups.Choose("pool", 3000));
  }
  BOOST_TEST(chosen.size() == 2U);
}

BOOST_AUTO_TEST_CASE(Choose_LoadRises_AddsGroupsAndThenNone) {
  AssignAll(200);
  SetLoads(100'000, 50'000);
  BOOST_TEST(groups.Choose("pool", 30'000) > 0);
  SetLoads(100'000, 80'000);
  BOOST_TEST(groups.Choose("pool", 30'000) == 0);
  BOOST_TEST(groups.Choose("other pool", 1) == 0);
}

// The workers of a data centre that does not answer have no room to offer.
BOOST_AUTO_TEST_CASE(Choose_GroupWithoutOpenWorkers_IsNotChosen) {
  AssignAll(200);
  std::map<WorkerGroup, WorkerGroups::Load> loads;
  loads[2] = {100'000, 0};
  groups.SetLoads(loads);
  BOOST_TEST(groups.Choose("pool", 1000) == 2);
}

BOOST_AUTO_TEST_CASE(Remove_LastWorker_ForgetsTheGroup) {
  groups.Restore(7);
  groups.Restore(7);
  groups.Remove(7);
  BOOST_TEST(groups.size() == 1U);
  groups.Remove(7);
  BOOST_TEST(groups.size() == 0U);
}

BOOST_AUTO_TEST_CASE(Assign_AfterRestore_FillsTheKnownGroup) {
  groups.Restore(7);
  groups.SetKind(7, "pool", "north");
  BOOST_TEST(groups.Assign("pool", "north", 200) == 7);
  BOOST_TEST(groups.Assign("pool", "south", 200) == 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
