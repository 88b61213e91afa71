// SPDX-License-Identifier: Apache-2.0

// Stand-in for one of the platform's workers. It grants one control lease at
// a time, runs tasks by the clock, and stops them when nobody renews.
// A task's payload is words: "run-ms=N" (default 200), "fail".
// Faults: fail_starts (every task fails at once), refuse_starts.

#include <atomic>
#include <chrono>
#include <map>
#include <sstream>
#include <thread>

#include "doorwood/ledger.h"
#include "standin/standin.h"

namespace doorwood::standin {
namespace {

constexpr int kHeld = 409;
constexpr int kStale = 412;
constexpr int kTickMillis = 5;
constexpr int64_t kDefaultRunMillis = 200;
constexpr const char* kCheckpointPrefix = "done-ms-";

// What a payload asks for.
struct Work {
  int64_t run_ms = kDefaultRunMillis;
  bool fail = false;
};

Work ParseWork(const std::string& payload) {
  Work work;
  std::stringstream words(payload);
  std::string word;
  while (words >> word) {
    if (word.starts_with("run-ms=")) {
      work.run_ms = std::stoll(word.substr(7));
    }
    work.fail = work.fail || word == "fail";
  }
  return work;
}

int64_t ProgressOf(const std::string& checkpoint) {
  const std::string prefix = kCheckpointPrefix;
  return checkpoint.starts_with(prefix)
             ? std::stoll(checkpoint.substr(prefix.size()))
             : 0;
}

class Worker {
 public:
  Worker(const WorkerRole& role, Recorder& recorder)
      : role_(role), recorder_(recorder) {}

  Reply Acquire(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Tick();
    const auto holder = call.at("holder").get<std::string>();
    const int64_t now = MonotonicMillis();
    const bool held = now < control_end_ && holder != holder_;
    if (held) {
      return {kHeld, {{"holder", holder_}}};
    }
    holder_ = holder;
    ++epoch_;
    control_lease_ = call.at("control_lease_ms").get<int64_t>();
    task_lease_ = call.at("task_lease_ms").get<int64_t>();
    control_end_ = now + control_lease_;
    recorder_.Write({{"event", "acquired"},
                     {"worker", role_.name},
                     {"holder", holder},
                     {"epoch", epoch_}});
    WorkerInventory inventory{epoch_, role_.capacity, role_.fences, {}};
    for (const auto& [key, run] : runs_) {
      inventory.tasks.push_back(run.task);
    }
    return {200, Json(inventory)};
  }

  Reply Orders(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Tick();
    const bool stale = call.at("epoch").get<uint64_t>() != epoch_;
    const bool lapsed = MonotonicMillis() >= control_end_;
    if (role_.fences && (stale || lapsed)) {
      return {kStale};
    }
    const int64_t now = MonotonicMillis();
    control_end_ = now + control_lease_;
    task_end_ = now + task_lease_;
    WorkerAnswer answer;
    if (call.contains("orders")) {
      for (const auto& order : call["orders"]) {
        Obey(order.get<WorkerOrder>(), &answer);
      }
    }
    for (const auto& [key, run] : runs_) {
      if (run.task.state == RunState::kEnded) {
        answer.ended.push_back(run.task);
      }
    }
    return {200, Json(answer)};
  }

  Reply Release(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call.at("epoch").get<uint64_t>() != epoch_) {
      return {kStale};
    }
    control_end_ = 0;
    recorder_.Write({{"event", "released"}, {"worker", role_.name}});
    return {};
  }

  Reply Fault(const Json& call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fail_starts_ = call.value("fail_starts", fail_starts_);
    refuse_starts_ = call.value("refuse_starts", refuse_starts_);
    return {};
  }

  void TickLocked() {
    const std::lock_guard<std::mutex> lock(mutex_);
    Tick();
  }

 private:
  struct Run {
    WorkerTask task;
    Work work;
    int64_t started = 0;
    int64_t progress = 0;
  };

