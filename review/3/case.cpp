// SPDX-License-Identifier: Apache-2.0

// A job of lasting tasks asks for one rack (`sameRack`), and has one task on
// each worker of it. One of these workers is lost for good. Its task is never
// started again, although the next rack is empty.

#include "review/stage/stage.h"

using review::Json;

namespace {

constexpr char kHost[] = "nony24.example";
constexpr char kJob[] = "00000000000000c1";
constexpr int kTasks = 8;
constexpr int kCpu = 6400;
// From the rule: 6 s after its last run, then 3 s; the 3 s and the 4 s before
// them are calm.
constexpr int64_t kAfterRunMs = 6000;
constexpr int64_t kWaitMs = 3000;
constexpr int64_t kCalmBeforeMs = 4000;

std::string TaskName(int index) {
  return std::string(kJob) + ".0.0." + std::to_string(index);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  review::Stage stage(argv[1], argv[2]);
  stage.Put("op/config", review::Config(3, {{"stream-workers", kHost,
                                             "/streams/", 3, 2.2, 2500}}));
  stage.AddWorkers(16, 32000);  // two racks
  stage.AddInstances(3);
  if (!stage.Await(20'000, [&] { return stage.AllReady(); })) {
    stage.Finish(2, "the instances do not become ready");
  }
  const Json step{{"count", kTasks},     {"cpu", kCpu},
                  {"memMb", 13000},      {"estRuntimeMs", 320},
                  {"longRunning", true}, {"antiAffinity", 1},
                  {"sameRack", true}};
  if (!stage.Submit(kHost, std::string("/streams/") + kJob,
                    Json{{"spec", ""}, {"steps", {step}}}.dump(), 15'000)) {
    stage.Finish(2, "the job is not accepted");
  }
  std::map<std::string, int64_t> last_run;
  const auto running = [&] {
    int count = 0;
    for (const auto& worker : stage.workers()) {
      for (const auto& [task, ms] : worker->Running()) {
        last_run[task] = stage.Now();
        ++count;
      }
    }
    return count;
  };
  if (!stage.Await(10'000, [&] { return running() == kTasks; })) {
    stage.Finish(2, "the tasks do not run");
  }
  stage.Await(5000, [&] { return running() < 0; });

  int64_t disrupted = stage.Now();
  if (review::Trouble()) {
    for (const auto& worker : stage.workers()) {
      if (!worker->Running().empty()) {
        stage.Record("a worker is lost for good: " + worker->id() + " of " +
                     worker->rack());
        running();
        worker->Crash();
        disrupted = stage.Now();
        break;
      }
    }
  }
  // For how long a task has been due, and has not run, in calm.
  const auto waited = [&](const std::string& task) {
    const int64_t since =
        std::max(last_run[task] + kAfterRunMs, disrupted + kCalmBeforeMs);
    return stage.Now() - since;
  };
  // Workers that have room for the task twice over.
  const auto roomy = [&] {
    int count = 0;
    for (const auto& worker : stage.workers()) {
      count += worker->up() && worker->Running().empty() ? 1 : 0;
    }
    return count;
  };
  std::string lost;
  stage.Await(35'000, [&] {
    running();
    return false;
  });
  for (int index = 0; index < kTasks; ++index) {
    const std::string task = TaskName(index);
    stage.Record(task + " ran " + std::to_string(stage.Now() - last_run[task]) +
                 " ms ago, " + std::to_string(stage.starts[task]) + " starts");
    if (waited(task) >= kWaitMs) {
      lost = task;
    }
  }
  stage.Record("workers with nothing on them: " + std::to_string(roomy()));
  for (const auto& worker : stage.workers()) {
    stage.Record("  " + worker->id() + " of " + worker->rack() +
                 (worker->up() ? ": " : ", gone: ") +
                 std::to_string(worker->Running().size()) + " tasks");
  }
  for (const review::Instance& instance : stage.instances()) {
    stage.Call(instance, "GET", kHost, std::string("/streams/") + kJob);
  }
  if (!lost.empty() && roomy() >= 2) {
    stage.Finish(1, "LOST: the lasting task " + lost + " has not run for " +
                        std::to_string((stage.Now() - last_run[lost]) / 1000) +
                        " s, although " + std::to_string(roomy()) +
                        " workers are empty");
  }
  stage.Finish(0, "all tasks run");
}
