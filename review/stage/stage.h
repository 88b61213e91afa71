// SPDX-License-Identifier: Apache-2.0

/// \file
/// A small deployment for the cases of the review: the platform's store, its
/// machines, workers, an operator and a requester in this process, and entry
/// instances as processes of their own, started with the commands of the deploy
/// file on loopback addresses.
///
/// The stand-ins do what the platform's pages say. Store and workers use the
/// project's own models (src/standin).

#ifndef REVIEW_STAGE_H_
#define REVIEW_STAGE_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "doorwood/json_codec.h"
#include "loop.adapter/http_client.h"
#include "loop.adapter/http_server.h"
#include "loop.adapter/loop_executor.h"
#include "standin/record_store_model.h"
#include "standin/run_worker_model.h"

namespace review {

using doorwood::Json;
using doorwood::Millis;

/// Bounds of the site that the settings and the stand-ins follow.
struct Bounds {
  int grace_s = 6;
  int max_hold_ms = 10'000;
  int stop_ms = 900;
  int status_s = 120;
  int lease_ms = 3'000;
  int beat_ms = 1'500;
  int memory_mb = 260;
  int upkeep_ms = 2'000;
};

/// Result of a call of the requester. Status 0: no answer.
struct Answer {
  int status = 0;
  std::string body;
};

class Stage;

/// A worker of one machine. Its lives follow each other at one address.
class Worker : public doorwood::standin::RunObserver {
 public:
  Worker(Stage& stage,
         std::string machine,
         std::string rack,
         std::string address);

  /// A new life, which registers itself in the store.
  void Start();
  /// Ends the life: all that runs dies at once, and nothing answers. The store
  /// forgets the entry after three liveness reports of silence.
  void Crash();
  /// States `draining` in the store, with the least time remaining.
  void Announce(int64_t remaining_ms);
  /// The planned end of the life: all that runs dies, connections are closed,
  /// and the entry is removed.
  void Leave();
  void Advance();

  const std::string& id() const { return id_; }
  const std::string& machine() const { return machine_; }
  const std::string& rack() const { return rack_; }
  bool up() const { return up_; }
  /// Tasks that run now, and for how long (ms).
  std::map<std::string, int64_t> Running() const;

  void OnStarted(const doorwood::StartOrder& order) override;
  void OnEnded(const doorwood::EndedRun& end) override;
  void OnEndAcknowledged(const doorwood::EndedRun& end) override;

 private:
  void PutEntry(const std::string& state, int64_t remaining_ms);
  void Handle(const doorwood::HttpRequest& request,
              const doorwood::HttpServer::Respond& respond);
  void AnswerHold(int life,
                  doorwood::PollOrder order,
                  int64_t until,
                  const doorwood::HttpServer::Respond& respond);

  Stage& stage_;
  const std::string machine_;
  const std::string rack_;
  const std::string address_;
  int life_ = 0;
  std::string id_;
  bool up_ = false;
  bool left_ = false;
  std::unique_ptr<doorwood::standin::RunWorkerModel> model_;
  std::map<std::string, int64_t> started_at_;
  doorwood::HttpServer server_;
};

/// One entry instance: its addresses, its settings and its present process.
struct Instance {
  std::string name;
  std::string zone;
  std::string ip;
  std::string settings;
  std::string log;
  pid_t pid = 0;
  int starts = 0;
  /// Ends of its process: by itself or for its memory.
  int over_memory = 0;
  int own_ends = 0;
  int64_t peak_kb = 0;
};

class Stage {
 public:
  Stage(std::string root, std::string folder);
  ~Stage();

  // --- Set-up ---
  /// Eight workers a rack.
  void AddWorkers(int count, int cpu);
  void AddInstances(int count);

  // --- Time ---
  /// Handles events for the time. Processes that need it are watched meanwhile.
  void Run(int64_t ms);
  /// Until the condition holds; returns whether it did in time.
  bool Await(int64_t ms, const std::function<bool()>& condition);
  int64_t Now() const;

  // --- The record ---
  void Record(const std::string& line);
  /// Ends the case with the exit code: 0 held, 1 broken, 2 could not run.
  [[noreturn]] void Finish(int code, const std::string& why);

  // --- Operator, platform and requester ---
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Value(const std::string& key) const;
  Answer Call(const Instance& instance,
              const std::string& method,
              const std::string& host,
              const std::string& path,
              const std::string& body = "");
  /// Submits the job, again after silence or a refusal, at one node after the
  /// other, until a 2xx; returns whether one came.
  bool Submit(const std::string& host,
              const std::string& path,
              const std::string& body,
              int64_t ms);
  bool AllReady();

  // --- Processes ---
  void StartProcess(Instance& instance);
  /// SIGTERM, at most the grace, then SIGKILL; and started again.
  void Restart(Instance& instance);
  /// Plays the platform's bound on memory: a process above it is killed. A
  /// process that has ended is started again after `restart_ms`.
  void WatchProcesses(bool on) { watch_ = on; }

  std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }
  std::vector<Instance>& instances() { return instances_; }
  const Bounds& bounds() const { return bounds_; }
  /// Called before an order that ends the run of `task` on `worker`.
  std::function<void(Worker& worker, const std::string& task)> on_stop;
  /// Starts of each task so far, and ends by kind ("TASK HOW").
  std::map<std::string, int> starts;
  std::map<std::string, int> ends;
  /// Records a run when it ends only.
  bool brief_runs = false;
  /// How long the work of a task takes; empty: as its spec says.
  std::function<int64_t(const std::string& task)> task_ms;
  /// Where and when a run of a task ended `done`, and the tasks of which
  /// another run has started since.
  struct Done {
    uint32_t run = 0;
    std::string worker;
    int64_t at = 0;
    bool acknowledged = false;
  };
  std::map<std::string, Done> done;
  std::vector<std::string> started_after_done;
  /// When the lives of workers ended as planned.
  std::map<std::string, int64_t> left_at;

 private:
  friend class Worker;
  struct MachineState {
    std::string state = "up";
    std::set<int64_t> waves;
  };

  void HandleStore(const doorwood::HttpRequest& request,
                   const doorwood::HttpServer::Respond& respond);
  void AnswerWatch(const std::string& prefix,
                   int64_t after,
                   int64_t until,
                   const doorwood::HttpServer::Respond& respond);
  void HandleMachines(const doorwood::HttpRequest& request,
                      const doorwood::HttpServer::Respond& respond);
  std::string FillSettings(const Instance& instance) const;
  void Pump();
  void CheckProcesses();
  void KillAll();
  std::string Address(int host, int port) const;

  const std::string root_;
  const std::string folder_;
  const int64_t began_;
  Bounds bounds_;
  std::string net_;
  std::string temp_;
  std::vector<std::string> run_;
  std::ofstream record_;
  boost::asio::io_context context_;
  doorwood::LoopExecutor executor_;
  doorwood::HttpClient client_;
  doorwood::standin::RecordStoreModel store_;
  std::unique_ptr<doorwood::HttpServer> store_server_;
  std::unique_ptr<doorwood::HttpServer> machine_server_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::map<std::string, MachineState> machines_;
  std::vector<Instance> instances_;
  std::map<std::string, int64_t> restart_at_;
  int worker_cpu_ = 8000;
  bool watch_ = false;
  int64_t checked_ = 0;
  int64_t calls_ = 0;
};

/// False with TROUBLE=0.
bool Trouble();

/// A route of a configuration.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  int attempts = 3;
  double stretch = 1.5;
  int target_ms = 250;
};
std::string Config(int version, const std::vector<Route>& routes);

}  // namespace review

#endif  // REVIEW_STAGE_H_
