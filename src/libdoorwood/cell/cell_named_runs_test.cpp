// SPDX-License-Identifier: Apache-2.0

// What the record names on workers that leave, leader by leader: the leader
// that wrote a row is gone right before or after it is confirmed, the worker
// answers its successors or not, and the worker is taken back. Nothing may run
// twice, nothing that is done may be started again, and what may run is to be
// at work again in time. All in virtual time.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libdoorwood/cell/cell_world_steps.h"
#include "libdoorwood/cell/lead_trial_fixture.h"

namespace doorwood {
namespace {

using fakes::CellWorld;
using fakes::CutAllFrom;
using fakes::RunnerOf;
using fakes::Tally;
using fakes::WorldInstance;
using fakes::WorldWorker;

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kTask[] = "00112233aabbccdd.0.0.0";
constexpr char kWaitingJob[] = "00112233aabbccee";
constexpr char kWaitingTask[] = "00112233aabbccee.0.0.0";
constexpr char kLateJob[] = "00112233aabbccff";
constexpr char kLateTask[] = "00112233aabbccff.0.0.0";
constexpr Millis kAfterwards{18'000};
// The lead falls vacant for 3 s at most, and a leader that hears all workers
// starts within another 1.5 s.
constexpr Millis kHeardAgain{4500};
// Beside that, the longest promise of any earlier leader.
constexpr Millis kUnheardAgain{13'500};

enum class Gone { kKilled, kCutOff, kFrozen };

std::string_view ToString(Gone gone) {
  switch (gone) {
    case Gone::kKilled:
      return "killed";
    case Gone::kCutOff:
      return "cut off";
    case Gone::kFrozen:
      return "frozen";
  }
  return "";
}

JobPlan LastingPlan() {
  JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
  plan.steps[0].lasting = true;
  return plan;
}

/// A task that goes on until it is stopped, and is taken without room for it.
JobPlan LongPlan(const std::string& id, int64_t cpu_millis) {
  JobPlan plan = fakes::MakePlan(id, 1, 1, "");
  plan.steps[0].size.cpu_millis = cpu_millis;
  return plan;
}

/// The task runs on "leaves"; "stays" comes then or later. Another job waits
/// for a worker that is large enough.
struct NamedRuns {
  explicit NamedRuns(const JobPlan& plan,
                     Millis stop_takes = Millis(0),
                     bool stays = true)
      : world(7) {
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.AddWorker("leaves", 4000).model.SetStopTakes(stop_takes);
    world.AddInstance("a1", "plaka", 2.0);
    for (const char* name : {"b1", "c1", "a2", "b2"}) {
      world.AddInstance(name, fakes::LeadTrial::CentreOf(name));
    }
    world.WaitForLeader();
    world.Run(Millis(1000));
    old = world.Leader();
    BOOST_REQUIRE(world.Submit(plan));
    world.Run(Millis(300));
    BOOST_REQUIRE(RunnerOf(world, kTask) == "leaves");
    if (stays) {
      AddStays();
    }
    BOOST_REQUIRE(world.Submit(LongPlan(kWaitingJob, 12'000)));
    world.Run(Millis(1000));
  }

  WorldWorker& leaves() const { return *world.workers().at("leaves"); }

  void AddStays() const { world.AddWorker("stays", 8000); }

  void Drain(bool drains) const { leaves().life.draining = drains; }

  /// Runs in small steps and notes for how long the tasks ran nowhere.
  void Run(Millis duration) {
    constexpr Millis kStep{25};
    for (Millis passed{0}; passed < duration; passed += kStep) {
      world.time().Run(kStep);
      world.AdvanceAll();
      away = RunnerOf(world, kTask).empty() ? away + kStep : Millis(0);
      longest_away = std::max(longest_away, away);
      waited += world.starts(kWaitingTask) == 0 ? kStep : Millis(0);
    }
  }

  void CutFromOthers(const WorldInstance* reaches) const {
    for (const auto& [name, instance] : world.instances()) {
      if (instance != reaches) {
        instance->cut_from.insert("leaves");
      }
    }
  }

  void HealAll() const {
    for (const auto& [name, instance] : world.instances()) {
      instance->store_faults = {};
      instance->cut_from_peers = false;
      instance->cut_from.clear();
      instance->order_answers_lost = 0;
    }
  }

  /// The first leader goes; whoever follows it reaches "leaves" or doesn't.
  void End(Gone gone, bool heard) {
    if (!heard) {
      CutFromOthers(old);
    }
    if (gone == Gone::kKilled) {
      world.Kill(old->name);
      old = nullptr;
    } else if (gone == Gone::kCutOff) {
      old->store_faults.silent = true;
      old->cut_from_peers = true;
    } else {
      old->executor->Freeze();
      WorldInstance* frozen = old;
      world.time().At(world.time().now() + Millis(5000),
                      [frozen] { frozen->executor->Thaw(); });
    }
  }

  void Take(Tally* tally, const std::string& context) const {
    tally->Take(context, world);
    for (const std::string& rule : world.started_done()) {
      BOOST_ERROR(context + ": " + rule);
    }
  }

  mutable CellWorld world;
  WorldInstance* old = nullptr;
  Millis away{0};
  Millis longest_away{0};
  /// For how long the other job has waited.
  Millis waited{0};
};

std::string Context(Gone gone, bool heard, int at) {
  return std::string(ToString(gone)) + " at " + std::to_string(at) +
         (heard ? " heard" : " not heard");
}

void ForEachEnd(const std::function<void(Gone, bool, int)>& play,
                int most,
                int step) {
  for (const Gone gone : {Gone::kKilled, Gone::kCutOff, Gone::kFrozen}) {
    for (const bool heard : {true, false}) {
      for (int at = 0; at <= most; at += step) {
        play(gone, heard, at);
      }
    }
  }
}

// The leader goes 0 to 1.5 s after the worker's entry says that it leaves, so
// before and after the row that names the task is confirmed.
BOOST_AUTO_TEST_CASE(NamedRun_LeaderGoneAroundItsRecord_OnceAndInTime) {
  Tally tally;
  Millis longest_heard{0};
  Millis longest_unheard{0};
  for (const int stop_takes : {0, 2500}) {
    ForEachEnd(
        [&](Gone gone, bool heard, int at) {
          NamedRuns trial(LastingPlan(), Millis(stop_takes));
          trial.Drain(true);
          trial.Run(Millis(at));
          trial.End(gone, heard);
          trial.Run(kAfterwards);
          const std::string context = Context(gone, heard, at) +
                                      " stop takes " +
                                      std::to_string(stop_takes);
          trial.Take(&tally, context);
          const Millis bound = heard ? kHeardAgain : kUnheardAgain;
          Millis& longest = heard ? longest_heard : longest_unheard;
          longest = std::max(longest, trial.longest_away);
          BOOST_TEST_CONTEXT(context) {
            BOOST_TEST(trial.longest_away.count() <= bound.count());
            BOOST_TEST(!RunnerOf(trial.world, kTask).empty());
          }
        },
        1500, 50);
  }
  BOOST_TEST_MESSAGE("longest away: heard " << longest_heard.count()
                                            << " ms, not heard "
                                            << longest_unheard.count());
}

// A job that waited before has nothing to do with what the row names: the room
// for it comes while the successor does not hear the worker.
BOOST_AUTO_TEST_CASE(OtherTask_RowNamesWhatMayRun_StartsWithoutWait) {
  Tally tally;
  for (const Gone gone : {Gone::kKilled, Gone::kCutOff}) {
    for (int at = 900; at <= 4000; at += 100) {
      NamedRuns trial(LastingPlan(), Millis(2500));
      trial.Drain(true);
      trial.Run(Millis(at));
      trial.End(gone, /*heard=*/false);
      trial.world.AddWorker("large", 16'000);
      if (gone == Gone::kCutOff) {
        trial.old->cut_from.insert("large");
      }
      trial.waited = Millis(0);
      trial.Run(kAfterwards);
      const std::string context = Context(gone, false, at);
      trial.Take(&tally, context);
      BOOST_TEST_CONTEXT(context) {
        BOOST_TEST(trial.waited.count() <= kHeardAgain.count());
      }
    }
  }
}

// A task that has left the worker, by its word, is named no more: it is not
// held back when its next worker is lost together with the leader.
BOOST_AUTO_TEST_CASE(MovedTask_RowNamesItNoMore_StartsWithoutWait) {
  Tally tally;
  for (int at = 3500; at <= 6500; at += 100) {
    NamedRuns trial(LastingPlan(), Millis(1500));
    trial.Drain(true);
    trial.Run(Millis(at));
    BOOST_REQUIRE(RunnerOf(trial.world, kTask) == "stays");
    trial.End(Gone::kKilled, /*heard=*/false);
    trial.world.CrashWorker("stays");
    trial.world.AddWorker("spare", 4000);
    trial.Run(kAfterwards);
    const std::string context = "gone at " + std::to_string(at);
    trial.Take(&tally, context);
    BOOST_TEST_CONTEXT(context) {
      BOOST_TEST(trial.longest_away.count() <= kHeardAgain.count());
    }
  }
}

// The end is counted by the leader, but the store is silent to it since shortly
// before; the worker answers the successor or doesn't.
BOOST_AUTO_TEST_CASE(NamedRun_EndCountedButNotRecorded_NotStartedAgain) {
  Tally tally;
  ForEachEnd(
      [&](Gone gone, bool heard, int at) {
        NamedRuns trial(fakes::MakePlan(kJob, 1, 1, "ms=4000"));
        trial.Drain(true);
        trial.leaves().life.remaining = Millis(9000);
        trial.Run(Millis(1000 + at));
        trial.old->store_faults.silent = true;
        trial.Run(Millis(1500));
        trial.End(gone, heard);
        trial.Run(kAfterwards);
        trial.HealAll();
        trial.Run(Millis(6000));
        const std::string context = Context(gone, heard, at);
        trial.Take(&tally, context);
        BOOST_TEST_CONTEXT(context) {
          const auto state = trial.world.StateOf(kJob);
          BOOST_TEST((state ? ToString(*state) : "not known") == "completed");
          if (heard) {
            BOOST_TEST(trial.world.starts(kTask) == 1);
          }
        }
      },
      2000, 100);
}

// In a busy cell answers of the store are lost, so that the newer states of
// some jobs wait, while a row goes beside them and is confirmed: in the store a
// task has not ended, and it runs nowhere. Whoever follows does not hear the
// worker on which it ended.
BOOST_AUTO_TEST_CASE(NamedRun_RowOvertakesItsEnd_NotStartedAgain) {
  constexpr int kSeeds = 600;
  constexpr Millis kEach{40};
  Tally tally;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CellWorld world(static_cast<uint64_t>(seed));
    world.SetTable({fakes::MakeQueue("queue", 4)});
    for (const char* id : {"leaves", "stays", "stays too"}) {
      world.AddWorker(id, 8000);
    }
    world.AddInstance("a1", "plaka", 2.0);
    world.AddInstance("b1", "kerameikos");
    world.AddInstance("c1", "pireas");
    WorldInstance* old = world.WaitForLeader();
    world.Run(Millis(1000));
    unsigned jobs = 0;
    // Tasks of a job end one after the other.
    const auto busy = [&](Millis duration) {
      for (Millis passed{0}; passed < duration; passed += kEach) {
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", ++jobs);
        const auto takes = std::to_string(100 + world.random()() % 500);
        JobPlan plan = fakes::MakePlan(id, 3, 1, "ms=" + takes);
        plan.accepted_at = world.time().millis();
        old->cell->Submit(plan, [](std::error_code, AcceptOutcome) {});
        world.time().Run(kEach);
        world.AdvanceAll();
      }
    };
    busy(Millis(1500));
    old->store_faults.answer_lost = 0.2;
    WorldWorker& leaves = *world.workers().at("leaves");
    leaves.life.draining = seed % 3 != 0;
    leaves.listed = seed % 3 == 1;
    busy(Millis(500 + seed * 2));
    CutAllFrom(world, "leaves");
    world.Kill(old->name);
    world.Run(kAfterwards);
    const std::string context = "seed " + std::to_string(seed);
    tally.Take(context, world);
    for (const std::string& rule : world.started_done()) {
      BOOST_ERROR(context << ": " << rule);
    }
  }
}

// The start is carried out and not answered, and only then the worker falls
// silent, is drained or goes from the list: the row has to name the task.
BOOST_AUTO_TEST_CASE(UnansweredStart_WorkerGetsNothingNew_NotStartedAgain) {
  Tally tally;
  int ran = 0;
  for (const bool drains : {true, false}) {
    for (const bool cut : {true, false}) {
      for (int at = 100; at <= 4000; at += 100) {
        NamedRuns trial(LastingPlan(), Millis(0), /*stays=*/false);
        trial.old->order_answers_lost = 1;
        trial.world.Submit(LongPlan(kLateJob, 1000));
        ran += trial.world.starts(kLateTask);
        if (cut) {
          trial.old->cut_from.insert("leaves");
        }
        trial.Drain(drains);
        trial.Run(Millis(at));
        trial.End(Gone::kKilled, /*heard=*/false);
        trial.AddStays();
        trial.Run(kAfterwards);
        trial.Take(&tally, std::string(drains ? "drains " : "") +
                               (cut ? "cut " : "") + "gone after " +
                               std::to_string(at));
      }
    }
  }
  BOOST_TEST(ran > 0);
}

// The entry says again that the worker stays. New work may go there only after
// a record that no longer names what runs there: from shortly before or after
// the entry changes the leader's writes are not answered, and its reads are.
BOOST_AUTO_TEST_CASE(WorkerTakenBack_RecordNotConfirmed_NothingRunsTwice) {
  Tally tally;
  int taken_back = 0;
  for (const bool killed : {true, false}) {
    for (int silent = -600; silent <= 600; silent += 25) {
      for (int gone = 500; gone <= 2500; gone += 500) {
        NamedRuns trial(fakes::MakePlan(kJob, 1, 1, ""), Millis(0),
                        /*stays=*/false);
        trial.Drain(true);
        trial.Run(Millis(1500));
        trial.world.Submit(LongPlan(kLateJob, 1000));
        trial.Run(Millis(500));
        BOOST_REQUIRE(trial.world.starts(kLateTask) == 0);
        if (silent < 0) {
          trial.old->store_faults.late = 1;
          trial.Run(Millis(-silent));
          trial.Drain(false);
        } else {
          trial.Drain(false);
          trial.Run(Millis(silent));
          trial.old->store_faults.late = 1;
        }
        trial.Run(Millis(gone));
        taken_back += trial.world.starts(kLateTask);
        trial.End(killed ? Gone::kKilled : Gone::kCutOff, /*heard=*/false);
        trial.AddStays();
        if (!killed) {
          trial.old->cut_from.insert("stays");
        }
        trial.Run(kAfterwards);
        trial.Take(&tally, std::string(killed ? "killed" : "cut off") +
                               " silent after " + std::to_string(silent) +
                               " gone after " + std::to_string(gone));
      }
    }
  }
  BOOST_TEST(taken_back > 0);
}

// Without faults it gets new work within a moment.
BOOST_AUTO_TEST_CASE(WorkerTakenBack_StoreAnswers_GetsNewWorkInTime) {
  constexpr int kMostStarts = 2;
  for (int drained = 100; drained <= 3000; drained += 100) {
    NamedRuns trial(fakes::MakePlan(kJob, 1, 1, ""), Millis(0),
                    /*stays=*/false);
    trial.Drain(true);
    trial.Run(Millis(drained));
    trial.world.Submit(LongPlan(kLateJob, 1000));
    trial.Drain(false);
    trial.Run(Millis(1000));
    BOOST_TEST_CONTEXT("drained for " << drained) {
      BOOST_TEST(RunnerOf(trial.world, kLateTask) == "leaves");
      BOOST_TEST(trial.world.starts(kLateTask) < kMostStarts);
      BOOST_TEST(trial.world.broken().empty());
    }
  }
}

// A record that names nothing is on its way, its answer lost, when the worker
// is about to leave; the next one, with names, follows it, and then the entry
// says that the worker stays. What is confirmed in between must not be taken
// for the newest.
BOOST_AUTO_TEST_CASE(WorkerTakenBack_OlderRecordConfirmed_NothingRunsTwice) {
  Tally tally;
  for (int drains = 0; drains <= 1000; drains += 100) {
    for (int back = 50; back <= 1500; back += 50) {
      NamedRuns trial(fakes::MakePlan(kJob, 1, 1, ""), Millis(0),
                      /*stays=*/false);
      trial.world.Submit(LongPlan(kLateJob, 12'000));
      // Whatever joins is recorded, and with it the row of "leaves".
      trial.old->store_faults.answer_lost = 1;
      trial.world.AddWorker("joins", 500);
      trial.Run(Millis(500));
      trial.old->store_faults.answer_lost = 0;
      trial.Drain(true);
      trial.Run(Millis(drains));
      trial.world.Submit(LongPlan("00112233aabbcc01", 1000));
      trial.Run(Millis(back));
      trial.old->store_faults.late = 1;
      trial.Drain(false);
      trial.Run(Millis(1500));
      trial.End(Gone::kKilled, /*heard=*/false);
      trial.AddStays();
      trial.Run(kAfterwards);
      trial.Take(&tally, "drains for " + std::to_string(drains) +
                             " back after " + std::to_string(back));
    }
  }
}

// The same for the second leader: the row that it reads names what runs there,
// and the entry says that the worker stays. It alone hears that worker.
BOOST_AUTO_TEST_CASE(SecondLeader_TakesWorkerBackUnrecorded_NothingRunsTwice) {
  constexpr Millis kFine{5};
  Tally tally;
  int taken_back = 0;
  for (const int late : {0, 20, 60, 100, 150, 250}) {
    for (int leads = 100; leads <= 3000; leads += 100) {
      NamedRuns trial(fakes::MakePlan(kJob, 1, 1, ""), Millis(0),
                      /*stays=*/false);
      trial.Drain(true);
      trial.Run(Millis(1500));
      trial.world.Submit(LongPlan(kLateJob, 1000));
      BOOST_REQUIRE(trial.world.starts(kLateTask) == 0);
      trial.End(Gone::kKilled, /*heard=*/true);
      trial.Drain(false);
      WorldInstance* second = nullptr;
      for (int i = 0; i < 2000 && second == nullptr; ++i) {
        trial.world.time().Run(kFine);
        trial.world.AdvanceAll();
        second = trial.world.Leader();
      }
      BOOST_REQUIRE(second != nullptr);
      trial.world.time().Run(Millis(late));
      second->store_faults.late = 1;
      trial.Run(Millis(leads));
      taken_back += trial.world.starts(kLateTask);
      trial.CutFromOthers(second);
      trial.world.Kill(second->name);
      trial.AddStays();
      trial.Run(kAfterwards);
      trial.Take(&tally, "writes late after " + std::to_string(late) +
                             " leads " + std::to_string(leads));
    }
  }
  BOOST_TEST(taken_back > 0);
}

struct ThirdRow {
  bool second_hears;
  bool third_hears;
};

// The second leader reads the row of a worker that it hears or doesn't, and is
// gone 0.5 to 14 s later; the third reads what the second made of it.
BOOST_AUTO_TEST_CASE(ThirdLeader_ReadsSecondsRow_OnceAndInTime) {
  Tally tally;
  // Counted over both successors, with a second for each record of the wait.
  constexpr Millis kBoth = kUnheardAgain + Millis(4500);
  const ThirdRow rows[] = {
      {true, true}, {true, false}, {false, true}, {false, false}};
  Millis longest{0};
  for (const ThirdRow& row : rows) {
    for (int at = 0; at <= 1200; at += 300) {
      for (int leads = 500; leads <= 14'000; leads += 750) {
        NamedRuns trial(LastingPlan(), Millis(2500));
        trial.Drain(true);
        trial.Run(Millis(at));
        trial.End(Gone::kKilled, row.second_hears);
        WorldInstance* second = nullptr;
        for (int i = 0; i < 200 && second == nullptr; ++i) {
          trial.Run(Millis(50));
          second = trial.world.Leader();
        }
        BOOST_REQUIRE(second != nullptr);
        trial.Run(Millis(leads));
        for (const auto& [name, instance] : trial.world.instances()) {
          instance->cut_from.clear();
        }
        if (!row.third_hears) {
          CutAllFrom(trial.world, "leaves");
        }
        trial.world.Kill(second->name);
        trial.world.AddWorker("large", 16'000);
        trial.waited = Millis(0);
        trial.Run(kAfterwards);
        const std::string context = "gone at " + std::to_string(at) +
                                    " second leads " + std::to_string(leads) +
                                    (row.second_hears ? " heard" : "") +
                                    (row.third_hears ? " third hears" : "");
        trial.Take(&tally, context);
        longest = std::max(longest, trial.longest_away);
        BOOST_TEST_CONTEXT(context) {
          BOOST_TEST(trial.longest_away.count() <= kBoth.count());
          BOOST_TEST(!RunnerOf(trial.world, kTask).empty());
          if (at >= 900) {
            BOOST_TEST(trial.waited.count() <= kHeardAgain.count());
          }
        }
      }
    }
  }
  BOOST_TEST_MESSAGE("longest away " << longest.count() << " ms");
}

}  // namespace
}  // namespace doorwood
