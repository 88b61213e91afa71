// SPDX-License-Identifier: Apache-2.0

#include "cases.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "platform.h"

namespace review {
namespace {

constexpr const char* kHost = "nony24.example";
constexpr int64_t kVisibleMs = 3000;
constexpr int64_t kFinishMs = 14'000;
// A task that lasts is lost if it runs nowhere for 3 s, from 6 s after its last
// run on.
constexpr int64_t kLastingMs = 9000;
// A pause after the start, longer than `contactMs`.
constexpr int64_t kContactMs = 4000;

struct Route {
  std::string name;
  std::string prefix;
  int max_attempts = 4;
  bool advice = false;
  int64_t decide_ms = 0;
  int64_t each_ms = 0;
  int64_t valid_ms = 0;
};

class Deployment {
 public:
  Deployment(const Setting& setting, Record& record)
      : setting_(setting),
        record_(record),
        store_(io_),
        adviser_(io_, record),
        world_{io_, record, store_, {}, {}, 0, {}, {}, 0} {}

  ~Deployment() {
    for (const auto& [name, instance] : instances_) {
      if (instance.pid > 0) {
        kill(instance.pid, SIGKILL);
        waitpid(instance.pid, nullptr, 0);
      }
    }
  }

  asio::io_context& io() { return io_; }
  World& world() { return world_; }
  Store& store() { return store_; }
  Adviser& adviser() { return adviser_; }
  Record& record() { return record_; }

  void Begin(const std::vector<Route>& routes,
             int workers,
             const std::function<std::vector<std::string>(int)>& labels) {
    store_.Listen(setting_.prefix + "1:8169");
    adviser_.Listen(setting_.prefix + "2:8169");
    PutConfig(routes);
    for (int i = 0; i < workers; ++i) {
      world_.workers.push_back(std::make_unique<Worker>(
          world_, setting_.prefix + std::to_string(100 + i) + ":8080", "plaka",
          32'000, labels(i)));
      world_.workers.back()->ticket_check_ = [this](const std::string& task,
                                                    const std::string& worker,
                                                    const std::string& ticket) {
        return !advised_.count(world_.jobs.at(ParseTask(task).job).prefix) ||
               adviser_.IsValid(task, worker, ticket);
      };
      world_.workers.back()->Boot();
    }
  }

  void PutConfig(const std::vector<Route>& routes) {
    Json rows = Json::array();
    for (const Route& route : routes) {
      Json row{{"name", route.name},
               {"host", kHost},
               {"pathPrefix", route.prefix},
               {"type", "non_idempotent"},
               {"timeoutMs", 3000},
               {"targetLatencyMs", 1000},
               {"priority", 0},
               {"service", "pool"},
               {"maxAttempts", route.max_attempts},
               {"stretch", 2.0}};
      if (route.advice) {
        row["advice"] = {{"decide_ms", route.decide_ms},
                         {"each_ms", route.each_ms},
                         {"valid_ms", route.valid_ms}};
        advised_.insert(route.prefix);
        adviser_.SetTimes(route.decide_ms, route.each_ms, route.valid_ms);
      }
      rows.push_back(row);
    }
    const Json config{{"version", ++config_version_},
                      {"routes", rows},
                      {"services",
                       {{{"name", "pool"},
                         {"maxConnections", 64},
                         {"rejectsOverload", true}}}},
                      {"limits",
                       {{"maxHeaderBytes", 16384},
                        {"maxBodyBytes", 262144},
                        {"headerTimeoutMs", 5000},
                        {"idleTimeoutMs", 60000}}}};
    store_.Put("op/config", config.dump());
  }

  /// The settings are those of deploy/settings.yaml.
  void StartInstance(const std::string& name, double link_mbps = 1000.0) {
    Instance& instance = instances_[name];
    if (instance.ip.empty()) {
      instance.ip = setting_.prefix + std::to_string(10 + instances_.size());
    }
    const std::string file = setting_.folder + "/" + name + ".yaml";
    std::ofstream(file) << "instance: \"" << name << "\"\n"
                        << "data_centre: \"plaka\"\n"
                        << "front: \"" << instance.ip << ":8161\"\n"
                        << "ready: \"" << instance.ip << ":8167\"\n"
                        << "peer: \"" << instance.ip << ":7720\"\n"
                        << "metrics: \"" << instance.ip << ":7735\"\n"
                        << "store: \"" << setting_.prefix << "1:8169\"\n"
                        << "adviser: \"" << setting_.prefix << "2:8169\"\n"
                        << "machines: \"" << setting_.prefix << "3:8169\"\n"
                        << "cpu_share: 0.25\n"
                        << "link_mbps: " << link_mbps << "\n"
                        << "grace_ms: 6000\nlongest_run_lease_ms: 10000\n"
                        << "keep_finished_ms: 120000\nbackup_share: 0.1\n"
                        << "machine_holder_lease_ms: 3000\n"
                        << "max_held_submissions: 200\nset_aside_share: 0.1\n";
    const std::string log = setting_.folder + "/" + name + ".log";
    instance.pid = fork();
    if (instance.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int other = 3; other < 4096; ++other) {
        close(other);
      }
      setenv("DOORWOOD_SETTINGS", file.c_str(), 1);
      execl(setting_.celld.c_str(), setting_.celld.c_str(), nullptr);
      _exit(127);
    }
    record_.Write("instance " + name + " starts");
  }

  std::string Front(const std::string& name) const {
    return instances_.at(name).ip + ":8161";
  }

  /// Waits until the instance says that it is ready.
  asio::awaitable<bool> AwaitReady(std::string name, int64_t limit_ms) {
    const int64_t end = NowMs() + limit_ms;
    while (NowMs() < end) {
      const Reply reply = co_await Call(instances_.at(name).ip + ":8167", "GET",
                                        "/ready", "ready", "", 500);
      if (reply.status == 200) {
        co_return true;
      }
      co_await Sleep(100);
    }
    record_.Write("instance " + name + " is not ready in time");
    co_return false;
  }
  SubmittedJob& AddJob(const std::string& prefix,
                       std::vector<Step> steps,
                       const std::string& spec = "work") {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(0x5c0e7a2100000000ULL +
                                                  world_.jobs.size() + 1));
    SubmittedJob job;
    job.id = id;
    job.prefix = prefix;
    job.spec = spec;
    job.steps = std::move(steps);
    return world_.jobs[id] = std::move(job);
  }

