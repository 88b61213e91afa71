// SPDX-License-Identifier: Apache-2.0

// Other programs write entries among those of the workers and among this
// system's own keys. Such entries must not be used as workers, make other
// entries invalid, or cause a run to be lost.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>

#include "doorwood/cell_leader.h"
#include "fakes/mutator.h"
#include "libdoorwood/cell/cell_fixture.h"
#include "libdoorwood/cell/cell_world_util.h"

namespace doorwood {
namespace {

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kOtherJob[] = "00112233aabbccde";
constexpr char kTask[] = "00112233aabbccdd.0.0.0";

struct ForeignEntriesFixture : public fakes::CellFixture {
  ForeignEntriesFixture()
      : CellFixture(29, {{"a1", "plaka"}, {"b1", "kerameikos"}}) {}

  std::string WorkerOfTask() { return fakes::WorkerRunning(world, kTask); }
  fakes::WorldWorker& StartLongRunningTask() {
    JobPlan plan = fakes::MakePlan(kJob, 1, 1, "");
    plan.steps[0].long_running = true;
    world.Submit(plan);
    world.Run(Millis(500));
    original_worker = WorkerOfTask();
    BOOST_REQUIRE(!original_worker.empty());
    return *world.workers().at(original_worker);
  }
  // Submits a job whose tasks need 4 of a worker's 8 CPUs each.
  void SubmitLargeTasks() {
    JobPlan plan = fakes::MakePlan(kOtherJob, 1, 6, "ms=200");
    plan.steps[0].size.cpu_millis = 4000;
    BOOST_TEST(world.Submit(plan));
  }
  void ExpectRunNotMoved() {
    BOOST_TEST(WorkerOfTask() == original_worker);
    BOOST_TEST(world.starts(kTask) == 1);
  }
  void PutRecord(const std::string& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.puts.push_back({key, value, 0});
    StoreCommit ignored;
    BOOST_TEST(!world.store().Commit(transaction, &ignored));
  }

