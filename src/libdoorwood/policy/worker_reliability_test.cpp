// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_reliability.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace doorwood {
namespace {

// Forty workers of one service, each with eight runs at a time of half a
// second.
struct ReliabilityFixture {
  static constexpr int kWorkers = 40;
  static constexpr int kRunsPerRound = 8;
  static constexpr Millis kRound{500};

  explicit ReliabilityFixture(double share = 0.1)
      : options{.max_set_aside_share = share} {
    for (int i = 0; i < kWorkers; ++i) {
      names.push_back("w" + std::to_string(i));
    }
    for (const std::string& name : names) {
      workers.push_back({name, "pool"});
    }
  }

  // One round of runs on all workers. The first `bad` workers fail one of
  // `bad_interval` runs, the others one of 33.
  void PlayRound(int bad, int bad_interval) {
    constexpr int kUsualInterval = 33;
    now += kRound;
    for (int worker = 0; worker < kWorkers; ++worker) {
      const bool is_bad = worker < bad;
      const int interval = is_bad ? bad_interval : kUsualInterval;
      const int runs = reliability.IsSetAside(names[worker])
                           ? options.max_runs_set_aside
                           : kRunsPerRound;
      for (int run = 0; run < runs; ++run) {
        const std::string task = "t" + std::to_string(++tasks);
        ++starts[worker];
        // Shifted, so that the usual failures of the workers do not coincide.
        const int number = starts[worker] + (is_bad ? 0 : worker);
        if (number % interval == 0) {
          reliability.OnFailed(names[worker], task, now);
          reliability.OnDone("elsewhere", task, now);
        } else {
          reliability.OnDone(names[worker], task, now);
        }
      }
    }
    changes = reliability.Update(workers, now);
  }
  void Play(int rounds, int bad, int bad_interval) {
    for (int i = 0; i < rounds; ++i) {
      PlayRound(bad, bad_interval);
    }
  }

