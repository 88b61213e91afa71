// SPDX-License-Identifier: Apache-2.0

// Jobs are accepted; the operator drops their route; later all instances are
// stopped and started in turn. None of the new processes has seen a
// configuration with the route, so none of them knows the jobs' queue.

#include "review/stage/stage.h"

using review::Instance;
using review::Json;

namespace {

constexpr char kHost[] = "nony24.example";
constexpr char kLater[] = "00000000000000a1";
constexpr char kFailsOnce[] = "00000000000000a2";

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  review::Stage stage(argv[1], argv[2]);
  const review::Route clips{"clip-render", kHost, "/clips/", 3};
  const review::Route tours{"tour-build", kHost, "/tours/", 3};
  stage.Put("op/config", review::Config(3, {clips, tours}));
  stage.AddWorkers(4, 32000);
  stage.AddInstances(3);
  if (!stage.Await(20'000, [&] { return stage.AllReady(); })) {
    stage.Finish(2, "the instances do not become ready");
  }

  // A job of two steps, and one whose task fails once by its own fault: of the
  // three attempts that its queue grants, the second succeeds.
  const auto step = [](int ms) {
    return Json{
        {"count", 2}, {"cpu", 2000}, {"memMb", 1024}, {"estRuntimeMs", ms}};
  };
  Json after = step(32'000);
  after["dependsOn"] = {0};
  const std::string later = std::string("/clips/") + kLater;
  const std::string fails_once = std::string("/clips/") + kFailsOnce;
  Json one = step(32'000);
  one["count"] = 1;
  const bool accepted =
      stage.Submit(
          kHost, later,
          Json{{"spec", "ms=32000"}, {"steps", {step(32'000), after}}}.dump(),
          15'000) &&
      stage.Submit(kHost, fails_once,
                   Json{{"spec", "ms=32000 fails=1"}, {"steps", {one}}}.dump(),
                   15'000);
  if (!accepted ||
      !stage.Await(10'000, [&] { return stage.starts.size() == 3; })) {
    stage.Finish(2, "the jobs are not accepted or do not begin");
  }

  // configApplyMs is 2 s; all machines have the new version long before the
  // first restart.
  stage.Record("the operator drops the route of the jobs");
  stage.Put("op/config", review::Config(7, {tours}));
  stage.Run(4000);
  if (review::Trouble()) {
    for (Instance& instance : stage.instances()) {
      stage.Restart(instance);
      stage.Run(2000);
    }
  }
  const auto runs_of = [&](const std::string& job) {
    int count = 0;
    for (const auto& worker : stage.workers()) {
      for (const auto& [task, ms] : worker->Running()) {
        count += task.starts_with(job) ? 1 : 0;
      }
    }
    return count;
  };
  const auto ended = [&](const std::string& task, const char* how) {
    const auto found = stage.ends.find(task + " " + how);
    return found == stage.ends.end() ? 0 : found->second;
  };
  const std::string name = kLater;
  const std::string failing = std::string(kFailsOnce) + ".0.0.0";
  const auto step_done = [&] {
    return ended(name + ".0.0.0", "done") > 0 &&
           ended(name + ".0.0.1", "done") > 0 && ended(failing, "failed") > 0;
  };
  if (!stage.Await(60'000, step_done)) {
    stage.Finish(2, "the first step does not end");
  }
  stage.Record(
      "the first step of the first job is done, and the run of the "
      "second job has failed once; the turn of the others has come");
  const int64_t turn = stage.Now();
  const bool both_go_on = stage.Await(
      10'000, [&] { return runs_of(kLater) > 0 && runs_of(kFailsOnce) > 0; });
  stage.Record("after " + std::to_string(stage.Now() - turn) +
               " ms run: of the first job " + std::to_string(runs_of(kLater)) +
               ", of the second " + std::to_string(runs_of(kFailsOnce)));
  const bool first_idle = runs_of(kLater) == 0;
  const bool second_idle = runs_of(kFailsOnce) == 0;

  stage.Record("the operator adds the route again");
  stage.Put("op/config", review::Config(12, {clips, tours}));
  stage.Run(3000);
  bool shown_failed = false;
  for (const Instance& instance : stage.instances()) {
    stage.Call(instance, "GET", kHost, later);
    const review::Answer answer =
        stage.Call(instance, "GET", kHost, fails_once);
    shown_failed =
        shown_failed || (answer.status == 200 &&
                         answer.body.find("failed") != std::string::npos);
  }
  stage.Record("ends `failed` of the second job's task: " +
               std::to_string(ended(failing, "failed")) + " of 3 attempts");
  if (shown_failed && ended(failing, "failed") < 3) {
    stage.Finish(1,
                 "LOST: a job is shown as failed without cause, after one "
                 "of three attempts" +
                     std::string(first_idle ? "; another had nothing "
                                              "running for 10 s"
                                            : ""));
  }
  if (!both_go_on && (first_idle || second_idle)) {
    stage.Finish(1,
                 "LOST: an accepted job has nothing running for 10 s while "
                 "its turn has come and the workers are free");
  }
  stage.Finish(0, "both jobs went on");
}