  void Obey(const WorkerOrder& order, WorkerAnswer* answer) {
    const AttemptKey key{order.shard, order.attempt};
    const auto run = runs_.find(key);
    if (order.kind == OrderKind::kStart) {
      answer->results.push_back(Start(order, key));
    } else if (order.kind == OrderKind::kStop && run != runs_.end()) {
      if (order.take_checkpoint) {
        run->second.task.checkpoint =
            kCheckpointPrefix + std::to_string(ProgressNow(run->second));
      }
      End(run->second, AttemptEnd::kStopped);
    } else if (order.kind == OrderKind::kForget && run != runs_.end()) {
      runs_.erase(run);
    }
  }

  OrderResult Start(const WorkerOrder& order, const AttemptKey& key) {
    OrderResult result{.attempt = order.attempt};
    if (runs_.contains(key)) {
      return result;
    }
    if (refuse_starts_) {
      return {.attempt = order.attempt, .accepted = false, .reason = "refused"};
    }
    Run run;
    run.task = {.shard = order.shard,
                .attempt = order.attempt,
                .task = order.task,
                .spec = order.spec};
    run.work = ParseWork(order.spec.payload);
    run.started = MonotonicMillis();
    run.progress = ProgressOf(order.checkpoint);
    used_ = used_ + order.spec.size;
    recorder_.Write({{"event", "start"},
                     {"worker", role_.name},
                     {"task", ToString(order.task)},
                     {"attempt", ToString(order.attempt)},
                     {"resumed_ms", run.progress},
                     {"overcommitted", !Fits(used_, role_.capacity)}});
    auto& stored = runs_.emplace(key, std::move(run)).first->second;
    if (fail_starts_) {
      End(stored, AttemptEnd::kFailed);
    }
    return result;
  }

  static int64_t ProgressNow(const Run& run) {
    return run.progress + MonotonicMillis() - run.started;
  }

  void End(Run& run, AttemptEnd end) {
    if (run.task.state == RunState::kEnded) {
      return;
    }
    run.task.state = RunState::kEnded;
    run.task.end = end;
    used_ = used_ - run.task.spec.size;
    recorder_.Write({{"event", "end"},
                     {"worker", role_.name},
                     {"task", ToString(run.task.task)},
                     {"attempt", ToString(run.task.attempt)},
                     {"how", ToString(end)},
                     {"checkpoint", run.task.checkpoint}});
  }

  // Ends what is done; stops all if nobody has renewed in time.
  void Tick() {
    const bool lapsed = task_lease_ > 0 && MonotonicMillis() >= task_end_;
    for (auto& [key, run] : runs_) {
      if (lapsed) {
        End(run, AttemptEnd::kLost);
      } else if (ProgressNow(run) >= run.work.run_ms) {
        End(run, run.work.fail ? AttemptEnd::kFailed : AttemptEnd::kSucceeded);
      }
    }
  }

  WorkerRole role_;
  Recorder& recorder_;
  std::mutex mutex_;
  std::string holder_;
  uint64_t epoch_ = 0;
  int64_t control_lease_ = 0;
  int64_t task_lease_ = 0;
  int64_t control_end_ = 0;
  int64_t task_end_ = 0;
  Resources used_;
  bool fail_starts_ = false;
  bool refuse_starts_ = false;
  std::map<AttemptKey, Run> runs_;
};

}  // namespace

int RunWorker(const WorkerRole& role) {
  Server server(role.server);
  Recorder recorder(role.server.record);
  Worker worker(role, recorder);
  server.AddCall("/worker/acquire",
                 [&](const Json& body) { return worker.Acquire(body); });
  server.AddCall("/worker/orders",
                 [&](const Json& body) { return worker.Orders(body); });
  server.AddCall("/worker/release",
                 [&](const Json& body) { return worker.Release(body); });
  server.AddCall("/fault",
                 [&](const Json& body) { return worker.Fault(body); });
  std::atomic<bool> stop = false;
  std::thread ticker([&]() {
    while (!stop) {
      worker.TickLocked();
      std::this_thread::sleep_for(std::chrono::milliseconds(kTickMillis));
    }
  });
  const int code = server.Run();
  stop = true;
  ticker.join();
  return code;
}

}  // namespace doorwood::standin
