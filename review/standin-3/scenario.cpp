// SPDX-License-Identifier: Apache-2.0

// review-scenario: the platform's stand-ins, the requesters and the operator of
// one case of this review. Exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run.

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include "world.h"

namespace review {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;

// Bounds of the site file sax-doorwood.
constexpr int64_t kCancelMs = 3000;
constexpr int64_t kContactMs = 3000;
constexpr double kLargestLostShare = 0.35;
constexpr double kLargestLateShare = 0.055;

constexpr char kHost[] = "queue.example";

struct Options {
  std::string name;
  bool trouble = true;
  std::string record;
  int store = 0;
  int cloud = 0;
  std::vector<int> workers;
  std::vector<int> fronts;
  std::vector<int> readies;
  std::vector<int> metrics;
  /// Folder with the process ids of the instances: entry-N.pid.
  std::string pids;
};

struct World {
  explicit World(const Options& options)
      : options(options), record(options.record), store(record) {
    for (size_t i = 0; i < options.workers.size(); ++i) {
      workers.push_back(std::make_unique<Worker>(
          record, store, "m" + std::to_string(i + 1), options.workers[i]));
    }
  }

  // The store, the workers and the first configuration.
  void Begin() {
    const Json config{
        {"version", 1},
        {"routes",
         {{{"name", "jobs"},
           {"host", kHost},
           {"pathPrefix", "/jobs/"},
           {"type", "non_idempotent"},
           {"timeoutMs", 3000},
           {"targetLatencyMs", 1000},
           {"priority", 0},
           {"service", "pool"},
           {"maxAttempts", 3},
           {"stretch", 2.0}}}},
        {"services", {{{"name", "pool"}, {"rejectsOverload", true}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 262144},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 30000}}}};
    store.Put("op/config", config.dump());
    for (const auto& worker : workers) {
      worker->Listen();
    }
    store.Listen(options.store);
    std::thread([this] {
      for (;;) {
        for (const auto& worker : workers) {
          worker->Tick();
        }
        std::this_thread::sleep_for(5ms);
      }
    }).detach();
    std::cout << "listening" << std::endl;
  }

