// SPDX-License-Identifier: Apache-2.0

// Complete control cores, connected by fakes and run in virtual time. Most
// cases inject a fault; the invariants are checked on what the workers observe.

#include "doorwood/instance.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fakes/world.h"

namespace doorwood {
namespace {

using fakes::Fault;
using fakes::World;
using fakes::WorldOptions;

constexpr Millis kStartup{4000};
constexpr Millis kTimeout{60000};

// A data centre that is started, configured and ready for jobs.
struct RunningCluster {
  explicit RunningCluster(const WorldOptions& options = {}) : world(options) {
    world.StartAll();
    world.Run(kStartup);
    world.Configure("plaka-1");
  }

  // Submits a job of `count` tasks and requires that it is accepted.
  std::string Submit(int count,
                     const std::string& payload,
                     const std::string& more = "") {
    std::string job = world.Submit("plaka-1", count, payload, more);
    BOOST_REQUIRE_MESSAGE(!job.empty(), world.rejections().back());
    return job;
  }

  // Returns the instance that owns the job's shard, or an empty string.
  std::string OwnerOf(const std::string& job) {
    const uint32_t index = std::stoul(job.substr(job.find('.') + 1));
    for (const char* id : {"plaka-1", "plaka-2"}) {
      if (!world.IsRunning(id)) {
        continue;
      }
      for (const ShardId& shard : world.EntryOf(id).instance->owned_shards()) {
        if (shard.index == index) {
          return id;
        }
      }
    }
    return "";
  }

  static std::string OtherInstance(const std::string& id) {
    return id == "plaka-1" ? "plaka-2" : "plaka-1";
  }

  bool RunUntilSucceeded(const std::string& via, const std::string& job) {
    return world.RunUntil(
        kTimeout, [&]() { return world.JobPhase(via, job) == "succeeded"; });
  }

  // Restarts killed instances, as the platform does.
  void RestartKilledInstances() {
    for (const char* id : {"plaka-1", "plaka-2"}) {
      if (!world.IsRunning(id)) {
        world.Start(id);
      }
    }
    world.Run(kStartup);
  }

  void CheckInvariants() {
    for (const std::string& violation : world.violations()) {
      BOOST_ERROR(violation);
    }
  }

