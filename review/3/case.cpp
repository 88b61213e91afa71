// SPDX-License-Identifier: Apache-2.0

// Workers leave one after the other, as planned and announced, and come back as
// new lives, while jobs of short tasks without checkpoints go on. A run that
// ends `done` shortly before its worker leaves is started again elsewhere.

#include <functional>

#include "review/stage/stage.h"

using review::Json;

namespace {

constexpr char kHost[] = "nony24.example";
constexpr int kWorkers = 16;
constexpr int kSteps = 5;
constexpr int kTasksOfStep = 32;
constexpr int kCpu = 500;
// From the notice to the end: drainMs, and a little longer.
constexpr int64_t kDrainMs = 2000;
constexpr int64_t kLingerMs = 300;
constexpr int64_t kBeatMs = 1500;
// A machine is away for so long between two lives (addrReuseS is 2).
constexpr int64_t kAwayMs = 3000;
constexpr int64_t kLoadMs = 84'000;
// The lease of a run is over by then (maxHoldMs).
constexpr int64_t kSettleMs = 9000;
constexpr int kShortestMs = 2000;
constexpr int kLongestMs = 4000;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  review::Stage stage(argv[1], argv[2]);
  stage.Put("op/config",
            review::Config(3, {{"tour-build", kHost, "/tours/", 2, 2, 1000}}));
  stage.brief_runs = true;
  stage.task_ms = [](const std::string& task) {
    const size_t range = kLongestMs - kShortestMs;
    return kShortestMs +
           static_cast<int64_t>(std::hash<std::string>()(task) % range);
  };
  stage.AddWorkers(kWorkers, 32'000);
  stage.AddInstances(3);
  if (!stage.Await(20'000, [&] { return stage.AllReady(); })) {
    stage.Finish(2, "the instances do not become ready");
  }

  const int enough = kWorkers * 32'000 / kCpu * 9 / 10;
  int submitted = 0;
  int jobs = 0;
  const int64_t began = stage.Now();
  size_t next = 0;
  review::Worker* leaving = nullptr;
  int64_t ends_at = 0;
  int64_t beat_at = 0;
  std::map<review::Worker*, int64_t> back_at;
  // The load has been on for longer than the longest task.
  int64_t notice_at = began + 5000;
  int left = 0;
  while (stage.Now() - began < kLoadMs) {
    const int64_t now = stage.Now();
    if (submitted - static_cast<int>(stage.done.size()) < enough) {
      char id[17];
      snprintf(id, sizeof(id), "%016x", 0xd00000 + jobs++);
      Json steps = Json::array();
      for (int i = 0; i < kSteps; ++i) {
        steps.push_back({{"count", kTasksOfStep},
                         {"cpu", kCpu},
                         {"memMb", 256},
                         {"estRuntimeMs", (kShortestMs + kLongestMs) / 2}});
      }
      const review::Instance& instance = stage.instances()[jobs % 3];
      const review::Answer answer =
          stage.Call(instance, "POST", kHost, std::string("/tours/") + id,
                     Json{{"spec", "uneven"}, {"steps", steps}}.dump());
      submitted += answer.status / 100 == 2 ? kSteps * kTasksOfStep : 0;
    } else {
      stage.Run(5);
    }
    if (!review::Trouble()) {
      continue;
    }
    if (leaving != nullptr && now >= ends_at) {
      leaving->Leave();
      back_at[leaving] = now + kAwayMs;
      leaving = nullptr;
      ++left;
    } else if (leaving != nullptr && now >= beat_at) {
      leaving->Announce(ends_at - now);
      beat_at = now + kBeatMs;
    } else if (leaving == nullptr && now >= notice_at &&
               stage.Now() - began < kLoadMs - 2 * kDrainMs) {
      leaving = stage.workers()[next++ % stage.workers().size()].get();
      ends_at = now + kDrainMs + kLingerMs;
      beat_at = now + kBeatMs;
      leaving->Announce(kDrainMs + kLingerMs);
    }
    for (auto it = back_at.begin(); it != back_at.end();) {
      if (now >= it->second) {
        it->first->Start();
        it = back_at.erase(it);
      } else {
        ++it;
      }
    }
  }
  stage.Run(kSettleMs);
  stage.Record("jobs submitted: " + std::to_string(jobs) +
               ", tasks accepted: " + std::to_string(submitted) +
               ", tasks done: " + std::to_string(stage.done.size()) +
               ", workers that left: " + std::to_string(left));
  if (stage.done.empty()) {
    stage.Finish(2, "nothing ran");
  }
  if (!stage.started_after_done.empty()) {
    stage.Finish(1,
                 "TWICE: " + std::to_string(stage.started_after_done.size()) +
                     " tasks started again after a run of them had ended "
                     "done; workers that left: " +
                     std::to_string(left));
  }
  stage.Finish(0, "no task started again after it was done");
}
