// SPDX-License-Identifier: Apache-2.0

// Requesters hand in ten jobs that run every ten minutes for a week. Each
// process that leads the cell holds the tasks of all times in memory, is over
// the machine's memory, and ends; so does its successor, and again after each
// restart.

#include "review/stage/stage.h"

using review::Instance;
using review::Json;

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  review::Stage stage(argv[1], argv[2]);
  stage.Put("op/config", review::Config(3, {{"tour-build", "nony24.example",
                                             "/tours/", 2, 2.0, 1000}}));
  stage.AddWorkers(4, 32000);
  stage.AddInstances(3);
  if (!stage.Await(20'000, [&] { return stage.AllReady(); })) {
    stage.Finish(2, "the instances do not become ready");
  }
  stage.WatchProcesses(true);

  // Work that was accepted before: two tasks, and one after them.
  const std::string host = "nony24.example";
  const Json first{
      {"count", 2}, {"cpu", 2000}, {"memMb", 1024}, {"estRuntimeMs", 8000}};
  const Json second{{"count", 1},
                    {"cpu", 2000},
                    {"memMb", 1024},
                    {"estRuntimeMs", 8000},
                    {"dependsOn", {0}}};
  const std::string old_job = "/tours/00000000000000a1";
  if (!stage.Submit(
          host, old_job,
          Json{{"spec", "ms=8000"}, {"steps", {first, second}}}.dump(),
          15'000)) {
    stage.Finish(2, "the first job is not accepted");
  }
  stage.Run(1000);

  // Ten jobs, each every ten minutes for a week, of four steps of 32 tasks of
  // 2.7 s: the width, work and cores of a tour-build of the site, which has up
  // to five steps of up to 32 tasks.
  Json steps = Json::array();
  for (int i = 0; i < 4; ++i) {
    Json step{
        {"count", 32}, {"cpu", 3500}, {"memMb", 6400}, {"estRuntimeMs", 2700}};
    if (i > 0) {
      step["dependsOn"] = {i - 1};
    }
    steps.push_back(step);
  }
  const int64_t start_at =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count() +
      600'000;
  const Json timed{{"spec", "ms=2700"},
                   {"steps", steps},
                   {"maxRuns", review::Trouble() ? 1008 : 8},
                   {"startAtMs", start_at},
                   {"intervalMs", 600'000}};
  int accepted = 0;
  for (int i = 0; i < 10; ++i) {
    const review::Answer answer =
        stage.Call(stage.instances()[i % 3], "POST", host,
                   "/tours/00000000000000b" + std::to_string(i), timed.dump());
    accepted += answer.status / 100 == 2 ? 1 : 0;
    stage.Run(300);
  }
  stage.Record("timed jobs that were accepted: " + std::to_string(accepted) +
               " of 10");

  const auto ended_three_times = [&] {
    int machines = 0;
    for (const Instance& instance : stage.instances()) {
      machines += instance.over_memory + instance.own_ends >= 3 ? 1 : 0;
    }
    return machines >= 2;
  };
  const bool broken = stage.Await(40'000, ended_three_times);

  // finish_s after the last submission, jobs are asked for.
  stage.Run(14'000);
  std::string state;
  stage.Await(4000, [&] {
    for (Instance& instance : stage.instances()) {
      const review::Answer asked = stage.Call(instance, "GET", host, old_job);
      state = asked.status == 200 ? asked.body : state;
    }
    return !state.empty();
  });
  for (const Instance& instance : stage.instances()) {
    stage.Record(instance.name + ": " + std::to_string(instance.over_memory) +
                 " ends over its memory, " + std::to_string(instance.own_ends) +
                 " others, at most " + std::to_string(instance.peak_kb / 1024) +
                 " MB");
  }
  const bool completed = state.find("completed") != std::string::npos;
  stage.Record("the job that was accepted first: " +
               (state.empty() ? "no answer" : state));
  if (broken) {
    stage.Finish(
        1, std::string("Fault: on two of three machines the process "
                       "has ended three times, without any impairment") +
               (state.empty() ? "; LOST: an accepted job gets no answer" : ""));
  }
  if (!completed) {
    stage.Finish(1, "LOST: the first job is not completed or not known");
  }
  stage.Finish(0, "no process ended; the first job is completed");
}