  bool AwaitReady() {
    for (int i = 0; i < 300; ++i) {
      bool all = true;
      for (const int port : options.readies) {
        all = all &&
              Call(port, "GET", "ready", "/ready", "", 500ms).status == 200;
      }
      if (all) {
        return true;
      }
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  Answer Ask(size_t front,
             const std::string& method,
             const std::string& job,
             const Json& body = nullptr,
             milliseconds timeout = 3000ms) {
    const std::string text = body.is_null() ? "" : body.dump();
    record.Write("requester: sends",
                 {{"entry", front}, {"method", method}, {"job", job}});
    const Answer answer = Call(options.fronts[front], method, kHost,
                               "/jobs/" + job, text, timeout);
    record.Write("requester: gets", {{"entry", front},
                                     {"method", method},
                                     {"job", job},
                                     {"status", answer.status},
                                     {"body", answer.body}});
    return answer;
  }

  int Verdict(bool broken, const std::string& why) {
    record.Write(broken ? "BROKEN" : "HELD", {{"why", why}});
    std::cout << (broken ? "broken: " : "held: ") << why << std::endl;
    return broken ? kBroken : kHeld;
  }
  int CannotRun(const std::string& why) {
    record.Write("CANNOT RUN", {{"why", why}});
    std::cout << "could not run: " << why << std::endl;
    return kCannotRun;
  }

  const Options& options;
  Record record;
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
};

Json Step(int count, int64_t cpu, int64_t estimate) {
  return {{"count", count},
          {"cpu", cpu},
          {"memMb", 256},
          {"estRuntimeMs", estimate}};
}

// --- Case: a job whose acceptance was in doubt is cancelled ---

int RunCancel(World& world) {
  const std::string job = "00000000000000c1";
  constexpr milliseconds kLate = 5s;
  // The requester gets its answer after 2 to 2.4 s.
  constexpr milliseconds kLostFor = 2900ms;
  std::atomic<int> lost{0};
  std::atomic<int> writes{0};
  std::atomic<bool> window{false};
  std::atomic<int64_t> first_lost{0};
  std::atomic<int64_t> last_lost{0};
  world.store.set_hook([&](const Json& transaction) {
    Store::Decision decision;
    if (!window) {
      return decision;
    }
    ++writes;
    const bool has_job =
        transaction.dump().find("plan/" + job) != std::string::npos;
    const int64_t now = world.record.Now();
    const bool in_trouble = lost == 0 || now - first_lost < kLostFor.count();
    if (has_job && world.options.trouble && in_trouble) {
      first_lost = lost == 0 ? now : first_lost.load();
      ++lost;
      decision.fate = Store::Fate::kLostAndLate;
      decision.late = kLate;
      last_lost = world.record.Now();
      world.record.Write("store: a write with the job gets no answer",
                         {{"number", lost.load()}});
    }
    return decision;
  });
  world.Begin();
  if (!world.AwaitReady()) {
    return world.CannotRun("the entry instances did not become ready");
  }
  std::this_thread::sleep_for(4s);
  // Ordinary work of others, so that the store takes other writes as well.
  std::atomic<bool> stop{false};
  std::thread others([&] {
    for (int i = 0; !stop; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + i);
      const Json body{{"spec", "s0=100"}, {"steps", {Step(1, 100, 100)}}};
      Call(world.options.fronts[i % world.options.fronts.size()], "POST", kHost,
           std::string("/jobs/") + id, body.dump(), 3000ms);
      std::this_thread::sleep_for(80ms);
    }
  });
  std::this_thread::sleep_for(2s);
  window = true;
  Json second = Step(2, 1000, 3000);
  second["dependsOn"] = {0};
  const Json body{{"spec", "s0=10000 s1=3000"},
                  {"steps", {Step(1, 1000, 10000), second}}};
  const Answer submitted = world.Ask(0, "POST", job, body);
  const Answer cancelled = world.Ask(1, "DELETE", job);
  const int64_t acked = world.record.Now();
  const Answer shown = world.Ask(2, "GET", job);
  std::this_thread::sleep_for(2000ms);
  const int64_t window_end = last_lost;
  window = false;
  stop = true;
  others.join();
  const double share = writes > 0 ? static_cast<double>(lost) / writes : 0.0;
  world.record.Write(
      "store: writes while answers were lost",
      {{"writes", writes.load()}, {"lost", lost.load()}, {"share", share}});
  if (share > kLargestLostShare) {
    return world.CannotRun("the share of lost answers was above the limit");
  }
  if (cancelled.status / 100 != 2 && cancelled.status != 410) {
    return world.Verdict(false, "the cancelling was not acknowledged: status " +
                                    std::to_string(cancelled.status) +
                                    " after " +
                                    std::to_string(submitted.status));
  }
  // The last write that was lost was sent before `window_end` and arrives
  // `kLate` later; contactMs after that, all machines are in touch.
  const int64_t calm = window_end + kLate.count() + kContactMs;
  int64_t last_start = 0;
  std::set<std::string> seen;
  for (int64_t until = acked + 18'000; world.record.Now() < until;) {
    for (const auto& worker : world.workers) {
      for (const auto& [task, run] : worker->runs()) {
        if (task.starts_with(job) && seen.insert(task).second) {
          last_start = world.record.Now();
          world.record.Write("a task of the cancelled job runs",
                             {{"task", task},
                              {"after_ack_ms", last_start - acked},
                              {"in_touch", last_start >= calm}});
        }
      }
    }
    std::this_thread::sleep_for(5ms);
  }
  world.Ask(2, "GET", job);
  const bool broken = last_start >= calm && last_start > acked + kCancelMs;
  return world.Verdict(
      broken, broken ? "tasks of the job were started " +
                           std::to_string(last_start - acked) +
                           " ms after its cancelling was acknowledged (" +
                           std::to_string(cancelled.status) + ")"
                     : "no task of the job was started after cancelMs");
}

// --- Case: upkeep is ordered again for a machine that has new work ---

int RunUpkeep(World& world) {
  const std::string batch = "00000000000000b1";
  const std::string lasting = "00000000000000a1";
  constexpr int kMayMiss = 1;
  std::mutex mutex;
  std::string broken_by;
  std::map<std::string, int64_t> away_since;  // by an upkeep order
  const auto on_upkeep = [&](const std::string& machine,
                             const std::map<std::string, Run>& ended) {
    const std::lock_guard lock(mutex);
    const int64_t now = world.record.Now();
    for (const auto& [task, run] : ended) {
      if (!task.starts_with(lasting)) {
        continue;
      }
      int others_away = 0;
      for (const auto& [other, since] : away_since) {
        const bool at_work =
            std::any_of(world.workers.begin(), world.workers.end(),
                        [&other = other](const auto& worker) {
                          return worker->IsAtWork(other);
                        });
        others_away += other != task && !at_work ? 1 : 0;
      }
      world.record.Write("an upkeep ends a lasting task",
                         {{"machine", machine},
                          {"task", task},
                          {"others_away", others_away},
                          {"may_miss", kMayMiss}});
      if (others_away >= kMayMiss && broken_by.empty()) {
        broken_by = task;
      }
      away_since[task] = now;
    }
  };
  std::vector<Worker*> machines;
  for (const auto& worker : world.workers) {
    machines.push_back(worker.get());
  }
  Cloud cloud(world.record, machines, on_upkeep);
  cloud.Listen(world.options.cloud);
  world.Begin();
  if (!world.AwaitReady()) {
    return world.CannotRun("the entry instances did not become ready");
  }
  std::this_thread::sleep_for(5s);
  // One task of six seconds on each worker.
  Json step = Step(static_cast<int>(world.workers.size()), 4000, 8000);
  step["antiAffinity"] = 1;
  if (world.Ask(0, "POST", batch, {{"spec", "s0=8000"}, {"steps", {step}}})
          .status != 200) {
    return world.CannotRun("the first job was not accepted");
  }
  std::this_thread::sleep_for(500ms);
  world.record.Write("operator: asks for a wave",
                     {{"machines", {"m1", "m2"}}, {"maxCount", 2}});
  world.store.Put("op/wave/1", Json{{"wave", 1},
                                    {"machines", {"m1", "m2"}},
                                    {"durationS", 60},
                                    {"maxCount", 2}}
                                   .dump());
  std::this_thread::sleep_for(5500ms);
  if (world.options.trouble) {
    world.record.Write("machines: the service is down for 5 s", {});
    cloud.silent = true;
  }
  std::this_thread::sleep_for(4s);
  // A service of four tasks, one on each worker, of which one may be away.
  Json serving = Step(static_cast<int>(world.workers.size()), 2000, 1000);
  serving["longRunning"] = true;
  serving["antiAffinity"] = 1;
  serving["may_miss"] = kMayMiss;
  const bool accepted =
      world.Ask(1, "POST", lasting, {{"spec", "lasts"}, {"steps", {serving}}})
          .status == 200;
  std::this_thread::sleep_for(1s);
  if (cloud.silent.exchange(false)) {
    world.record.Write("machines: the service answers again", {});
  }
  if (!accepted) {
    return world.CannotRun("the lasting job was not accepted");
  }
  std::this_thread::sleep_for(20s);
  world.record.Write("store: state of the wave",
                     {{"value", world.store.Value("status/wave/1")}});
  const std::lock_guard lock(mutex);
  return world.Verdict(
      !broken_by.empty(),
      broken_by.empty()
          ? "no upkeep ended a lasting task while another was away"
          : "an upkeep ended " + broken_by + " while " +
                std::to_string(kMayMiss) + " other task was away already");
}

// --- Case: lasting tasks after two crashes of the worker that runs them ---

int RunTrials(World& world) {
  constexpr int kJobs = 8;
  constexpr int kTasksOfJob = 5;
  constexpr int64_t kAfterLastRun = 6000;
  constexpr int64_t kNothingRuns = 3000;
  constexpr int64_t kCalmBefore = 4000;
  const auto running = [&] {
    std::map<std::string, Worker*> found;
    for (const auto& worker : world.workers) {
      for (const auto& [task, run] : worker->runs()) {
        found[task] = worker.get();
      }
    }
    return found;
  };
  const auto fullest = [&] {
    Worker* best = nullptr;
    size_t most = 0;
    for (const auto& worker : world.workers) {
      const size_t runs = worker->runs().size();
      if (runs > most) {
        most = runs;
        best = worker.get();
      }
    }
    return best;
  };
  world.Begin();
  if (!world.AwaitReady()) {
    return world.CannotRun("the entry instances did not become ready");
  }
  std::this_thread::sleep_for(5s);
  for (int i = 0; i < kJobs; ++i) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0xa300 + i);
    Json step = Step(kTasksOfJob, 300, 1000);
    step["longRunning"] = true;
    if (world.Ask(i % 3, "POST", id, {{"spec", "lasts"}, {"steps", {step}}})
            .status != 200) {
      return world.CannotRun("a lasting job was not accepted");
    }
  }
  constexpr size_t kTasks = size_t{kJobs} * kTasksOfJob;
  std::this_thread::sleep_for(4s);
  if (running().size() != kTasks) {
    return world.CannotRun("not all lasting tasks run");
  }
  for (int crash = 0; crash < 2; ++crash) {
    Worker* worker = fullest();
    if (world.options.trouble && worker != nullptr) {
      world.record.Write(
          "a worker crashes, and is back after 1.5 s",
          {{"machine", worker->machine()}, {"runs", worker->runs().size()}});
      worker->Restart(1500ms, 0ms);
    }
    std::this_thread::sleep_for(crash == 0 ? 5000ms : 1500ms);
  }
  const int64_t calm = world.record.Now();
  const int64_t last_crash = calm - 1500;
  world.record.Write("all workers are up from here on", {});
  const int64_t judged =
      std::max(last_crash + kAfterLastRun, calm + kCalmBefore) + kNothingRuns;
  int64_t all_run_at = 0;
  int logged = -1;
  size_t missing_when_judged = 0;
  for (const int64_t until = calm + 60'000;
       world.record.Now() < until && all_run_at == 0;) {
    const int64_t now = world.record.Now();
    const size_t runs = running().size();
    if (static_cast<int>(runs) != logged) {
      logged = static_cast<int>(runs);
      world.record.Write("lasting tasks that run",
                         {{"run", runs},
                          {"of", kTasks},
                          {"after_last_crash_ms", now - last_crash}});
    }
    if (now < judged) {
      missing_when_judged = kTasks - runs;
    } else if (runs == kTasks) {
      all_run_at = now;
    }
    std::this_thread::sleep_for(10ms);
  }
  const bool broken = missing_when_judged > 0;
  return world.Verdict(
      broken, broken
                  ? std::to_string(missing_when_judged) +
                        " lasting tasks didn't run " +
                        std::to_string(judged - last_crash) +
                        " ms after the last crash; all ran after " +
                        (all_run_at == 0
                             ? std::string("more than a minute")
                             : std::to_string(all_run_at - last_crash) + " ms")
                  : "all lasting tasks ran in time");
}

