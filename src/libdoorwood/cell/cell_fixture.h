// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small cell with a leader, for tests of the leader's behavior.

#ifndef DOORWOOD_CELL_FIXTURE_H_
#define DOORWOOD_CELL_FIXTURE_H_

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "fakes/cell_world.h"

namespace doorwood::fakes {

inline constexpr char kFixtureJob[] = "00112233aabbccdd";

/// Three workers and, by default, three instances in different data centres;
/// one instance leads. The destructor reports each entry of
/// `CellWorld::violations` as a test error.
struct CellFixture {
  /// Data centres of the instances, by instance name.
  using DataCentres = std::map<std::string, std::string>;

  explicit CellFixture(uint64_t seed = 11,
                       const DataCentres& instances = {{"a1", "plaka"},
                                                       {"b1", "kerameikos"},
                                                       {"c1", "pireas"}})
      : world(seed) {
    world.SetTable({MakeQueue("queue", 3)});
    for (const char* id : {"w1", "w2", "w3"}) {
      world.AddWorker(id, 8000);
    }
    for (const auto& [name, centre] : instances) {
      world.AddInstance(name, centre);
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
  }
  ~CellFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  CellFixture(const CellFixture&) = delete;
  CellFixture& operator=(const CellFixture&) = delete;

  std::string State(const std::string& job = kFixtureJob) {
    const auto state = world.StateOf(job);
    return state ? std::string(ToString(*state)) : "not known";
  }

  void PartitionAllWorkers() {
    for (const auto& [id, worker] : world.workers()) {
      for (const auto& [name, instance] : world.instances()) {
        instance->unreachable_workers.insert(id);
      }
    }
  }
  void ReconnectAllWorkers() {
    for (const auto& [name, instance] : world.instances()) {
      instance->unreachable_workers.clear();
    }
  }
  void ExpectStartedOnce(int tasks) const {
    for (int index = 0; index < tasks; ++index) {
      BOOST_TEST(world.starts(std::string(kFixtureJob) + ".0.0." +
                              std::to_string(index)) == 1);
    }
  }

  CellWorld world;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_CELL_FIXTURE_H_
