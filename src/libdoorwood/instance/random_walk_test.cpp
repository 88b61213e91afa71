// SPDX-License-Identifier: Apache-2.0

// A seeded random walk over complete control cores: submits jobs and injects
// faults in random order. The invariants must hold throughout, and every
// accepted job must end once all faults are removed.
// Usage: random_walk_test -- [first seed] [number of seeds]

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/world.h"

namespace doorwood {
namespace {

using fakes::Fault;
using fakes::World;
using fakes::WorldOptions;

constexpr uint64_t kFirstSeed = 1;
constexpr uint64_t kSeeds = 400;
constexpr int kSteps = 30;
// Seeds that failed in the past, kept as regression tests.
constexpr uint64_t kRegressionSeeds[] = {23, 28, 101, 1026, 1034, 1057, 1079};

class RandomWalk {
 public:
  explicit RandomWalk(uint64_t seed)
      : random_(seed), options_(Options(seed)), world_(options_) {}

  void Run() {
    world_.StartAll();
    world_.Run(Millis(4000));
    world_.Configure("plaka-1");
    for (int step = 0; step < kSteps; ++step) {
      Step();
      world_.Run(Millis(RandomBelow(1500)));
    }
    RemoveFaults();
    CheckEnds();
    CheckInvariants();
  }

 private:
  static WorldOptions Options(uint64_t seed) {
    std::mt19937_64 random(seed);
    WorldOptions options;
    options.seed = seed;
    options.entries = 2 + static_cast<int>(random() % 2);
    options.workers = 1 + static_cast<int>(random() % 4);
    options.workers_check_epoch = random() % 5 != 0;
    return options;
  }

  int RandomBelow(int below) { return static_cast<int>(random_() % below); }

  std::string RandomEntry() {
    return "plaka-" + std::to_string(1 + RandomBelow(options_.entries));
  }

  std::string RandomWorker() {
    return "plaka-w" + std::to_string(1 + RandomBelow(options_.workers));
  }

  Fault RandomFault() {
    constexpr Fault kFaults[] = {Fault::kNone, Fault::kRefused,
                                 Fault::kAnswerLost, Fault::kRequestLost,
                                 Fault::kDelayed};
    return kFaults[RandomBelow(5)];
  }

  void Step() {
    const std::string entry = RandomEntry();
    const bool usable =
        world_.IsRunning(entry) && !world_.EntryOf(entry).executor->frozen();
    const int kind = RandomBelow(12);
    constexpr const char* kKinds[] = {
        "submit",         "submit",          "submit",
        "kill",           "start",           "freeze",
        "thaw",           "store",           "worker fault",
        "peer partition", "worker restarts", "late placements"};
    world_.trace().push_back(std::to_string(world_.time().now_ms()) + " STEP " +
                             kKinds[kind] + " " + entry);
    switch (kind) {
      case 0:
      case 1:
      case 2:
        if (usable) {
          Submit(entry);
        }
        break;
      case 3:
        if (world_.IsRunning(entry)) {
          world_.Kill(entry);
        }
        break;
      case 4:
        if (!world_.IsRunning(entry)) {
          world_.Start(entry);
        }
        break;
      case 5:
        if (world_.IsRunning(entry)) {
          world_.Freeze(entry);
        }
        break;
      case 6:
        if (world_.IsRunning(entry)) {
          world_.Thaw(entry);
        }
        break;
      case 7:
        world_.SetKvFault(RandomFault());
        break;
      case 8:
        SetWorkerFault();
        break;
      case 9:
        world_.network().SetPartitioned("peer:plaka-1", "peer:" + entry,
                                        RandomBelow(2) == 0);
        break;
      case 10:
        world_.worker(RandomWorker()).Restart(world_.time().now_ms());
        break;
      case 11:
        world_.network().DelayPlacements(RandomBelow(4));
        break;
    }
  }

  void SetWorkerFault() {
    const Fault fault = RandomFault();
    // A worker without fencing is safe only if no order is delayed for longer
    // than its lease; see docs/design/worker-lease.md.
    const bool unsafe =
        !options_.workers_check_epoch && fault == Fault::kDelayed;
    world_.SetWorkerFault(RandomWorker(), unsafe ? Fault::kRefused : fault);
  }