  WorkerReliabilityOptions options;
  std::vector<std::string> names;
  std::vector<ServiceWorker> workers;
  std::vector<SetAsideChange> changes;
  std::map<int, int> starts;
  int tasks = 0;
  Instant now = Instant{} + Millis(1000);
  WorkerReliability reliability{options};
};

// Load: all workers busy, two fail one run in three for the whole day. Every
// third of their runs makes a quick job late.
BOOST_AUTO_TEST_CASE(Worker_FailsOneRunInThree_IsSetAsideWithinTwoSeconds) {
  ReliabilityFixture f;
  f.Play(4, 2, 3);
  BOOST_TEST(f.reliability.IsSetAside("w0"));
  BOOST_TEST(f.reliability.IsSetAside("w1"));
  BOOST_TEST(f.reliability.set_aside() == 2U);
  f.Play(60, 2, 3);
  BOOST_TEST(f.reliability.IsSetAside("w0"));
  BOOST_TEST(f.reliability.IsSetAside("w1"));
  BOOST_TEST(f.reliability.set_aside() == 2U);
}

// Load: usual failures of one run in 33 on every worker.
BOOST_AUTO_TEST_CASE(Workers_FailAsUsual_NoneIsSetAside) {
  ReliabilityFixture f;
  for (int round = 0; round < 120; ++round) {
    f.PlayRound(0, 1);
    BOOST_TEST(f.reliability.set_aside() == 0U);
  }
}

// A worker that was repaired must get its share of the work again.
BOOST_AUTO_TEST_CASE(SetAsideWorker_WorksAgain_ReturnsWithinFifteenSeconds) {
  ReliabilityFixture f;
  f.Play(10, 1, 2);
  BOOST_TEST(f.reliability.IsSetAside("w0"));
  f.Play(30, 0, 1);
  BOOST_TEST(!f.reliability.IsSetAside("w0"));
}

// Load: a faulty release on every worker. Setting workers aside would only take
// capacity away.
BOOST_AUTO_TEST_CASE(AllWorkers_FailOneRunInThree_NoneIsSetAside) {
  ReliabilityFixture f;
  f.Play(30, ReliabilityFixture::kWorkers, 3);
  BOOST_TEST(f.reliability.set_aside() == 0U);
}

// Load: a third of the workers fails all runs, more than may be set aside.
BOOST_AUTO_TEST_CASE(ManyWorkers_FailAllRuns_ShareSetAsideIsBounded) {
  ReliabilityFixture f;
  f.Play(20, 12, 1);
  BOOST_TEST(f.reliability.set_aside() == 4U);
}

// Load: a worker that gets little work, and whose only two runs fail.
BOOST_AUTO_TEST_CASE(IdleWorker_ItsOnlyTwoRunsFail_IsNotSetAside) {
  ReliabilityFixture f;
  f.Play(4, 0, 1);
  std::vector<ServiceWorker> workers = f.workers;
  workers.push_back({"idle", "pool"});
  for (const char* task : {"first", "second"}) {
    f.reliability.OnFailed("idle", task, f.now);
  }
  f.reliability.Update(workers, f.now);
  BOOST_TEST(!f.reliability.IsSetAside("idle"));
  f.reliability.OnFailed("idle", "third", f.now);
  f.reliability.Update(workers, f.now);
  BOOST_TEST(f.reliability.IsSetAside("idle"));
}

BOOST_AUTO_TEST_CASE(ShareZero_WorkerFailsAllRuns_IsNotSetAside) {
  ReliabilityFixture f(0);
  f.Play(20, 2, 1);
  BOOST_TEST(f.reliability.set_aside() == 0U);
}

// Load: a caller whose tasks fail wherever they run. The workers that ran them
// are not at fault.
BOOST_AUTO_TEST_CASE(Tasks_FailOnEveryWorker_NoWorkerIsSetAside) {
  ReliabilityFixture f;
  f.Play(4, 0, 1);
  for (int i = 0; i < 20; ++i) {
    const std::string task = "broken" + std::to_string(i);
    f.reliability.OnFailed("w3", task, f.now);
    f.reliability.OnFailed("w4", task, f.now);
    f.reliability.OnFailed("w5", task, f.now);
  }
  f.reliability.Update(f.workers, f.now);
  BOOST_TEST(f.reliability.set_aside() == 0U);
}

// Load: equal work on all workers; one takes twice as long as the others.
BOOST_AUTO_TEST_CASE(Worker_TakesTwiceAsLong_IsSetAside) {
  ReliabilityFixture f;
  for (int round = 0; round < 20; ++round) {
    f.now += ReliabilityFixture::kRound;
    for (int worker = 0; worker < ReliabilityFixture::kWorkers; ++worker) {
      for (int run = 0; run < ReliabilityFixture::kRunsPerRound; ++run) {
        // Spread from 0.6 to 2 times the usual time.
        const Millis usual(300 + 100 * ((run * 5 + worker + round) % 8));
        f.reliability.OnRunTime(f.names[worker], Millis(500),
                                worker == 0 ? usual * 2 : usual, f.now);
      }
    }
    f.reliability.Update(f.workers, f.now);
  }
  BOOST_TEST(f.reliability.IsSetAside("w0"));
  BOOST_TEST(f.reliability.set_aside() == 1U);
}

BOOST_AUTO_TEST_CASE(SetAsideWorker_HasMaxRuns_GetsNoMore) {
  ReliabilityFixture f;
  f.Play(10, 1, 2);
  BOOST_TEST(f.reliability.AllowsStart("w0", 1));
  BOOST_TEST(!f.reliability.AllowsStart("w0", 2));
  BOOST_TEST(f.reliability.AllowsStart("w7", 100));
}

BOOST_AUTO_TEST_CASE(Evidence_RestoredByNextLeader_WorkerStaysSetAside) {
  ReliabilityFixture f;
  f.Play(10, 1, 2);
  const RunEvidence* evidence = f.reliability.EvidenceToRecord("w0");
  BOOST_REQUIRE(evidence != nullptr);
  BOOST_TEST(f.reliability.EvidenceToRecord("w7") == nullptr);
  WorkerReliability next(f.options);
  next.Restore("w0", *evidence, f.now);
  BOOST_TEST(next.IsSetAside("w0"));
  next.Update(f.workers, f.now);
  BOOST_TEST(next.IsSetAside("w0"));
}

BOOST_AUTO_TEST_CASE(LowerRateBound_MoreObservations_ApproachesRate) {
  BOOST_TEST(LowerRateBound(0, 0, 3) == 0);
  BOOST_TEST(LowerRateBound(0, 100, 3) == 0);
  BOOST_TEST(LowerRateBound(1, 3, 3) < 0.1);
  BOOST_TEST(LowerRateBound(100, 300, 3) > 0.25);
  BOOST_TEST(LowerRateBound(100, 300, 3) < 1.0 / 3);
}

}  // namespace
}  // namespace doorwood