  World world;
};

BOOST_AUTO_TEST_SUITE(instance_cluster)

BOOST_AUTO_TEST_CASE(Job_NoFaults_RunsEachTaskOnce) {
  RunningCluster cluster;
  const std::string job = cluster.Submit(5, "run-ms=1000");
  BOOST_TEST(cluster.RunUntilSucceeded("plaka-2", job));
  for (int n = 0; n < 5; ++n) {
    const std::string task = "task-" + std::to_string(n);
    BOOST_TEST(cluster.world.StartCount(task) == 1);
    BOOST_TEST(cluster.world.SuccessCount(task) == 1);
  }
  cluster.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(ServiceTask_NoFaults_StartsWithin2400Ms) {
  RunningCluster cluster;
  const Instant submitted = cluster.world.time().now();
  const std::string job =
      cluster.Submit(1, "run-ms=100", "    class: service\n");
  BOOST_TEST(cluster.world.RunUntil(
      kTimeout, [&]() { return cluster.world.StartCount("task") == 1; }));
  BOOST_TEST((cluster.world.time().now() - submitted <= Millis(2400)));
}

// A fault that is injected while a job of long tasks runs. The job must still
// end, and the invariants must hold.
struct FaultCase {
  const char* name;
  std::function<void(RunningCluster&, const std::string& job)> inject;
  // True if each task must start exactly once when only this fault occurs.
  bool started_once = false;
};

void KillOwner(RunningCluster& cluster, const std::string& job) {
  cluster.world.Kill(cluster.OwnerOf(job));
}

void KillOther(RunningCluster& cluster, const std::string& job) {
  const std::string other = RunningCluster::OtherInstance(cluster.OwnerOf(job));
  // An earlier fault may already have killed this instance.
  if (cluster.world.IsRunning(other)) {
    cluster.world.Kill(other);
  }
}

void RestartOwner(RunningCluster& cluster, const std::string& job) {
  const std::string owner = cluster.OwnerOf(job);
  cluster.world.Kill(owner);
  cluster.world.Run(Millis(300));
  cluster.world.Start(owner);
}

void FreezeOwnerPastControlLease(RunningCluster& cluster,
                                 const std::string& job) {
  const std::string owner = cluster.OwnerOf(job);
  cluster.world.Freeze(owner);
  cluster.world.Run(Millis(9000));
  cluster.world.Thaw(owner);
}

void FreezeOtherPastControlLease(RunningCluster& cluster,
                                 const std::string& job) {
  const std::string other = RunningCluster::OtherInstance(cluster.OwnerOf(job));
  if (!cluster.world.IsRunning(other)) {
    return;
  }
  cluster.world.Freeze(other);
  cluster.world.Run(Millis(9000));
  cluster.world.Thaw(other);
}

void StoreDownPastLeases(RunningCluster& cluster, const std::string&) {
  cluster.world.SetKvFault(Fault::kRefused);
  cluster.world.Run(Millis(20000));
  cluster.world.SetKvFault(Fault::kNone);
}

void StoreLosesAnswers(RunningCluster& cluster, const std::string&) {
  cluster.world.SetKvFault(Fault::kAnswerLost);
  cluster.world.Run(Millis(5000));
  cluster.world.SetKvFault(Fault::kNone);
}

void StoreDelaysWrites(RunningCluster& cluster, const std::string&) {
  cluster.world.SetKvFault(Fault::kDelayed);
  cluster.world.Run(Millis(3000));
  cluster.world.SetKvFault(Fault::kNone);
}

void PeersPartitioned(RunningCluster& cluster, const std::string&) {
  cluster.world.network().SetPartitioned("peer:plaka-1", "peer:plaka-2", true);
  cluster.world.Run(Millis(8000));
  cluster.world.network().SetPartitioned("peer:plaka-1", "peer:plaka-2", false);
}

void RepliesLost(RunningCluster& cluster, const std::string&) {
  cluster.world.network().DropReplies(6);
}

void WorkerUnreachablePastLeases(RunningCluster& cluster, const std::string&) {
  cluster.world.SetWorkerFault("plaka-w1", Fault::kRefused);
  cluster.world.Run(Millis(14000));
  cluster.world.SetWorkerFault("plaka-w1", Fault::kNone);
}

void WorkerAnswersLost(RunningCluster& cluster, const std::string&) {
  cluster.world.SetWorkerFault("plaka-w1", Fault::kAnswerLost);
  cluster.world.Run(Millis(2000));
  cluster.world.SetWorkerFault("plaka-w1", Fault::kNone);
}

void WorkerOrdersLate(RunningCluster& cluster, const std::string&) {
  cluster.world.SetWorkerFault("plaka-w1", Fault::kDelayed);
  cluster.world.Run(Millis(2000));
  cluster.world.SetWorkerFault("plaka-w1", Fault::kNone);
}

void WorkerRestarts(RunningCluster& cluster, const std::string&) {
  cluster.world.worker("plaka-w1").Restart(cluster.world.time().now_ms());
}

void WorkerLeaves(RunningCluster& cluster, const std::string&) {
  cluster.world.MarkLeaving("plaka-w1");
}

void OwnerLeaves(RunningCluster& cluster, const std::string& job) {
  World::Entry& entry = cluster.world.EntryOf(cluster.OwnerOf(job));
  Instance* instance = entry.instance.get();
  entry.executor->Post(
      [instance]() { instance->BeginShutdown(Millis(5000), []() {}); });
}

const std::vector<FaultCase>& FaultCases() {
  static const std::vector<FaultCase> rows = {
      {"kill_owner", KillOwner, true},
      {"kill_other", KillOther, true},
      {"restart_owner", RestartOwner, true},
      {"freeze_owner", FreezeOwnerPastControlLease, true},
      {"freeze_other", FreezeOtherPastControlLease, true},
      {"store_down", StoreDownPastLeases, true},
      {"store_loses_answers", StoreLosesAnswers, true},
      {"store_delays_writes", StoreDelaysWrites, true},
      {"peers_cut", PeersPartitioned},
      {"replies_lost", RepliesLost},
      {"worker_unreachable", WorkerUnreachablePastLeases},
      {"worker_answers_lost", WorkerAnswersLost, true},
      {"worker_orders_late", WorkerOrdersLate},
      {"worker_restarts", WorkerRestarts},
      {"worker_leaves", WorkerLeaves},
      {"owner_leaves", OwnerLeaves, true},
  };
  return rows;
}

// Runs a job of five tasks and injects one fault or more, the first after the
// job has run for `before`.
void RunWithFaults(const std::vector<const FaultCase*>& faults, Millis before) {
  RunningCluster cluster;
  const std::string job = cluster.Submit(5, "run-ms=15000");
  cluster.world.Run(before);
  for (const FaultCase* fault : faults) {
    // The faults of the shard's owner can be injected only once there is an
    // owner.
    cluster.world.RunUntil(kTimeout,
                           [&]() { return !cluster.OwnerOf(job).empty(); });
    fault->inject(cluster, job);
  }
  if (faults.size() > 1) {
    cluster.RestartKilledInstances();
  }
  const std::string via =
      cluster.world.IsRunning("plaka-1") ? "plaka-1" : "plaka-2";
  BOOST_TEST(cluster.RunUntilSucceeded(via, job), "the job does not succeed");
  for (int n = 0; n < 5; ++n) {
    const std::string task = "task-" + std::to_string(n);
    BOOST_TEST(cluster.world.SuccessCount(task) == 1);
    if (faults.size() == 1 && faults.front()->started_once) {
      BOOST_TEST(cluster.world.StartCount(task) == 1);
    }
  }
  cluster.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(Job_OneFault_SucceedsAndKeepsInvariants) {
  for (const FaultCase& row : FaultCases()) {
    for (const Millis before : {Millis(0), Millis(30), Millis(2000)}) {
      BOOST_TEST_CONTEXT(row.name << " after " << before.count() << " ms") {
        RunWithFaults({&row}, before);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Job_EachPairOfFaults_SucceedsAndKeepsInvariants) {
  for (const FaultCase& first : FaultCases()) {
    for (const FaultCase& second : FaultCases()) {
      BOOST_TEST_CONTEXT(first.name << " then " << second.name) {
        RunWithFaults({&first, &second}, Millis(2000));
      }
    }
  }
}

// --- Eviction, checkpoint, resume ---

// One worker that is fully used by batch tasks when a service task needs
// capacity on it.
struct EvictingCluster : RunningCluster {
  EvictingCluster() : RunningCluster({.workers = 1}) {
    batch = Submit(4, "run-ms=6000");
    world.Run(Millis(2000));
    Submit(1, "run-ms=1000", "    class: service\n");
  }

  int CountEvictions() const {
    int count = 0;
    for (const auto& event : world.events()) {
      const bool evicted = event.kind == standin::WorkerEventKind::kEnd &&
                           event.end == AttemptEnd::kStopped;
      count += evicted ? 1 : 0;
    }
    return count;
  }

  // Checks that each start after an eviction resumes from the checkpoint of
  // that eviction.
  void CheckResumes() {
    std::map<TaskId, std::string> checkpoints;
    for (const auto& event : world.events()) {
      const bool evicted = event.kind == standin::WorkerEventKind::kEnd &&
                           event.end == AttemptEnd::kStopped;
      if (evicted) {
        checkpoints[event.task] = event.checkpoint;
      }
      const bool resumed = event.kind == standin::WorkerEventKind::kStart &&
                           checkpoints.contains(event.task);
      if (resumed) {
        BOOST_TEST("done-ms-" + std::to_string(event.resumed_ms) ==
                   checkpoints[event.task]);
      }
    }
  }

  std::string batch;
};

BOOST_AUTO_TEST_CASE(ServiceTask_FullWorker_EvictsOneTaskThatResumes) {
  EvictingCluster cluster;
  BOOST_TEST(cluster.RunUntilSucceeded("plaka-1", cluster.batch));
  BOOST_TEST(cluster.CountEvictions() == 1);
  cluster.CheckResumes();
  cluster.CheckInvariants();
}

// Injects a fault after every second step of virtual time around the eviction,
// each time in a new cluster.
void InjectAtEverySecondStep(
    const std::function<void(EvictingCluster&)>& inject) {
  constexpr int kSteps = 240;
  for (int steps = 0; steps < kSteps; steps += 2) {
    EvictingCluster cluster;
    for (int n = 0; n < steps; ++n) {
      cluster.world.time().Step(cluster.world.time().now() + kTimeout);
    }
    inject(cluster);
    cluster.RestartKilledInstances();
    BOOST_TEST_CONTEXT("after " << steps << " steps") {
      BOOST_TEST(cluster.RunUntilSucceeded("plaka-1", cluster.batch));
      for (int n = 0; n < 4; ++n) {
        const std::string task = "task-" + std::to_string(n);
        BOOST_TEST(cluster.world.SuccessCount(task) == 1);
      }
      cluster.CheckResumes();
      cluster.CheckInvariants();
    }
  }
}

BOOST_AUTO_TEST_CASE(EvictedTask_OwnerKilledAtEverySecondStep_Resumes) {
  InjectAtEverySecondStep([](EvictingCluster& cluster) {
    const std::string owner = cluster.OwnerOf(cluster.batch);
    if (!owner.empty()) {
      cluster.world.Kill(owner);
    }
  });
}

BOOST_AUTO_TEST_CASE(EvictedTask_HolderKilledAtEverySecondStep_Resumes) {
  InjectAtEverySecondStep([](EvictingCluster& cluster) {
    cluster.world.Kill(cluster.world.LeaseHolderOf("plaka-w1"));
  });
}

BOOST_AUTO_TEST_CASE(EvictedTask_BothInstancesKilledAtEverySecondStep_Resumes) {
  InjectAtEverySecondStep([](EvictingCluster& cluster) {
    cluster.world.Kill("plaka-1");
    cluster.world.Kill("plaka-2");
  });
}

// --- Tasks that must not be repeated ---

constexpr const char* kNotRepeatable = "    repeatable: false\n";

BOOST_AUTO_TEST_CASE(UnrepeatableTask_OneFault_StartsAtMostOnce) {
  for (const FaultCase& row : FaultCases()) {
    for (const Millis before : {Millis(0), Millis(5), Millis(24), Millis(30),
                                Millis(60), Millis(2000)}) {
      BOOST_TEST_CONTEXT(row.name << " after " << before.count() << " ms") {
        RunningCluster cluster;
        const std::string job =
            cluster.Submit(5, "run-ms=15000", kNotRepeatable);
        cluster.world.Run(before);
        row.inject(cluster, job);
        cluster.RestartKilledInstances();
        const bool ended = cluster.world.RunUntil(kTimeout, [&]() {
          const std::string phase = cluster.world.JobPhase("plaka-1", job);
          return phase == "succeeded" || phase == "failed";
        });
        BOOST_TEST(ended, "no end of the job is reported");
        for (int n = 0; n < 5; ++n) {
          const std::string task = "task-" + std::to_string(n);
          BOOST_TEST(cluster.world.StartCount(task) <= 1);
        }
        cluster.CheckInvariants();
      }
    }
  }
}

// --- Lost answers of the store ---

BOOST_AUTO_TEST_CASE(Submit_RepeatedAfterStoreFault_RunsTaskOnce) {
  for (const Fault fault : {Fault::kAnswerLost, Fault::kRequestLost,
                            Fault::kDelayed, Fault::kRefused}) {
    BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault)) {
      RunningCluster cluster;
      const Json body{{"token", "same"},
                      {"manifest",
                       "member: museum\ntasks: [{name: task, size: "
                       "{cpu_millis: 1000}, payload: run-ms=500}]"}};
      cluster.world.SetKvFault(fault);
      const auto first =
          cluster.world.CallOperatorMethod("plaka-1", "submit", body);
      BOOST_TEST(first.status != 200);
      const std::string outcome = Json::parse(first.body).at("outcome");
      BOOST_TEST(outcome ==
                 (fault == Fault::kRefused ? "not-done" : "unknown"));
      cluster.world.SetKvFault(Fault::kNone);
      cluster.world.Run(Millis(12000));
      if (fault == Fault::kRefused) {
        BOOST_TEST(cluster.world.StartCount("task") == 0);
      }
      const auto again =
          cluster.world.CallOperatorMethod("plaka-2", "submit", body);
      BOOST_REQUIRE(again.status == 200);
      const std::string job = Json::parse(again.body).at("id");
      BOOST_TEST(cluster.RunUntilSucceeded("plaka-1", job));
      BOOST_TEST(cluster.world.StartCount("task") == 1);
    }
  }
}

// --- Placements that arrive late ---

BOOST_AUTO_TEST_CASE(Job_PlacementsArriveLate_EndsAndKeepsInvariants) {
  for (const char* more : {"", kNotRepeatable}) {
    RunningCluster cluster;
    cluster.world.network().DelayPlacements(5);
    const std::string job = cluster.Submit(5, "run-ms=20000", more);
    BOOST_TEST(cluster.world.RunUntil(kTimeout, [&]() {
      const std::string phase = cluster.world.JobPhase("plaka-1", job);
      return phase == "succeeded" || phase == "failed";
    }));
    cluster.CheckInvariants();
  }
}

// --- Cancellation ---

BOOST_AUTO_TEST_CASE(Cancel_QueuedAndRunningTasks_EndsJobAndFreesCapacity) {
  RunningCluster cluster({.workers = 1});
  const std::string job = cluster.Submit(10, "run-ms=60000");
  cluster.world.Run(Millis(1000));
  const auto reply =
      cluster.world.CallOperatorMethod("plaka-2", "job.cancel", {{"id", job}});
  BOOST_TEST(reply.status == 200);
  BOOST_TEST(cluster.world.RunUntil(Millis(10000), [&]() {
    return cluster.world.JobPhase("plaka-1", job) == "cancelled";
  }));
  // The running tasks were stopped, and no queued task has started since: all
  // capacity is free.
  BOOST_TEST(
      cluster.world.EntryOf("plaka-1").instance->holder().free().cpu_millis +
          cluster.world.EntryOf("plaka-2")
              .instance->holder()
              .free()
              .cpu_millis ==
      4000);
}

// Guards against "no such job" about one that a batch in flight accepts.
BOOST_AUTO_TEST_CASE(Cancel_SubmissionBeingRecorded_IsNotDenied) {
  constexpr int kNotFound = 404;
  constexpr char kToken[] = "in-doubt";
  for (const Fault fault : {Fault::kAnswerLost, Fault::kDelayed}) {
    RunningCluster cluster;
    const std::string first = cluster.Submit(1, "run-ms=100");
    const std::string job = first.substr(0, first.rfind('.') + 1) + kToken;
    cluster.world.SetKvFault(fault);
    const std::string manifest =
        "member: museum\ntasks:\n  - name: late\n    payload: run-ms=60000\n"
        "    size: {cpu_millis: 1000}\n";
    cluster.world.CallOperatorMethod(
        "plaka-1", "submit", {{"manifest", manifest}, {"token", kToken}});
    const auto denied = cluster.world.CallOperatorMethod(
        "plaka-1", "job.cancel", {{"id", job}});
    BOOST_TEST(denied.status != kNotFound);
    cluster.world.SetKvFault(Fault::kNone);
    BOOST_TEST(cluster.world.RunUntil(kTimeout, [&]() {
      return cluster.world
                 .CallOperatorMethod("plaka-1", "job.cancel", {{"id", job}})
                 .status == 200;
    }));
    BOOST_TEST(cluster.world.RunUntil(kTimeout, [&]() {
      return cluster.world.JobPhase("plaka-1", job) == "cancelled";
    }));
  }
}

BOOST_AUTO_TEST_CASE(Cancel_UnknownJob_IsDenied) {
  RunningCluster cluster;
  const std::string first = cluster.Submit(1, "run-ms=100");
  const std::string job = first.substr(0, first.rfind('.') + 1) + "never";
  const auto reply =
      cluster.world.CallOperatorMethod("plaka-1", "job.cancel", {{"id", job}});
  BOOST_TEST(reply.status == 404);
}

// --- Jobs that can never run ---

BOOST_AUTO_TEST_CASE(Job_LargerThanAnyWorker_IsReportedAndBlocksNoOther) {
  RunningCluster cluster;
  const std::string manifest =
      "member: museum\ntasks:\n  - name: giant\n    size: {cpu_millis: "
      "64000}\n";
  const auto reply = cluster.world.CallOperatorMethod("plaka-1", "submit",
                                                      {{"manifest", manifest}});
  const std::string giant = Json::parse(reply.body).at("id");
  cluster.world.Run(Millis(2000));
  const Json task = cluster.world.JobStatus("plaka-1", giant).at("tasks").at(0);
  BOOST_TEST(task.at("reason").get<std::string>().starts_with("never: "));
  const std::string job = cluster.Submit(2, "run-ms=500");
  BOOST_TEST(cluster.RunUntilSucceeded("plaka-1", job));
}

BOOST_AUTO_TEST_CASE(Job_TaskAlwaysFails_FailsAfterThreeStarts) {
  RunningCluster cluster;
  const std::string job = cluster.Submit(1, "fail");
  BOOST_TEST(cluster.world.RunUntil(kTimeout, [&]() {
    return cluster.world.JobPhase("plaka-1", job) == "failed";
  }));
  BOOST_TEST(cluster.world.StartCount("task") == 3);
}

// --- Workers that do not refuse older epochs ---

BOOST_AUTO_TEST_CASE(
    Job_HolderKilledAndNoEpochCheck_SucceedsAndKeepsInvariants) {
  RunningCluster cluster({.workers = 1, .workers_check_epoch = false});
  const std::string job = cluster.Submit(3, "run-ms=9000");
  cluster.world.Run(Millis(4000));
  cluster.world.Kill(cluster.world.LeaseHolderOf("plaka-w1"));
  cluster.RestartKilledInstances();
  BOOST_TEST(cluster.RunUntilSucceeded("plaka-1", job));
  cluster.CheckInvariants();
}

// --- Planned shutdown ---

BOOST_AUTO_TEST_CASE(LeavingWorker_JobSubmitted_GetsNoTask) {
  RunningCluster cluster;
  cluster.world.MarkLeaving("plaka-w1");
  cluster.world.Run(Millis(2000));
  const size_t before = cluster.world.events().size();
  const std::string job = cluster.Submit(8, "run-ms=500");
  BOOST_TEST(cluster.RunUntilSucceeded("plaka-1", job));
  for (size_t n = before; n < cluster.world.events().size(); ++n) {
    const auto& event = cluster.world.events()[n];
    const bool started = event.kind == standin::WorkerEventKind::kStart;
    BOOST_TEST(!(started && event.worker == "plaka-w1"));
  }
}

BOOST_AUTO_TEST_CASE(BeginShutdown_JobRunning_HandsOverBeforeDone) {
  RunningCluster cluster;
  const std::string job = cluster.Submit(5, "run-ms=8000");
  cluster.world.Run(Millis(500));
  Instance* instance = cluster.world.EntryOf("plaka-1").instance.get();
  bool done = false;
  cluster.world.EntryOf("plaka-1").executor->Post([instance, &done]() {
    instance->BeginShutdown(Millis(10000), [&done]() { done = true; });
  });
  BOOST_TEST(cluster.world.RunUntil(Millis(5000), [&]() { return done; }));
  BOOST_TEST(instance->holder().DescribeHeldWorkers().empty());
  BOOST_TEST(instance->owned_shards().empty());
  cluster.world.Kill("plaka-1");
  BOOST_TEST(cluster.RunUntilSucceeded("plaka-2", job));
  BOOST_TEST(cluster.world.StartCount("task-0") == 1);
  cluster.CheckInvariants();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