  void Submit(const std::string& entry) {
    const bool not_repeatable = RandomBelow(3) == 0;
    const bool service = RandomBelow(4) == 0;
    std::string more;
    more += not_repeatable ? "    repeatable: false\n" : "";
    more += service ? "    class: service\n" : "";
    const std::string payload = "run-ms=" + std::to_string(RandomBelow(9000));
    const std::string job =
        world_.Submit(entry, 1 + RandomBelow(4), payload, more);
    if (!job.empty()) {
      jobs_.insert(job);
      if (not_repeatable) {
        not_repeatable_jobs_.insert(job);
      }
    }
  }

  void RemoveFaults() {
    world_.SetKvFault(Fault::kNone);
    for (int n = 1; n <= options_.workers; ++n) {
      world_.SetWorkerFault("plaka-w" + std::to_string(n), Fault::kNone);
    }
    for (int n = 1; n <= options_.entries; ++n) {
      const std::string entry = "plaka-" + std::to_string(n);
      world_.network().SetPartitioned("peer:plaka-1", "peer:" + entry, false);
      if (!world_.IsRunning(entry)) {
        world_.Start(entry);
      }
      world_.Thaw(entry);
    }
    world_.Run(Millis(20000));
  }

  void CheckEnds() {
    std::string open;
    const bool all = world_.RunUntil(Millis(120000), [&]() {
      open.clear();
      for (const std::string& job : jobs_) {
        const std::string phase = world_.JobPhase("plaka-1", job);
        if (phase != "succeeded" && phase != "failed") {
          open = job + " is " + phase;
          return false;
        }
      }
      return true;
    });
    BOOST_TEST(all, "an accepted job has no end: " << open);
    if (!all) {
      PrintTrace();
    }
  }

  // Prints the trace, the jobs and the store, to find the cause of a failure.
  void PrintTrace() {
    for (const std::string& line : world_.trace()) {
      BOOST_TEST_MESSAGE(line);
    }
    for (const std::string& job : jobs_) {
      BOOST_TEST_MESSAGE(world_.JobStatus("plaka-1", job).dump());
    }
    const int64_t now = world_.time().now_ms();
    for (const KvEntry& entry : world_.store().List("shard/", now)) {
      BOOST_TEST_MESSAGE(entry.key << " " << entry.value);
    }
  }

  void CheckInvariants() {
    for (const std::string& violation : world_.violations()) {
      BOOST_ERROR(violation);
    }
    if (!world_.violations().empty()) {
      PrintTrace();
    }
    std::map<TaskId, int> starts;
    for (const auto& event : world_.events()) {
      const bool start = event.kind == standin::WorkerEventKind::kStart;
      starts[event.task] += start ? 1 : 0;
    }
    for (const auto& [task, count] : starts) {
      if (not_repeatable_jobs_.contains(task.job) && count > 1) {
        BOOST_ERROR("started " << count << " times: " << ToString(task));
      }
    }
  }

  std::mt19937_64 random_;
  WorldOptions options_;
  World world_;
  std::set<std::string> jobs_;
  std::set<std::string> not_repeatable_jobs_;
};

void RunSeed(uint64_t seed) {
  BOOST_TEST_CONTEXT("seed " << seed) {
    RandomWalk(seed).Run();
  }
}

BOOST_AUTO_TEST_SUITE(random_walk)

BOOST_AUTO_TEST_CASE(RandomWalk_RegressionSeeds_InvariantsHoldAndJobsEnd) {
  for (const uint64_t seed : kRegressionSeeds) {
    RunSeed(seed);
  }
}

BOOST_AUTO_TEST_CASE(RandomWalk_SeedRange_InvariantsHoldAndJobsEnd) {
  const auto& suite = boost::unit_test::framework::master_test_suite();
  const uint64_t first =
      suite.argc > 1 ? std::stoull(suite.argv[1]) : kFirstSeed;
  const uint64_t count = suite.argc > 2 ? std::stoull(suite.argv[2]) : kSeeds;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    RunSeed(seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
