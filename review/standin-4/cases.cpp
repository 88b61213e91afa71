// The cases of this review that are scripts. cases NAME RECORD
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. Without its disruption if TROUBLE=0.

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <set>
#include <thread>

#include "world.h"

namespace {

bool trouble = true;

void Sleep(int64_t ms) {
  usleep(static_cast<useconds_t>(ms * 1000));
}

Json Config(int attempts) {
  return {{"version", 3},
          {"routes", Json::array({{{"name", "jobs"},
                                   {"host", "q.example"},
                                   {"pathPrefix", "/jobs/"},
                                   {"service", "pool"},
                                   {"timeoutMs", 3000},
                                   {"priority", 1},
                                   {"maxAttempts", attempts},
                                   {"stretch", 2.0},
                                   {"targetLatencyMs", 1000}}})},
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

// A job of one task of 6 s. The worker that runs it crashes 2 s after the run
// began, four times; one of eight workers at a time.
int Crashes(World& w) {
  if (!Begin(w, 8, 1000))
    return 2;
  const std::string id = HexId(1);
  if (w.Submit(id, MakeJob({{"count", 1},
                            {"cpu", 4000},
                            {"memMb", 2048},
                            {"estRuntimeMs", 6000}},
                           {6000, 0}, "one task")) != 200)
    return 2;
  const int64_t until = w.Time() + 80000;
  int crashes = 0, checks = 0;
  std::string state;
  while (w.Time() < until && state != "failed" && state != "completed") {
    Sleep(50);
    if (trouble && crashes < 4) {
      std::lock_guard lock(w.net.mutex);
      for (Worker& worker : w.workers) {
        if (!worker.up() || worker.runs().empty() ||
            NowMs() - worker.runs().begin()->second.started < 2000)
          continue;
        ++crashes;
        worker.Crash();
        Worker* down = &worker;
        w.net.After(2500, [down] { down->Start(); });
        break;
      }
    }
    if (++checks % 10 == 0)
      state = w.State(id);
  }
  std::lock_guard lock(w.net.mutex);
  const auto failed =
      std::count_if(w.runs.begin(), w.runs.end(),
                    [](const RunRecord& run) { return run.how == "failed"; });
  w.Record("state " + state + "; runs " + std::to_string(w.runs.size()) +
           ", of these ended failed " + std::to_string(failed) + "; crashes " +
           std::to_string(crashes));
  if (state == "failed" && failed < w.max_attempts)
    w.Violation("LOST", "job " + id + " is shown as failed after " +
                            std::to_string(failed) +
                            " ends failed, maxAttempts is " +
                            std::to_string(w.max_attempts));
  return state.empty() ? 2 : 0;
}

// 16 jobs of four lasting tasks each. One second after the last was accepted
// the worker with the most runs crashes, and twice more so, 6 s apart; each is
// back after 4.5 s. From 4 s after the last one is back, each task has to run.
int Lasting(World& w) {
  constexpr int kJobs = 16, kTasks = 4, kCrashes = 3;
  constexpr int64_t kBetween = 6000, kDown = 4500, kCalm = 4000,
                    kAfterRun = 6000, kWatched = 30000, kMost = 3000;
  if (!Begin(w, 8, 1000))
    return 2;
  std::map<std::string, int64_t> last_seen;
  for (int n = 1; n <= kJobs; ++n) {
    if (w.Submit(HexId(n), MakeJob({{"count", kTasks},
                                    {"cpu", 1500},
                                    {"memMb", 1024},
                                    {"estRuntimeMs", 300},
                                    {"longRunning", true}},
                                   {0, 0}, "lasting")) != 200)
      return 2;
    for (int i = 0; i < kTasks; ++i)
      last_seen[HexId(n) + ".0.0." + std::to_string(i)] = w.Time();
  }
  Sleep(1000);
  for (int k = 0; trouble && k < kCrashes; ++k) {
    {
      std::lock_guard lock(w.net.mutex);
      Worker* most = nullptr;
      for (Worker& worker : w.workers)
        if (worker.up() &&
            (most == nullptr || worker.runs().size() > most->runs().size()))
          most = &worker;
      w.Record("the worker with the most runs, " +
               std::to_string(most->runs().size()) + ", crashes");
      most->Crash();
      w.net.After(kDown, [most] { most->Start(); });
    }
    Sleep(k + 1 < kCrashes ? kBetween : kDown + 100);
  }
  const int64_t calm = w.Time() + kCalm;
  w.Record("all workers are up; watched from " + std::to_string(calm) +
           " ms on");
  std::map<std::string, int64_t> waited;
  while (w.Time() < calm + kWatched) {
    Sleep(20);
    std::lock_guard lock(w.net.mutex);
    const int64_t now = w.Time();
    for (Worker& worker : w.workers)
      for (const auto& [task, run] : worker.runs())
        if (last_seen.count(task))
          last_seen[task] = now;
    for (const auto& [task, seen] : last_seen)
      if (seen < now)
        waited[task] =
            std::max(waited[task], now - std::max(seen + kAfterRun, calm));
  }
  int late = 0;
  int64_t longest = 0;
  for (const auto& [task, ms] : waited) {
    late += ms > kMost ? 1 : 0;
    longest = std::max(longest, ms);
  }
  int64_t used = 0;
  {
    std::lock_guard lock(w.net.mutex);
    for (Worker& worker : w.workers)
      used += worker.used().at("cpu").get<int64_t>();
  }
  w.Record(std::to_string(last_seen.size()) + " lasting tasks; " +
           std::to_string(late) + " had no run for over 3 s, the longest " +
           std::to_string(longest) + " ms; at the end " + std::to_string(used) +
           " of 256000 cpu are in use");
  for (int n = 1; n <= kJobs; ++n)
    w.State(HexId(n));
  if (late > 0)
    w.Violation("LOST", std::to_string(late) +
                            " lasting tasks had no run for over 3 s while all "
                            "was calm, the longest " +
                            std::to_string(longest) + " ms");
  return 0;
}

// 20 small jobs and a gang of 120 tasks; one more job, handed in just before
// the gang, can never be done. The machines have links of 10 Mbit/s.
int Gang(World& w) {
  if (!Begin(w, 12, 10)) {
    return 2;
  }
  const std::string spec(4000, 's');
  constexpr int kSmallJobs = 20;
  for (int n = 1; n <= kSmallJobs; ++n) {
    w.Submit(
        HexId(100 + n),
        MakeJob(
            {{"count", 1}, {"cpu", 500}, {"memMb", 128}, {"estRuntimeMs", 200}},
            {200, 0}, "small"),
        1);
    Sleep(80);
  }
  std::thread hopeless([&] {
    if (trouble) {
      w.Submit(HexId(2),
               MakeJob({{"count", 60},
                        {"cpu", 1000},
                        {"memMb", 256},
                        {"estRuntimeMs", 300}},
                       {300, 1000000}, spec),
               5);
    }
  });
  Sleep(100);
  const int status = w.Submit(HexId(1),
                              MakeJob({{"count", 120},
                                       {"cpu", 1000},
                                       {"memMb", 256},
                                       {"estRuntimeMs", 1000},
                                       {"gang", true}},
                                      {1000, 0}, spec),
                              5);
  hopeless.join();
  if (status != 200) {
    return 2;
  }
  std::string state;
  for (int i = 0; i < 60 && state != "completed" && state != "failed"; ++i) {
    Sleep(500);
    state = w.State(HexId(1));
  }
  std::lock_guard lock(w.net.mutex);
  const auto alone =
      std::count_if(w.runs.begin(), w.runs.end(),
                    [](const RunRecord& run) { return run.how == "alone"; });
  w.Record("state of the gang's job " + state + "; runs ended alone " +
           std::to_string(alone));
  if (alone > 0) {
    w.Violation("GANG", std::to_string(alone) + " runs ended alone");
  }
  return state.empty() ? 2 : 0;
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
    if (name == "crashes")
      result = Crashes(w);
    if (name == "lasting")
      result = Lasting(w);
    if (name == "gang") {
      w.bounds.gang_ms = 4000;
      result = Gang(w);
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
