// SPDX-License-Identifier: Apache-2.0

/// \file
/// Entry instances and workers connected by the fakes, and the invariants that
/// must hold under all faults. It adds no simulation of its own to the fakes.

#ifndef DOORWOOD_FAKES_WORLD_H_
#define DOORWOOD_FAKES_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fakes.h"

namespace doorwood::fakes {

struct WorldOptions {
  std::vector<std::string> data_centres = {"plaka"};
  int entries = 2;
  int workers = 3;
  bool workers_check_epoch = true;
  uint64_t seed = 1;
  Resources capacity{4000, 8192, 1};
};

class World {
 public:
  /// One entry instance with its ports.
  struct Entry {
    std::string id;
    std::unique_ptr<FakeExecutor> executor;
    std::unique_ptr<FakeKv> kv;
    std::unique_ptr<FakeWorkers> workers;
    std::unique_ptr<FakePeers> peers;
    std::unique_ptr<FakeDirectory> directory;
    std::unique_ptr<PlacementPolicy> policy;
    FakeRoutes routes;
    std::unique_ptr<FakeLog> log;
    std::unique_ptr<Instance> instance;
  };

  explicit World(const WorldOptions& options);

  /// Starts an instance; after `Kill`, as a new process.
  void Start(const std::string& id);
  void StartAll();
  /// Ends the process at once, like SIGKILL.
  void Kill(const std::string& id);
  void Freeze(const std::string& id) { EntryOf(id).executor->Freeze(); }
  void Thaw(const std::string& id) { EntryOf(id).executor->Thaw(); }
  /// Set the fault injected into all calls to the store, or to one worker, of
  /// the instances that run now. Instances that start later get no fault.
  void SetKvFault(Fault fault);
  void SetWorkerFault(const std::string& worker, Fault fault);
  /// Removes an instance or worker from the platform's list, or marks it as
  /// leaving there.
  void RemoveFromList(const std::string& id);
  void MarkLeaving(const std::string& id);

  void Run(Millis duration) { time_.Run(duration); }
  /// Runs until `condition` holds; returns false if it does not within `limit`.
  bool RunUntil(Millis limit, const std::function<bool()>& condition);

  /// Calls an operator method at an instance and runs until it is answered;
  /// returns status 0 if there is no answer within 20 s.
  OperatorReply CallOperatorMethod(const std::string& id,
                                   const std::string& method,
                                   const Json& body);
  /// Applies a configuration with the member "museum".
  void Configure(const std::string& id);
  /// Submits a manifest of `count` tasks and returns the id of the job; empty
  /// if it is refused.
  std::string Submit(const std::string& id,
                     int count,
                     const std::string& payload,
                     const std::string& more = "");
  Json JobStatus(const std::string& id, const std::string& job);
  std::string JobPhase(const std::string& id, const std::string& job);

  bool IsRunning(const std::string& id) const { return entries_.contains(id); }
  Entry& EntryOf(const std::string& id) { return *entries_.at(id); }
  FakeNetwork& network() { return network_; }
  VirtualTime& time() { return time_; }
  standin::KvModel& store() { return kv_; }
  standin::WorkerModel& worker(const std::string& id) { return *fleet_.at(id); }

  Trace& trace() { return trace_; }

  /// Violations so far, derived from the events of the workers alone.
  const std::vector<std::string>& violations();
  const std::vector<standin::WorkerEvent>& events() const { return events_; }
  /// Reply bodies of the submissions that did not get status 200.
  const std::vector<std::string>& rejections() const { return rejections_; }
  int StartCount(const std::string& task_name) const;
  int SuccessCount(const std::string& task_name) const;
  /// The instance to which the worker last granted its lease; empty if none.
  std::string LeaseHolderOf(const std::string& worker) const;

 private:
  void OnEvent(const standin::WorkerEvent& event);
  InstanceOptions OptionsFor(const std::string& id);

  WorldOptions options_;
  VirtualTime time_;
  standin::KvModel kv_;
  FakeFleet fleet_;
  FakeNetwork network_;
  std::vector<InstanceInfo> list_;
  std::map<std::string, std::unique_ptr<Entry>> entries_;
  // Killed processes are kept because their callbacks may still be queued.
  std::vector<std::unique_ptr<Entry>> killed_entries_;
  uint64_t incarnation_ = 0;
  std::vector<standin::WorkerEvent> events_;
  std::map<TaskId, std::string> running_;
  std::vector<std::string> violations_;
  std::vector<std::string> rejections_;
  Trace trace_;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_WORLD_H_