  /// Hands the job in until it is taken or `limit_ms` have passed, as a
  /// requester does.
  asio::awaitable<bool> Submit(std::string id,
                               std::string instance,
                               int64_t limit_ms) {
    SubmittedJob& job = world_.jobs.at(id);
    const int64_t end = NowMs() + limit_ms;
    int last = -1;
    while (NowMs() < end) {
      const Reply reply =
          co_await Call(Front(instance), "POST", job.prefix + id, kHost,
                        job.Body().dump(), 3000);
      if (reply.status != last) {
        record_.Write("POST " + id + " at " + instance + ": " +
                      std::to_string(reply.status));
        last = reply.status;
      }
      if (reply.status >= 200 && reply.status < 300) {
        job.accepted = NowMs();
        co_return true;
      }
      co_await Sleep(300);
    }
    co_return false;
  }

  asio::awaitable<Reply> Get(std::string instance, std::string path) {
    const Reply reply =
        co_await Call(Front(instance), "GET", path, kHost, "", 2000);
    co_return reply;
  }

  asio::awaitable<std::string> State(std::string instance, std::string id) {
    const Reply reply = co_await Get(instance, world_.jobs.at(id).prefix + id);
    if (reply.status == 200 && reply.body.is_object()) {
      co_return reply.body.value("state", "");
    }
    co_return std::to_string(reply.status);
  }

 private:
  struct Instance {
    std::string ip;
    pid_t pid = 0;
  };