  std::string original_worker;
};

struct EntryChange {
  const char* name;
  std::function<void(WorkerIncarnation*)> change;
};

const EntryChange entry_changes[] = {
    {"another address",
     [](WorkerIncarnation* incarnation) {
       incarnation->address = "10.0.0.9:1";
     }},
    {"another service",
     [](WorkerIncarnation* incarnation) { incarnation->service = "other"; }},
    {"another data centre",
     [](WorkerIncarnation* incarnation) {
       incarnation->data_centre = "elsewhere";
     }},
    {"another machine",
     [](WorkerIncarnation* incarnation) { incarnation->machine = "m-9"; }},
    {"unreadable", [](WorkerIncarnation* incarnation) {
       WorkerIncarnation unreadable;
       unreadable.id = incarnation->id;
       unreadable.is_valid = false;
       *incarnation = unreadable;
     }}};

BOOST_AUTO_TEST_CASE(Worker_EntryOverwritten_RunContinuesAndNothingNewStarts) {
  for (const EntryChange& row : entry_changes) {
    BOOST_TEST_INFO_SCOPE(row.name);
    ForeignEntriesFixture fixture;
    fakes::WorldWorker& worker = fixture.StartLongRunningTask();
    worker.incarnation.machine = "m-1";
    fixture.world.Run(Millis(3000));
    const WorkerIncarnation original_entry = worker.incarnation;
    row.change(&worker.incarnation);
    fixture.world.Run(Millis(3000));
    fixture.ExpectRunNotMoved();
    fixture.SubmitLargeTasks();
    const int before = worker.runs_started;
    fixture.world.Run(Millis(6000));
    fixture.ExpectRunNotMoved();
    BOOST_TEST(worker.runs_started == before, row.name);
    // The worker rewrites its entry.
    worker.incarnation = original_entry;
    fixture.world.Run(Millis(3000));
    JobPlan wide = fakes::MakePlan("00112233aabbccdf", 1, 20, "ms=500");
    BOOST_TEST(fixture.world.Submit(wide));
    fixture.world.Run(Millis(1500));
    BOOST_TEST(worker.runs_started > before, row.name);
    fixture.ExpectRunNotMoved();
  }
}

BOOST_AUTO_TEST_CASE(Worker_EntryOverwrittenAtTakeover_RunContinues) {
  for (const EntryChange& row : entry_changes) {
    BOOST_TEST_INFO_SCOPE(row.name);
    ForeignEntriesFixture fixture;
    fakes::WorldWorker& worker = fixture.StartLongRunningTask();
    row.change(&worker.incarnation);
    fixture.world.Kill(fixture.world.Leader()->name);
    BOOST_REQUIRE(fixture.world.WaitForLeader() != nullptr);
    fixture.world.Run(Millis(8000));
    BOOST_TEST(fixture.WorkerOfTask() == fixture.original_worker, row.name);
    fixture.ExpectRunNotMoved();
  }
}

BOOST_FIXTURE_TEST_CASE(Worker_EntryOverwrittenAndItCrashes_TaskRunsElsewhere,
                        ForeignEntriesFixture) {
  fakes::WorldWorker& worker = StartLongRunningTask();
  world.foreign_entries().push_back(worker.incarnation);
  world.foreign_entries().back().address = "10.0.0.9:1";
  worker.listed = false;
  world.Run(Millis(2000));
  world.CrashWorker(original_worker);
  world.Run(Millis(8000));
  BOOST_TEST(!WorkerOfTask().empty());
  BOOST_TEST(WorkerOfTask() != original_worker);
}

BOOST_FIXTURE_TEST_CASE(Worker_ServiceThatNoQueueNames_IsNotCalled,
                        ForeignEntriesFixture) {
  fakes::WorldWorker& other = world.AddWorker("w9", 8000);
  other.incarnation.service = "unnamed";
  world.Run(Millis(3000));
  BOOST_TEST(other.calls_received == 0);
  // Once a queue names its service, it is used like the other workers.
  Queue queue = fakes::MakeQueue("late", 3);
  queue.service = "unnamed";
  world.SetTable({fakes::MakeQueue("queue", 3), queue});
  world.Run(Millis(3000));
  BOOST_TEST(other.calls_received > 0);
}

// Entries at whose address another incarnation answers: copies of a worker's
// entry under other ids. In 10 s there are at most two calls a copy on average.
BOOST_FIXTURE_TEST_CASE(Workers_CopiesOfAnEntry_AreCalledAtMostTwiceOnAverage,
                        ForeignEntriesFixture) {
  constexpr int kCopies = 20;
  for (int n = 0; n < kCopies; ++n) {
    WorkerIncarnation copy = world.workers().at("w1")->incarnation;
    copy.id = "copy-" + std::to_string(n);
    world.foreign_entries().push_back(copy);
  }
  world.Run(Millis(10000));
  BOOST_TEST(
      world.log_count(
          "removed a worker that is dead or has no valid directory entry") <=
      kCopies);
  BOOST_TEST(world.misdirected_calls() <= 2 * kCopies);
  SubmitLargeTasks();
  world.Run(Millis(3000));
  BOOST_TEST((world.StateOf(kOtherJob) == JobPhase::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(Workers_ThousandForeignEntries_OthersContinue,
                        ForeignEntriesFixture) {
  constexpr int kEntries = 1000;
  for (int n = 0; n < kEntries; ++n) {
    WorkerIncarnation incarnation;
    incarnation.id = "x" + std::to_string(n);
    incarnation.is_valid = n % 2 != 0;
    incarnation.address = "10.0.0.9:1";
    incarnation.data_centre = "plaka";
    incarnation.service = "unnamed";
    world.foreign_entries().push_back(incarnation);
  }
  StartLongRunningTask();
  SubmitLargeTasks();
  world.Run(Millis(10000));
  BOOST_TEST((world.StateOf(kOtherJob) == JobPhase::kCompleted));
  ExpectRunNotMoved();
  BOOST_TEST(world.misdirected_calls() == 0);
  BOOST_TEST(world.log_count("rejected a directory entry") <= 256);
  BOOST_TEST(world.log_count("rejected a directory entry") > 0);
  BOOST_TEST(world.log_count(
                 "further rejected directory entries are not logged") <= 1);
}

// --- This system's own keys ---

constexpr const char* kMalformedValues[] = {
    "",
    "null",
    "[]",
    "7",
    "\"x\"",
    R"({"address":5})",
    "\xff",
    R"({"nonce":-1})",
    R"({"leaving":"x","address":"y"})",
    "[[1]]",
    R"({"cpu_share":"x","data_centre":1})"};

BOOST_FIXTURE_TEST_CASE(LiveKeys_OfAnotherProgram_DoNotStopTheInstances,
                        ForeignEntriesFixture) {
  int n = 0;
  for (const char* value : kMalformedValues) {
    const std::string name = "odd" + std::to_string(n++);
    PutRecord(InstanceKey(name), value);
    PutRecord(LeadKey(name), value);
    PutRecord(std::string(kLivePrefix) + name, value);
  }
  PutRecord(std::string(kLivePrefix), "x");
  PutRecord(InstanceKey(""), R"({"address":"y","data_centre":"plaka"})");
  PutRecord(InstanceKey("a b\r\n"), R"({"address":"y"})");
  PutRecord(InstanceKey("far"), R"({"address":"y\r\nX: z"})");
  BOOST_CHECK_NO_THROW(world.Run(Millis(3000)));
  BOOST_REQUIRE(world.Leader() != nullptr);
  for (const auto& [name, instance] : world.instances()) {
    BOOST_TEST(instance->live->instances().size() == 2U, name);
    BOOST_TEST(instance->live->leads().size() == 1U, name);
  }
  world.Kill(world.Leader()->name);
  BOOST_REQUIRE(world.WaitForLeader() != nullptr);
  world.Run(Millis(1000));
  SubmitLargeTasks();
  world.Run(Millis(3000));
  BOOST_TEST((world.StateOf(kOtherJob) == JobPhase::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(LiveKeys_ChangedAtRandom_DoNotStopTheInstances,
                        ForeignEntriesFixture) {
  constexpr uint64_t kSeed = 20261203;
  constexpr int kKeys = 2000;
  const std::string instance =
      R"({"data_centre":"plaka","address":"10.0.0.9:1","cpu_share":0.001,)"
      R"("leaving":false})";
  const std::string lead =
      R"({"instance":"a9","address":"10.0.0.9:1","nonce":7})";
  fakes::Mutator mutator(kSeed);
  for (int n = 0; n < kKeys; ++n) {
    const std::string name = "x" + std::to_string(n);
    PutRecord(InstanceKey(name), mutator.Mutate(instance));
    PutRecord(LeadKey(name), mutator.Mutate(lead));
  }
  BOOST_CHECK_NO_THROW(world.Run(Millis(3000)));
  BOOST_REQUIRE(world.Leader() != nullptr);
  for (const auto& [name, known] : world.instances()) {
    BOOST_TEST(known->live->instances().contains("a1"), name);
    BOOST_TEST(known->live->instances().contains("b1"), name);
    BOOST_TEST(known->live->leads().contains("all"), name);
  }
  SubmitLargeTasks();
  world.Run(Millis(3000));
  BOOST_TEST((world.StateOf(kOtherJob) == JobPhase::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(OwnInstanceKey_Overwritten_IsWrittenAgain,
                        ForeignEntriesFixture) {
  PutRecord(InstanceKey("a1"), "[]");
  BOOST_CHECK_NO_THROW(world.Run(Millis(2000)));
  for (const auto& [name, instance] : world.instances()) {
    BOOST_TEST(instance->live->instances().contains("a1"), name);
  }
}

BOOST_AUTO_TEST_CASE(DecodeWorkers_MalformedRows_OthersAreValid) {
  const auto known = DecodeWorkers(
      R"([["w1","a:1",0],5,null,[],["w2"],[1,2],["w3","a:3","x"],)"
      R"(["w4","a:4",-1],["","a:5"],["w6","a 6"],["w7","a:7",1e300],)"
      R"({"a":1},["w8","a:8"],["w9","a:9",700]])");
  BOOST_REQUIRE(known.size() == 3U);
  BOOST_TEST(known[0].id == "w1");
  BOOST_TEST(known[1].id == "w8");
  BOOST_TEST(known[2].id == "w9");
  BOOST_TEST(known[2].deductible_wait.count() == 700);
  for (const char* text : {"", "{}", "7", "\xff", R"({"a":[["w","x"]]})"}) {
    BOOST_TEST(DecodeWorkers(text).empty(), text);
  }
}

BOOST_AUTO_TEST_CASE(DecodeSequence_Malformed_IsZero) {
  BOOST_TEST(DecodeSequence(R"({"sequence":17})") == 17U);
  for (const char* text :
       {"", "[]", "7", R"({"sequence":"17"})", R"({"sequence":-1})",
        R"({"sequence":1.5})", R"({"sequence":null})", R"({"sequence":{}})"}) {
    BOOST_TEST(DecodeSequence(text) == 0U, text);
  }
}

}  // namespace
}  // namespace doorwood
