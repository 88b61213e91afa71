// The cases of this review that are scripts. cases NAME RECORD
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. Without its disruption if TROUBLE=0.

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <set>

#include "world.h"

namespace {

bool trouble = true;

void Sleep(int64_t ms) {
  usleep(static_cast<useconds_t>(ms * 1000));
}

Json Route(const std::string& name,
           const std::string& prefix,
           int priority,
           int attempts) {
  return {{"name", name},
          {"host", "q.example"},
          {"pathPrefix", prefix},
          {"service", "pool"},
          {"timeoutMs", 3000},
          {"priority", priority},
          {"maxAttempts", attempts},
          {"stretch", 2.0},
          {"targetLatencyMs", 1000}};
}

Json Config(int attempts) {
  return {{"version", 3},
          {"routes", Json::array({Route("jobs", "/jobs/", 0, attempts),
                                  Route("batch", "/batch/", 2, attempts)})},
          {"services",
           Json::array({{{"name", "pool"}, {"rejectsOverload", true}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 5000},
            {"idleTimeoutMs", 30000}}}};
}

JobInfo MakeJob(Json step, Work work, const std::string& spec) {
  JobInfo info;
  info.body = {{"spec", spec}, {"steps", Json::array({std::move(step)})}};
  info.work[0] = work;
  return info;
}

bool Begin(World& w, int workers, double link_mbps) {
  w.PutConfig(Config(w.max_attempts));
  for (int i = 0; i < workers; ++i)
    w.AddWorker("pool");
  for (int i = 1; i <= 3; ++i) {
    Instance& instance = w.AddInstance("edge-" + std::to_string(i), "plaka");
    instance.link_mbps = link_mbps;
    w.StartInstance(instance);
  }
  const bool ready = w.AwaitReady(20000);
  Sleep(1500);
  return ready;
}

// Four jobs of two lasting tasks each, and a backlog of batch work that fills
// the service. One worker with lasting tasks is lost for good.
int Full(World& w) {
  constexpr int kLastingJobs = 4, kTasks = 2, kBatchJobs = 30;
  constexpr int64_t kCrashAfter = 6500, kWatched = 25000;
  // The rule: from 6 s after the last run, and while the 3 s and the 4 s before
  // them are calm. The loss counts as an impairment for 4.5 s.
  constexpr int64_t kLossLasts = 4500, kCalmBefore = 4000, kAfterRun = 6000,
                    kAway = 3000;
  if (!Begin(w, 8, 1000)) {
    return 2;
  }
  std::map<std::string, int64_t> last_run;
  for (int n = 1; n <= kLastingJobs; ++n) {
    if (w.Submit(HexId(n), MakeJob({{"count", kTasks},
                                    {"cpu", 9000},
                                    {"memMb", 13000},
                                    {"estRuntimeMs", 320},
                                    {"longRunning", true}},
                                   {0, 0}, "lasting")) != 200) {
      return 2;
    }
    for (int i = 0; i < kTasks; ++i) {
      last_run[HexId(n) + ".0.0." + std::to_string(i)] = w.Time();
    }
  }
  Sleep(1500);
  w.prefix = "/batch/";
  for (int n = 1; n <= kBatchJobs; ++n) {
    if (w.Submit(HexId(100 + n), MakeJob({{"count", 20},
                                          {"cpu", 3500},
                                          {"memMb", 1000},
                                          {"estRuntimeMs", 6800}},
                                         {6800, 0}, "batch")) != 200) {
      return 2;
    }
  }
  Sleep(kCrashAfter);
  const int64_t loss = w.Time();
  if (trouble) {
    std::lock_guard lock(w.net.mutex);
    Worker* lost = nullptr;
    int most = 0;
    for (Worker& worker : w.workers) {
      int lasting = 0;
      for (const auto& [task, run] : worker.runs()) {
        lasting += last_run.count(task) != 0 ? 1 : 0;
      }
      if (lasting > most) {
        most = lasting;
        lost = &worker;
      }
    }
    w.Record("a worker with " + std::to_string(most) +
             " lasting tasks is lost for good");
    lost->Crash();
  }
  std::map<std::string, int64_t> away;
  for (auto& [task, time] : last_run) {
    time = loss;
  }
  while (w.Time() < loss + kWatched) {
    Sleep(20);
    std::lock_guard lock(w.net.mutex);
    const int64_t now = w.Time();
    for (Worker& worker : w.workers) {
      for (const auto& [task, run] : worker.runs()) {
        if (last_run.count(task) != 0) {
          last_run[task] = now;
        }
      }
    }
    for (const auto& [task, time] : last_run) {
      away[task] = std::max(away[task], now - time);
    }
  }
  const int64_t allowed = std::max(kAfterRun, kLossLasts + kCalmBefore) + kAway;
  for (const auto& [task, ms] : away) {
    if (ms > 100) {
      w.Record(task + " ran nowhere for " + std::to_string(ms) +
               " ms; allowed: " + std::to_string(allowed));
    }
    if (ms > allowed) {
      w.Violation("LOST", task + " ran nowhere for " + std::to_string(ms) +
                              " ms; allowed: " + std::to_string(allowed));
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3)
    return 2;
  const std::string name = argv[1];
  const char* setting = getenv("TROUBLE");
  trouble = setting == nullptr || std::string(setting) != "0";
  int result = 2;
  size_t broken = 0;
  {
    World w(argv[2]);
    w.Record(std::string("case ") + name +
             (trouble ? "" : " without its disruption"));
    if (name == "full") {
      result = Full(w);
    }
    for (Instance& instance : w.instances)
      if (instance.pid > 0 && w.Reap(instance))
        result = 2;
    broken = w.violations.size();
    for (const std::string& violation : w.violations)
      std::cout << violation << "\n";
  }
  std::cout << name << ": "
            << (result != 0  ? "could not run"
                : broken > 0 ? "broken"
                             : "held")
            << "\n";
  return result != 0 ? result : broken > 0 ? 1 : 0;
}
