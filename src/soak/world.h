// SPDX-License-Identifier: Apache-2.0

/// \file
/// Entry instances as real processes, and everything that they communicate
/// with: the store, the workers and the network links between them.

#ifndef DOORWOOD_SOAK_WORLD_H_
#define DOORWOOD_SOAK_WORLD_H_

#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/executor.h"
#include "platform/standin/soak_store.h"
#include "platform/standin/soak_worker.h"
#include "soak/child.h"
#include "soak/link.h"
#include "soak/task_checker.h"

namespace doorwood::soak {

inline constexpr size_t kDataCentres = 3;
/// Time between the signal for a planned stop and forced termination.
inline constexpr Millis kGrace{6000};

struct WorldOptions {
  std::string program;
  std::string folder;
  size_t instances = 8;
  /// Workers that serve at a time; the same number of spare ones replaces them.
  size_t workers = 24;
  /// Third octet of all addresses; concurrent soaks need different ones.
  int block = 1;
};

/// Network links that are cut and healed together.
using Links = std::vector<Link*>;

class World {
 public:
  World(boost::asio::io_context& context,
        Executor& executor,
        const WorldOptions& options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void StartAll();
  /// Milliseconds since construction.
  int64_t Now() const;
  /// Writes a line to world.log.
  void Log(const std::string& line);
  /// Reports a violation at once and counts it.
  void ReportViolation(const std::string& sentence);
  size_t violations() const { return violations_; }

  size_t instances() const { return instances_.size(); }
  /// All workers, including spare ones that do not serve at present.
  size_t workers() const { return workers_.size(); }
  size_t serving() const { return options_.workers; }
  static size_t DataCentreOf(size_t index) { return index % kDataCentres; }
  static std::string NameOf(size_t instance);
  /// Address, as host:port, of the HTTP front end of the instance.
  std::string FrontAddressOf(size_t instance) const;
  bool IsUp(size_t instance) const {
    return instances_[instance]->child.IsRunning();
  }
  /// The instance that the leader key in the store names.
  std::optional<size_t> Leader() const;

  // --- Links ---
  Links StoreLinks(size_t instance) const;
  Links WorkerLinks(size_t instance, size_t worker) const;
  /// From the instances of a data centre to workers in other ones.
  Links LinksToWorkersInOtherDataCentres(size_t centre) const;
  /// Between two instances, both directions.
  Links PeerLinks(size_t a, size_t b) const;
  /// Between an instance and all others.
  Links PeerLinks(size_t instance) const;
  /// All links between the data centre and the rest, which includes the store.
  Links LinksAcrossDataCentre(size_t centre) const;
  /// All links of an instance.
  Links AllLinks(size_t instance) const;

  // --- Processes ---
  /// Kill, Stop and Pause return false if the process does not run, or if a
  /// planned stop or another fault of it is under way.
  bool Kill(size_t instance);
  bool Stop(size_t instance);
  bool Pause(size_t instance);
  void Resume(size_t instance);

  /// Rewrites the settings file and sends SIGHUP.
  bool ReloadSettings(size_t instance);
  /// Number of restarts of the instance's process.
  int RestartsOf(size_t instance) const {
    return instances_[instance]->restarts;
  }

  // --- Configuration ---
  /// Puts the next version into the store.
  void Configure();
  int config_version() const { return config_version_; }
  /// When that version was stored; see `Now`.
  int64_t configured_at() const { return configured_at_; }

  // --- Workers ---
  void CrashWorker(size_t worker);
  void StartWorker(size_t worker);
  /// After the delay `after`, crashes the worker if `incarnation` still runs,
  /// as a task would; the machine starts another incarnation some seconds
  /// later.
  void CrashForTask(size_t worker,
                    const std::string& incarnation,
                    Millis after);
  /// Marks the worker's directory entry as draining.
  void AnnounceLeaving(size_t worker);
  /// Removes the directory entry of a worker incarnation.
  void RemoveEntry(const std::string& id);
  const std::string& WorkerId(size_t worker) const {
    return workers_[worker]->id();
  }

  platform::SoakStore& store() { return store_; }
  TaskChecker& task_checker() { return task_checker_; }
  const TaskChecker& task_checker() const { return task_checker_; }
  boost::asio::io_context& context() { return context_; }
  Executor& executor() { return executor_; }
  void After(Millis time, std::function<void()> function) {
    executor_.Schedule(time, std::move(function));
  }
  /// Stops all processes; reports those that take too long as violations.
  void StopAll(std::function<void()> done);

 private:
  struct Instance {
    Instance(std::string program, std::string settings, std::string log)
        : child(std::move(program), std::move(settings), std::move(log)) {}

    Child child;
    int restarts = 0;
    /// The process was signalled to exit, so its exit is expected.
    bool is_ending = false;
    bool paused = false;
    /// Start of a planned stop; 0: none.
    int64_t stop_since = 0;
    std::unique_ptr<Link> store;
    std::vector<std::unique_ptr<Link>> workers;
    /// To each other instance; null for itself.
    std::vector<std::unique_ptr<Link>> peers;
  };

  std::string Host(int caller, size_t number) const;
  std::string WriteSettings(size_t instance) const;
  void AddWorker(size_t worker);
  void AddInstance(size_t instance);
  void AdvanceWorkers();
  void ResetLinksTo(size_t worker);
  void Tick();
  void Supervise(size_t instance);
  void Restart(size_t instance);
  void AwaitProcessExits(const std::function<void()>& done);

  boost::asio::io_context& context_;
  Executor& executor_;
  const WorldOptions options_;
  const Instant began_;
  std::ofstream log_;
  TaskChecker task_checker_;
  platform::SoakStore store_;
  std::vector<std::unique_ptr<platform::SoakWorker>> workers_;
  std::vector<std::unique_ptr<Instance>> instances_;
  int config_version_ = 1;
  int64_t configured_at_ = 0;
  bool ending_ = false;
  size_t violations_ = 0;
};

}  // namespace doorwood::soak

#endif  // DOORWOOD_SOAK_WORLD_H_
