// SPDX-License-Identifier: Apache-2.0

#include "soak/world.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <utility>

#include "doorwood/json_codec.h"
#include "doorwood/live_directory.h"
#include "platform/standin/soak_messages.h"

namespace doorwood::soak {
namespace {

// From the crash of a worker by a task to the removal of its directory entry,
// and to the start of the worker's next incarnation.
constexpr Millis kEntryRemovalDelay{800};
constexpr Millis kWorkerRestartDelay{2500};
constexpr const char* kDataCentreNames[kDataCentres] = {"plaka", "kerameikos",
                                                        "pireas"};
constexpr char kCell[] = "all";
constexpr Millis kTick{20};
constexpr Millis kRestartAfter{600};
constexpr Millis kGraceSlack{150};
// A caller reaches a server at 127.CALLER.BLOCK.NUMBER, the address of the link
// between the two. Instance i is caller kFirstCaller + i and itself listens at
// 127.(kFirstCaller + i).BLOCK.(kFirstInstance + i).
constexpr int kFirstCaller = 30;
// Takes the place of the caller in the addresses on which the workers and the
// endpoints of the store listen. The values in the store use these addresses;
// the endpoints translate them to and from those of the calling instance.
constexpr int kServerSide = 29;
constexpr size_t kFirstWorker = 1;
constexpr size_t kFirstInstance = 200;
constexpr size_t kStoreNumber = 250;
constexpr size_t kFirstStoreEndpoint = 220;
constexpr int kWorkerPort = 8200;
constexpr int kStorePort = 8169;
constexpr int kPeerPort = 8166;
constexpr int kFrontPort = 8161;
constexpr int kReadyPort = 8167;
constexpr int kMetricsPort = 8168;
// The clocks of workers run slow by up to this fraction.
constexpr double kMaxClockLag = 0.02;

std::string AddressOf(const std::string& host, int port) {
  return host + ":" + std::to_string(port);
}

void Append(Links* links, const Links& more) {
  links->insert(links->end(), more.begin(), more.end());
}

}  // namespace

World::World(boost::asio::io_context& context,
             Executor& executor,
             const WorldOptions& options)
    : context_(context),
      executor_(executor),
      options_(options),
      began_(BootClock::now()),
      log_(options.folder + "/world.log"),
      task_checker_(
          [this](const std::string& sentence) { ReportViolation(sentence); }),
      store_(context, executor, [this] { return Now(); }) {
  store_.Put(platform::kSoakConfigKey,
             platform::EncodeSoakConfig(config_version_));
  for (size_t worker = 0; worker < 2 * options.workers; ++worker) {
    AddWorker(worker);
  }
  for (size_t instance = 0; instance < options.instances; ++instance) {
    AddInstance(instance);
  }
}

int64_t World::Now() const {
  return std::chrono::duration_cast<Millis>(BootClock::now() - began_).count();
}

// A line begins with the time of day in the format of the instances' logs.
void World::Log(const std::string& line) {
  constexpr int64_t kPerSecond = 1000;
  const int64_t unix_ms =
      std::chrono::duration_cast<Millis>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  const std::time_t seconds = unix_ms / kPerSecond;
  log_ << std::put_time(std::gmtime(&seconds), "%FT%T.") << std::setfill('0')
       << std::setw(3) << unix_ms % kPerSecond << "Z " << Now() << " " << line
       << std::endl;
}

void World::ReportViolation(const std::string& sentence) {
  ++violations_;
  Log("VIOLATION " + sentence);
  std::cout << Now() << " ms: " << sentence << std::endl;
}

std::string World::Host(int caller, size_t number) const {
  return "127." + std::to_string(caller) + "." +
         std::to_string(options_.block) + "." + std::to_string(number);
}

std::string World::NameOf(size_t instance) {
  return "entry-" + std::to_string(instance + 1);
}

std::string World::FrontAddressOf(size_t instance) const {
  const int caller = kFirstCaller + static_cast<int>(instance);
  return AddressOf(Host(caller, kFirstInstance + instance), kFrontPort);
}

// --- Setting up ---

void World::AddWorker(size_t worker) {
  const double clock_rate =
      1 - kMaxClockLag * static_cast<double>(worker % 3) / 2;
  workers_.push_back(std::make_unique<platform::SoakWorker>(
      context_, executor_,
      AddressOf(Host(kServerSide, kFirstWorker + worker), kWorkerPort),
      "worker-" + std::to_string(worker + 1), clock_rate,
      [this] { return Now(); }, task_checker_, [this] { AdvanceWorkers(); },
      [this, worker](const std::string& incarnation, Millis after) {
        CrashForTask(worker, incarnation, after);
      }));
  if (worker < options_.workers) {
    StartWorker(worker);
  } else {
    workers_.back()->Crash();
  }
}

void World::AddInstance(size_t instance) {
  const int caller = kFirstCaller + static_cast<int>(instance);
  auto added = std::make_unique<Instance>(
      options_.program, WriteSettings(instance),
      options_.folder + "/" + NameOf(instance) + ".log");
  const std::string endpoint =
      AddressOf(Host(kServerSide, kFirstStoreEndpoint + instance), kStorePort);
  store_.AddEndpoint(
      endpoint, Host(caller, 0).substr(0, Host(caller, 0).size() - 1),
      Host(kServerSide, 0).substr(0, Host(kServerSide, 0).size() - 1));
  added->store = std::make_unique<Link>(
      context_, AddressOf(Host(caller, kStoreNumber), kStorePort), endpoint);
  for (size_t worker = 0; worker < workers(); ++worker) {
    const size_t number = kFirstWorker + worker;
    added->workers.push_back(std::make_unique<Link>(
        context_, AddressOf(Host(caller, number), kWorkerPort),
        AddressOf(Host(kServerSide, number), kWorkerPort)));
  }
  for (size_t peer = 0; peer < options_.instances; ++peer) {
    const size_t number = kFirstInstance + peer;
    const int callee = kFirstCaller + static_cast<int>(peer);
    added->peers.push_back(
        peer == instance
            ? nullptr
            : std::make_unique<Link>(
                  context_, AddressOf(Host(caller, number), kPeerPort),
                  AddressOf(Host(callee, number), kPeerPort)));
  }
  instances_.push_back(std::move(added));
}

std::string World::WriteSettings(size_t instance) const {
  const int caller = kFirstCaller + static_cast<int>(instance);
  const std::string host = Host(caller, kFirstInstance + instance);
  std::string path = options_.folder + "/" + NameOf(instance) + ".yaml";
  std::ofstream file(path);
  file << "instance: " << NameOf(instance) << "\n"
       << "data_centre: " << kDataCentreNames[DataCentreOf(instance)] << "\n"
       << "front: " << AddressOf(host, kFrontPort) << "\n"
       << "ready: " << AddressOf(host, kReadyPort) << "\n"
       << "peer: " << AddressOf(host, kPeerPort) << "\n"
       << "metrics: " << AddressOf(host, kMetricsPort) << "\n"
       << "store: " << AddressOf(Host(caller, kStoreNumber), kStorePort) << "\n"
       << "grace_ms: " << kGrace.count() << "\n";
  return path;
}

void World::StartAll() {
  for (size_t i = 0; i < instances(); ++i) {
    if (!instances_[i]->child.Start()) {
      ReportViolation("can't start " + options_.program);
    }
  }
  Tick();
}

// --- Periodic work ---

void World::AdvanceWorkers() {
  for (const auto& worker : workers_) {
    worker->Advance();
  }
}

void World::Tick() {
  AdvanceWorkers();
  for (size_t i = 0; i < instances(); ++i) {
    Supervise(i);
  }
  if (!ending_) {
    task_checker_.CheckLongRunning(Now());
  }
  After(kTick, [this] { Tick(); });
}

void World::Supervise(size_t index) {
  Instance& instance = *instances_[index];
  const bool late =
      instance.stop_since > 0 &&
      Now() - instance.stop_since > (kGrace + kGraceSlack).count();
  if (late) {
    ReportViolation(NameOf(index) + " has not exited within its grace time");
    instance.stop_since = 0;
    instance.child.Signal(SIGKILL);
  }
  int status = 0;
  if (!instance.child.ReapIfEnded(&status)) {
    return;
  }
  Log(NameOf(index) + " has exited, waitpid status " + std::to_string(status));
  if (!instance.is_ending || (instance.stop_since > 0 && status != 0)) {
    ReportViolation(NameOf(index) +
                    " exited unexpectedly or with an error, waitpid status " +
                    std::to_string(status));
  }
  instance.is_ending = true;
  instance.stop_since = 0;
  if (!ending_) {
    After(kRestartAfter, [this, index] { Restart(index); });
  }
}

void World::Restart(size_t instance) {
  if (!ending_ && instances_[instance]->child.Start()) {
    instances_[instance]->is_ending = false;
    ++instances_[instance]->restarts;
    Log(NameOf(instance) + " is restarted");
  }
}

void World::StopAll(std::function<void()> done) {
  ending_ = true;
  for (size_t i = 0; i < instances(); ++i) {
    Stop(i);
  }
  AwaitProcessExits(done);
}

void World::AwaitProcessExits(const std::function<void()>& done) {
  const auto runs = [](const auto& instance) {
    return instance->child.IsRunning();
  };
  if (std::none_of(instances_.begin(), instances_.end(), runs)) {
    done();
    return;
  }
  After(kTick, [this, done] { AwaitProcessExits(done); });
}

// --- Faults ---

std::optional<size_t> World::Leader() const {
  const auto lead = ParseJson(store_.ReadValue(LeadKey(kCell)));
  if (!lead) {
    return std::nullopt;
  }
  const std::string name = lead->value("instance", "");
  for (size_t i = 0; i < instances(); ++i) {
    if (NameOf(i) == name) {
      return i;
    }
  }
  return std::nullopt;
}

Links World::StoreLinks(size_t instance) const {
  return {instances_[instance]->store.get()};
}

Links World::WorkerLinks(size_t instance, size_t worker) const {
  return {instances_[instance]->workers[worker].get()};
}

Links World::PeerLinks(size_t a, size_t b) const {
  return {instances_[a]->peers[b].get(), instances_[b]->peers[a].get()};
}

Links World::PeerLinks(size_t instance) const {
  Links links;
  for (size_t peer = 0; peer < instances(); ++peer) {
    if (peer != instance) {
      Append(&links, PeerLinks(instance, peer));
    }
  }
  return links;
}

Links World::LinksToWorkersInOtherDataCentres(size_t centre) const {
  Links links;
  for (size_t i = 0; i < instances(); ++i) {
    for (size_t worker = 0; worker < workers(); ++worker) {
      if (DataCentreOf(i) == centre && DataCentreOf(worker) != centre) {
        Append(&links, WorkerLinks(i, worker));
      }
    }
  }
  return links;
}

Links World::LinksAcrossDataCentre(size_t centre) const {
  Links links;
  for (size_t i = 0; i < instances(); ++i) {
    const bool inside = DataCentreOf(i) == centre;
    if (inside) {
      Append(&links, StoreLinks(i));
    }
    for (size_t worker = 0; worker < workers(); ++worker) {
      if (inside != (DataCentreOf(worker) == centre)) {
        Append(&links, WorkerLinks(i, worker));
      }
    }
    for (size_t peer = 0; peer < i; ++peer) {
      if (inside != (DataCentreOf(peer) == centre)) {
        Append(&links, PeerLinks(i, peer));
      }
    }
  }
  return links;
}

Links World::AllLinks(size_t instance) const {
  Links links = StoreLinks(instance);
  for (size_t worker = 0; worker < workers(); ++worker) {
    Append(&links, WorkerLinks(instance, worker));
  }
  Append(&links, PeerLinks(instance));
  return links;
}

bool World::Kill(size_t index) {
  Instance& instance = *instances_[index];
  if (!instance.child.IsRunning() || instance.is_ending || instance.paused) {
    return false;
  }
  instance.is_ending = true;
  instance.child.Signal(SIGKILL);
  return true;
}

bool World::Stop(size_t index) {
  Instance& instance = *instances_[index];
  if (!instance.child.IsRunning() || instance.is_ending || instance.paused) {
    return false;
  }
  instance.is_ending = true;
  instance.stop_since = Now();
  instance.child.Signal(SIGTERM);
  return true;
}

bool World::Pause(size_t index) {
  Instance& instance = *instances_[index];
  if (!instance.child.IsRunning() || instance.is_ending || instance.paused) {
    return false;
  }
  instance.paused = true;
  instance.child.Signal(SIGSTOP);
  return true;
}

void World::Resume(size_t index) {
  instances_[index]->paused = false;
  instances_[index]->child.Signal(SIGCONT);
}

bool World::ReloadSettings(size_t index) {
  Instance& instance = *instances_[index];
  if (!instance.child.IsRunning() || instance.is_ending || instance.paused) {
    return false;
  }
  WriteSettings(index);
  instance.child.Signal(SIGHUP);
  return true;
}

void World::Configure() {
  ++config_version_;
  configured_at_ = Now();
  Log("configuration " + std::to_string(config_version_));
  store_.Put(platform::kSoakConfigKey,
             platform::EncodeSoakConfig(config_version_));
}

void World::ResetLinksTo(size_t worker) {
  for (const auto& instance : instances_) {
    instance->workers[worker]->Reset();
  }
}

void World::CrashWorker(size_t worker) {
  workers_[worker]->Crash();
  ResetLinksTo(worker);
}

void World::StartWorker(size_t worker) {
  if (!workers_[worker]->up()) {
    workers_[worker]->Start();
  }
  store_.Put(
      platform::SoakWorkerKey(workers_[worker]->id()),
      platform::EncodeSoakWorker(
          AddressOf(Host(kServerSide, kFirstWorker + worker), kWorkerPort),
          kDataCentreNames[DataCentreOf(worker)], /*draining=*/false,
          workers_[worker]->started_at()));
}

void World::CrashForTask(size_t worker,
                         const std::string& incarnation,
                         Millis after) {
  After(after, [this, worker, incarnation] {
    if (!workers_[worker]->up() || WorkerId(worker) != incarnation) {
      return;
    }
    Log(incarnation + " is crashed by a task");
    task_checker_.OnFaultBegins();
    task_checker_.OnCrashed(incarnation);
    CrashWorker(worker);
    task_checker_.OnFaultEnds(Now());
    After(kEntryRemovalDelay,
          [this, incarnation] { RemoveEntry(incarnation); });
    After(kWorkerRestartDelay, [this, worker, incarnation] {
      if (!workers_[worker]->up() && WorkerId(worker) == incarnation) {
        StartWorker(worker);
      }
    });
  });
}

void World::AnnounceLeaving(size_t worker) {
  store_.Put(
      platform::SoakWorkerKey(workers_[worker]->id()),
      platform::EncodeSoakWorker(
          AddressOf(Host(kServerSide, kFirstWorker + worker), kWorkerPort),
          kDataCentreNames[DataCentreOf(worker)], /*draining=*/true,
          workers_[worker]->started_at()));
}

void World::RemoveEntry(const std::string& id) {
  store_.Remove(platform::SoakWorkerKey(id));
}

}  // namespace doorwood::soak