// --- Case: a start that a worker's next life carries out late ---

int RunNextLife(World& world) {
  constexpr int64_t kMaxHold = 6000;  // kgs-doorwood
  constexpr milliseconds kCut = 6500ms;
  const std::string job = "00000000000000d1";
  std::atomic<int> late{0};
  const size_t count = world.workers.size();
  for (size_t i = 0; i < count; ++i) {
    // Two workers have the label that the job asks for: the first is in a zone
    // of its own, the last among the others.
    const bool has_label = i == 0 || i + 1 == count;
    world.workers[i]->set_states_born(i == 0 ? "okahandja" : "windhoek-north",
                                      has_label ? "b" : "a", kMaxHold);
  }
  Worker& young = *world.workers.front();
  world.Begin();
  if (!world.AwaitReady()) {
    return world.CannotRun("the entry instances did not become ready");
  }
  std::this_thread::sleep_for(6s);
  std::atomic<bool> both{false};
  std::atomic<bool> stop{false};
  const auto count_starts = [&] {
    int starts = 0;
    for (const auto& worker : world.workers) {
      starts += worker->starts();
    }
    return starts;
  };
  // Ordinary work of others.
  std::thread others([&] {
    for (int i = 0; !stop; ++i) {
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", 0x1000 + i);
      Json small = Step(1, 100, 100);
      small["constraints"] = "a";
      const Json body{{"spec", "s0=100"}, {"steps", {small}}};
      Call(world.options.fronts[i % world.options.fronts.size()], "POST", kHost,
           std::string("/jobs/") + id, body.dump(), 3000ms);
      std::this_thread::sleep_for(80ms);
    }
  });
  const int starts_before = count_starts();
  std::this_thread::sleep_for(2500ms);
  std::thread watch([&] {
    std::string last;
    while (!stop) {
      int runs = 0;
      Json where = Json::array();
      for (const auto& worker : world.workers) {
        for (const auto& [task, run] : worker->runs()) {
          if (task.starts_with(job) && worker->up()) {
            ++runs;
            where.push_back({worker->id(), run.number});
          }
        }
      }
      if (where.dump() != last) {
        last = where.dump();
        world.record.Write("runs of the task", {{"where", where}});
      }
      both = both || runs > 1;
      std::this_thread::sleep_for(5ms);
    }
  });
  if (world.options.trouble) {
    young.DelayNextStart(job, 6000ms, [&] {
      ++late;
      std::this_thread::sleep_for(150ms);
      world.record.Write("the worker's zone is cut off", {});
      young.set_cut(true);
      std::thread([&] {
        std::this_thread::sleep_for(kCut);
        world.record.Write("the worker's zone is back", {});
        young.set_cut(false);
      }).detach();
      std::this_thread::sleep_for(50ms);
      world.record.Write("the worker crashes", {});
      young.RestartUnderItsId(400ms);
      world.record.Write("the worker is up again under its id", {});
    });
  }
  Json step = Step(1, 1000, 20'000);
  step["constraints"] = "b";
  if (world.Ask(0, "POST", job, {{"spec", "s0=20000"}, {"steps", {step}}})
          .status != 200) {
    return world.CannotRun("the job was not accepted");
  }
  std::this_thread::sleep_for(3s);
  const int starts = count_starts() - starts_before;
  const double share = starts > 0 ? static_cast<double>(late) / starts : 1.0;
  world.record.Write(
      "workers: start orders in 5.5 s",
      {{"orders", starts}, {"late", late.load()}, {"share", share}});
  std::this_thread::sleep_for(9s);
  stop = true;
  watch.join();
  others.join();
  if (world.options.trouble && late == 0) {
    return world.CannotRun("the job was not started on that worker");
  }
  if (share > kLargestLateShare) {
    return world.CannotRun("the share of late orders was above the limit");
  }
  return world.Verdict(both, both ? "two runs of the task at the same time"
                                  : "never two runs of the task");
}

// --- Case: a worker falls silent, and the leader is killed before it notices
// ---

int RunSilent(World& world) {
  constexpr int64_t kAfterLastRun = 6000;
  constexpr int64_t kNothingRuns = 3000;
  constexpr int64_t kCalmBefore = 4000;
  // An instance that is killed is back within this time.
  constexpr int64_t kRestart = 500;
  const std::string job = "00000000000000e1";
  world.Begin();
  if (!world.AwaitReady()) {
    return world.CannotRun("the entry instances did not become ready");
  }
  std::this_thread::sleep_for(5s);
  Json step = Step(2, 1000, 1000);
  step["longRunning"] = true;
  if (world.Ask(0, "POST", job, {{"spec", "lasts"}, {"steps", {step}}})
          .status != 200) {
    return world.CannotRun("the lasting job was not accepted");
  }
  // A leader whose first records are old.
  std::this_thread::sleep_for(12s);
  Worker* lost = nullptr;
  for (const auto& worker : world.workers) {
    lost = worker->runs().empty() ? lost : worker.get();
  }
  if (lost == nullptr) {
    return world.CannotRun("the lasting job does not run");
  }
  const size_t tasks = lost->runs().size();
  size_t leader = world.options.metrics.size();
  for (size_t i = 0; i < world.options.metrics.size(); ++i) {
    const Answer metrics = Call(world.options.metrics[i], "GET", "metrics",
                                "/metrics", "", 1000ms);
    if (metrics.body.find("doorwood_leading 1") != std::string::npos) {
      leader = i;
    }
  }
  if (leader == world.options.metrics.size()) {
    return world.CannotRun("no instance leads");
  }
  if (!world.options.trouble) {
    std::this_thread::sleep_for(12s);
    return world.Verdict(lost->runs().size() != tasks,
                         "the lasting tasks run on");
  }
  std::atomic<int64_t> lost_at{0};
  lost->LoseAtNextWait([&] {
    lost_at = world.record.Now();
    world.record.Write("a worker is lost for good",
                       {{"machine", lost->machine()}, {"runs", tasks}});
  });
  for (int i = 0; i < 400 && lost_at == 0; ++i) {
    std::this_thread::sleep_for(10ms);
  }
  if (lost_at == 0) {
    return world.CannotRun("the leader sent no call that waits");
  }
  std::this_thread::sleep_for(1500ms);
  std::ifstream pid_file(world.options.pids + "/entry-" +
                         std::to_string(leader) + ".pid");
  int pid = 0;
  pid_file >> pid;
  if (pid <= 0 || ::kill(pid, SIGKILL) != 0) {
    return world.CannotRun("the leader could not be killed");
  }
  const int64_t killed_at = world.record.Now();
  world.record.Write("the leader is killed, and starts again",
                     {{"entry", leader}, {"after_ms", killed_at - lost_at}});
  const int64_t bound =
      std::max(lost_at + kAfterLastRun, killed_at + kRestart + kCalmBefore) +
      kNothingRuns;
  int64_t back_at = 0;
  for (const int64_t until = lost_at + 30'000;
       world.record.Now() < until && back_at == 0;) {
    size_t runs = 0;
    for (const auto& worker : world.workers) {
      runs += worker->runs().size();
    }
    back_at = runs == tasks ? world.record.Now() : 0;
    std::this_thread::sleep_for(5ms);
  }
  const bool broken = back_at == 0 || back_at > bound;
  return world.Verdict(
      broken, "the lasting tasks ran nowhere for " +
                  (back_at == 0 ? std::string("30 s")
                                : std::to_string(back_at - lost_at) + " ms") +
                  "; allowed: " + std::to_string(bound - lost_at) + " ms");
}

std::vector<int> ParsePorts(const std::string& text) {
  std::vector<int> ports;
  std::stringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    ports.push_back(std::atoi(part.c_str()));
  }
  return ports;
}