  const Setting& setting_;
  Record& record_;
  asio::io_context io_;
  Store store_;
  Adviser adviser_;
  World world_;
  std::set<std::string> advised_;
  std::map<std::string, Instance> instances_;
  int64_t config_version_ = 0;
};

std::vector<std::string> OneRack(int index) {
  return {"a", "r1-" + std::to_string(index / 8)};
}

struct NotPlayed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using Case = asio::awaitable<void> (*)(Deployment&, bool trouble);

// A gang whose starts take longer on the machine's link than a start may wait.
asio::awaitable<void> PlayGang(Deployment& d, bool trouble) {
  const double link_mbps = trouble ? 10 : 1000;
  d.Begin({{"r-1", "/lohu930/"}}, 24, OneRack);
  d.StartInstance("edge-plaka-1", link_mbps);
  if (!co_await d.AwaitReady("edge-plaka-1", 15'000)) {
    throw NotPlayed("no instance is ready");
  }
  co_await Sleep(kContactMs);
  Step step;
  step.count = 160;
  step.cpu = 1000;
  step.mem = 500;
  step.work_ms = 2700;
  step.gang = true;
  const std::string id =
      d.AddJob("/lohu930/", {step}, std::string(4000, 'x')).id;
  if (!co_await d.Submit(id, "edge-plaka-1", 10'000)) {
    throw NotPlayed("the job was not taken");
  }
  const int64_t end = NowMs() + 20'000;
  std::string state;
  while (NowMs() < end && state != "completed") {
    co_await Sleep(500);
    state = co_await d.State("edge-plaka-1", id);
  }
  d.record().Write("GET " + id + ": " + state);
}

// Jobs that only one worker may run, and that worker answers 503 to all starts.
asio::awaitable<void> PlayPending(Deployment& d, bool trouble) {
  d.Begin({{"r-1", "/lohu930/"}}, 10, [](int index) {
    return std::vector<std::string>{index == 9 ? "b" : "a",
                                    "r1-" + std::to_string(index / 8)};
  });
  d.StartInstance("edge-plaka-1");
  d.StartInstance("edge-plaka-2");
  if (!co_await d.AwaitReady("edge-plaka-1", 15'000) ||
      !co_await d.AwaitReady("edge-plaka-2", 15'000)) {
    throw NotPlayed("no instance is ready");
  }
  co_await Sleep(kContactMs);
  Worker& grey = *d.world().workers[9];
  const int64_t grey_until = NowMs() + 6500;
  if (trouble) {
    d.record().Write("worker " + grey.id() + " begins to fail all starts");
    grey.set_refuses_starts(true);
  }
  std::vector<std::string> ids;
  for (int i = 0; i < 6; ++i) {
    Step step;
    step.work_ms = 2700;
    step.label = "b";
    ids.push_back(d.AddJob("/lohu930/", {step}).id);
    asio::co_spawn(
        d.io(),
        [&d, id = ids.back()]() -> asio::awaitable<void> {
          co_await d.Submit(id, "edge-plaka-1", 3000);
        },
        asio::detached);
  }
  const int64_t end = NowMs() + 11'000;
  while (NowMs() < end) {
    if (NowMs() >= grey_until) {
      grey.set_refuses_starts(false);
    }
    for (const char* instance : {"edge-plaka-1", "edge-plaka-2"}) {
      const int64_t asked = NowMs();
      const Reply reply = co_await d.Get(instance, "/lohu930/");
      if (reply.status != 200 || !reply.body.is_object()) {
        continue;
      }
      const int pending = reply.body.value("pending", -1);
      int waiting = 0;
      for (const std::string& id : ids) {
        const SubmittedJob& job = d.world().jobs.at(id);
        const bool is_old =
            job.accepted > 0 && asked - job.accepted > kVisibleMs + 2000;
        waiting += is_old && !job.begun ? 1 : 0;
      }
      d.record().Write("GET /lohu930/ at " + std::string(instance) +
                       ": pending " + std::to_string(pending) + "; " +
                       std::to_string(waiting) +
                       " jobs were accepted over 5 s before and have not "
                       "begun");
      if (2 * pending < waiting) {
        d.record().Break("MIXED", "pending " + std::to_string(pending) +
                                      " for " + std::to_string(waiting) +
                                      " jobs that have not begun");
      }
    }
    co_await Sleep(200);
  }
  for (const std::string& id : ids) {
    if (d.world().jobs.at(id).accepted == 0) {
      throw NotPlayed("a job was not taken");
    }
  }
}

// Many jobs of a queue with advice come at once.
asio::awaitable<void> PlayAdvice(Deployment& d, bool trouble) {
  d.Begin({{"r-1", "/lohu930/", 4, true, 100, 22, 3000}}, 30, OneRack);
  d.StartInstance("edge-plaka-1");
  if (!co_await d.AwaitReady("edge-plaka-1", 15'000)) {
    throw NotPlayed("no instance is ready");
  }
  co_await Sleep(kContactMs);
  std::vector<std::string> ids;
  constexpr int kJobs = 24;
  for (int i = 0; i < kJobs; ++i) {
    Step step;
    step.work_ms = 640;
    ids.push_back(d.AddJob("/lohu930/", {step}).id);
    if (!co_await d.Submit(ids.back(), "edge-plaka-1", 10'000)) {
      throw NotPlayed("a job was not taken");
    }
    co_await Sleep(trouble ? 0 : 2000);
  }
  const int64_t traffic_end = NowMs();
  std::map<std::string, int64_t> idle_since;
  std::set<std::string> broken;
  while (NowMs() < traffic_end + (trouble ? 40'000 : 25'000)) {
    co_await Sleep(100);
    for (const std::string& id : ids) {
      bool runs = !d.world().jobs.at(id).done.empty();
      for (const auto& worker : d.world().workers) {
        runs = runs || worker->Runs(id + ".0.0.0");
      }
      if (runs) {
        idle_since.erase(id);
        continue;
      }
      const int64_t since = idle_since.try_emplace(id, NowMs()).first->second;
      if (NowMs() > traffic_end + kFinishMs && NowMs() - since >= 3000 &&
          broken.insert(id).second) {
        d.record().Break("LOST", "job " + id + " has had nothing running for " +
                                     std::to_string(NowMs() - since) +
                                     " ms; no worker has more than one of its "
                                     "32 cores in use");
      }
    }
  }
  int done = 0;
  for (const std::string& id : ids) {
    done += d.world().jobs.at(id).done.empty() ? 0 : 1;
  }
  d.record().Write(std::to_string(done) + " of " + std::to_string(kJobs) +
                   " jobs are done; the adviser has answered " +
                   std::to_string(d.adviser().calls()) + " calls");
}

// A worker with one of eight lasting tasks of a step with `sameRack` is lost
// for good; its rack has no other place for the task, the next racks are empty.
asio::awaitable<void> PlayRack(Deployment& d, bool trouble) {
  d.Begin({{"r-1", "/lohu930/"}}, 24, OneRack);
  d.StartInstance("edge-plaka-1");
  d.StartInstance("edge-plaka-2");
  if (!co_await d.AwaitReady("edge-plaka-1", 15'000) ||
      !co_await d.AwaitReady("edge-plaka-2", 15'000)) {
    throw NotPlayed("no instance is ready");
  }
  co_await Sleep(kContactMs);
  Step step;
  step.count = 8;
  step.cpu = 6400;
  step.work_ms = 0;
  step.same_rack = true;
  step.anti_affinity = 1;
  const std::string id = d.AddJob("/lohu930/", {step}).id;
  if (!co_await d.Submit(id, "edge-plaka-1", 10'000)) {
    throw NotPlayed("the job was not taken");
  }
  co_await Sleep(5000);
  const auto runs = [&d](const std::string& task) {
    return std::any_of(
        d.world().workers.begin(), d.world().workers.end(),
        [&task](const auto& worker) { return worker->Runs(task); });
  };
  std::map<std::string, int64_t> last_run;
  for (int i = 0; i < step.count; ++i) {
    const std::string task = id + ".0.0." + std::to_string(i);
    if (!runs(task)) {
      throw NotPlayed(task + " does not run");
    }
    last_run[task] = NowMs();
  }
  if (trouble) {
    for (const auto& worker : d.world().workers) {
      if (worker->Runs(id + ".0.0.3")) {
        worker->Crash();
        break;
      }
    }
  }
  const int64_t end = NowMs() + 20'000;
  std::set<std::string> broken;
  while (NowMs() < end) {
    co_await Sleep(100);
    for (auto& [task, at] : last_run) {
      if (runs(task)) {
        at = NowMs();
      } else if (NowMs() - at >= kLastingMs && broken.insert(task).second) {
        d.record().Break("LOST",
                         task +
                             " is to last and has not run for 9 s, with "
                             "16 empty workers");
      }
    }
  }
  for (const auto& [task, at] : last_run) {
    if (NowMs() - at > 1000) {
      d.record().Write(task + " has not run for " +
                       std::to_string(NowMs() - at) + " ms at the end");
    }
  }
}

}  // namespace

int Play(const Setting& setting, const std::string& record_file) {
  const std::map<std::string, Case> cases = {{"gang", PlayGang},
                                             {"pending", PlayPending},
                                             {"advice", PlayAdvice},
                                             {"rack", PlayRack}};
  const auto found = cases.find(setting.name);
  if (found == cases.end()) {
    std::cerr << "no case " << setting.name << "\n";
    return 2;
  }
  Record record(record_file);
  record.Write("case " + setting.name +
               (setting.trouble ? "" : ", without the disruption"));
  Deployment deployment(setting, record);
  int code = 2;
  asio::co_spawn(
      deployment.io(),
      [&]() -> asio::awaitable<void> {
        co_await found->second(deployment, setting.trouble);
      },
      [&](std::exception_ptr error) {
        try {
          if (error) {
            std::rethrow_exception(error);
          }
          code = record.broken().empty() ? 0 : 1;
        } catch (const std::exception& problem) {
          record.Write(std::string("not played: ") + problem.what());
          std::cerr << "not played: " << problem.what() << "\n";
        }
        deployment.io().stop();
      });
  deployment.io().run();
  for (const auto& [rule, times] : record.broken()) {
    std::cout << rule << " broken " << times << " times\n";
  }
  record.Write(code == 0   ? "all rules held"
               : code == 1 ? "a rule was broken"
                           : "not played");
  return code;
}

}  // namespace review
