// SPDX-License-Identifier: Apache-2.0

#include <chrono>
#include <deque>
#include <iostream>
#include <random>

#include "bench/bench.h"
#include "doorwood/json_codec.h"
#include "doorwood/placement.h"

namespace doorwood::bench {
namespace {

constexpr int kMaxDecisions = 20000;
constexpr double kMaxSeconds = 4;
constexpr Resources kCapacity{32000, 125 * 1024, 2};
constexpr int kTasksPerWorker = 14;

// A random fleet with as many running tasks per worker as docs/CAPACITY.md
// assumes.
class Fleet {
 public:
  explicit Fleet(int workers) : random_(1) {
    for (int n = 0; n < workers; ++n) {
      InstanceInfo info;
      info.id = "w" + std::to_string(n);
      info.labels = {{"rack", "r" + std::to_string(n / 8)},
                     {"hall", n % 2 == 0 ? "east" : "west"}};
      infos_.push_back(info);
    }
    for (int n = 0; n < workers; ++n) {
      residents_.emplace_back();
      Resources used;
      for (int t = 0; t < kTasksPerWorker; ++t) {
        specs_.push_back(RandomSpec());
        const AttemptKey key{{"plaka", 0},
                             {1, static_cast<uint64_t>(specs_.size())}};
        residents_.back().push_back({key, &specs_.back()});
        used = used + specs_.back().size;
      }
      views_.push_back({.info = &infos_[n],
                        .capacity = kCapacity,
                        .free = kCapacity - used,
                        .residents = residents_.back()});
    }
  }

  TaskSpec RandomSpec() {
    TaskSpec spec;
    const bool service = random_() % 8 == 0;
    spec.work_class = service ? WorkClass::kService : WorkClass::kBatch;
    spec.size = {static_cast<int64_t>(500 + random_() % 2000),
                 static_cast<int64_t>(512 + random_() % 4096), 0};
    spec.labels = {{"kind", service ? "stream" : "render"}};
    spec.beside = service ? "kind!=forecast" : "";
    spec.on = random_() % 3 == 0 ? "hall=east" : "";
    return spec;
  }

  std::span<const WorkerView> views() const { return views_; }

 private:
  std::mt19937_64 random_;
  std::deque<InstanceInfo> infos_;
  std::deque<TaskSpec> specs_;
  std::deque<std::vector<ResidentAttempt>> residents_;
  std::vector<WorkerView> views_;
};

}  // namespace

int RunDecisions() {
  for (const int workers : {50, 190, 1500}) {
    Fleet fleet(workers);
    const auto policy = MakeDefaultPolicy();
    int placed = 0;
    int decisions = 0;
    const auto begin = std::chrono::steady_clock::now();
    double seconds = 0;
    for (; decisions < kMaxDecisions && seconds < kMaxSeconds; ++decisions) {
      const TaskSpec spec = fleet.RandomSpec();
      placed += policy->Decide(spec, fleet.views()).worker >= 0 ? 1 : 0;
      seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                              begin)
                    .count();
    }
    std::cout << Json{{"workers", workers},
                      {"running_tasks", workers * kTasksPerWorker},
                      {"decisions", decisions},
                      {"placed", placed},
                      {"decisions_per_second",
                       static_cast<int64_t>(decisions / seconds)}}
                     .dump()
              << std::endl;
  }
  return 0;
}

}  // namespace doorwood::bench