// Prints free ports of 127.0.0.1 from below the range that the system uses for
// outgoing connections.
int PrintPorts(int count) {
  constexpr int kFirst = 11'000;
  constexpr int kRange = 20'000;
  std::vector<int> sockets;
  const int start = static_cast<int>(
      (static_cast<uint64_t>(::getpid()) * 7919 + std::random_device()()) %
      kRange);
  for (int i = 0; i < kRange && static_cast<int>(sockets.size()) < count; ++i) {
    const int port = kFirst + (start + i) % kRange;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      ::close(fd);
      continue;
    }
    sockets.push_back(fd);
    std::cout << port << "\n";
  }
  for (const int fd : sockets) {
    ::close(fd);
  }
  return 0;
}

int Main(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "ports") {
    return PrintPorts(std::atoi(argv[2]));
  }
  Options options;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    const std::string value = argv[i + 1];
    if (name == "--case") {
      options.name = value;
    } else if (name == "--trouble") {
      options.trouble = value != "0";
    } else if (name == "--record") {
      options.record = value;
    } else if (name == "--store") {
      options.store = std::atoi(value.c_str());
    } else if (name == "--cloud") {
      options.cloud = std::atoi(value.c_str());
    } else if (name == "--workers") {
      options.workers = ParsePorts(value);
    } else if (name == "--fronts") {
      options.fronts = ParsePorts(value);
    } else if (name == "--metrics") {
      options.metrics = ParsePorts(value);
    } else if (name == "--pids") {
      options.pids = value;
    } else if (name == "--readies") {
      options.readies = ParsePorts(value);
    }
  }
  // The threads of the servers use it until the process ends.
  auto* world = new World(options);
  if (options.name == "cancel") {
    return RunCancel(*world);
  }
  if (options.name == "upkeep") {
    return RunUpkeep(*world);
  }
  if (options.name == "next-life") {
    return RunNextLife(*world);
  }
  if (options.name == "silent") {
    return RunSilent(*world);
  }
  if (options.name == "trials") {
    return RunTrials(*world);
  }
  return kCannotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int result = review::Main(argc, argv);
  std::cout << std::flush;
  std::_Exit(result);
}
