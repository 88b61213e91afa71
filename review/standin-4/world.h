// Stand-ins of the platform (store, workers, machines) as its pages tell them,
// and entry instances as child processes.
#ifndef REVIEW_WORLD_H_
#define REVIEW_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"

using Json = nlohmann::json;

struct Bounds {
  int64_t max_hold_ms = 10000, stop_ms = 900, gang_ms = 3000, save_ms = 500,
          upkeep_ms = 2000, heartbeat_ms = 1500;
};

class World;

class Store {
 public:
  explicit Store(World& world) : world_(world) {}
  // A listener of its own for one instance, so that it can be turned away.
  Listener* Open();
  void Put(const std::string& key, const std::string& value);  // platform's own
  void Remove(const std::string& key);
  std::optional<std::string> Get(const std::string& key);
  // Answers of writes that are done and not sent, in this listener's order.
  std::function<int(const Request&)>
      fault;  // 0: serve, 1: lose the answer, else status
  // Takes away all keys of the lease that holds `key`.
  void RevokeLeaseOf(const std::string& key);

 private:
  struct Item {
    std::string value;
    int64_t revision = 0, made = 0, lease = 0;
  };
  struct Event {
    int64_t revision;
    std::string key;
    bool gone;
  };
  struct Lease {
    int64_t until, ttl;
    std::set<std::string> keys;
  };
  void Handle(const Request& request, Respond respond);
  void Watch(const Request& request, int64_t until, Respond respond);
  Response Txn(const Json& body);
  Json Encode(const std::string& key, const Item& item);
  void Write(const std::string& key,
             const std::string& value,
             int64_t lease,
             int64_t revision);
  void Erase(const std::string& key, int64_t revision);
  void Expire();
  void EndLease(int64_t lease);
  void Changed();
  World& world_;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::deque<Event> events_;
  int64_t revision_ = 1000;
  std::list<std::pair<int, std::function<bool()>>> watches_;
  std::list<std::function<bool()>> waiting_;
};

// What a task of a step does on a worker.
struct Work {
  int64_t ms = 1000;  // 0: lasts
  int fails = 0;      // this many runs end failed
};

struct Run {
  std::string task;
  int64_t run = 0;
  int64_t started = 0;  // 0: a member of a gang that waits for the others
  int64_t arrived = 0;
  int64_t worked = 0;  // ms done before, from a checkpoint
  int64_t ends = 0;    // when it ends by itself; 0: never
  int64_t stops = 0;
  bool fails = false;
  std::string saved;
};

class Worker {
 public:
  Worker(World& world,
         std::string machine,
         std::string service,
         Json capacity,
         Json labels,
         bool guards);
  void Start();   // a life with a new id
  void Crash();   // everything dies; the port refuses
  void Remove();  // as Crash, and the entry goes at once
  void Tick();
  void Drain(int64_t remaining_ms);
  const std::string& id() const { return id_; }
  const std::string& machine() const { return machine_; }
  bool up() const { return up_; }
  std::map<std::string, Run>& runs() { return runs_; }
  Listener* listener() { return listener_; }
  // For each order: 0 carry out and answer; 1 no answer, done after `late_ms`.
  std::function<int(const Request&)> fault;
  int64_t late_ms = 3000;
  Json used() const;
  void End(const std::string& task, const std::string& how);
  std::string service;
  std::string zone = "plaka";
  std::string pool_state = "up";
  int64_t lapsed_at = -1;  // when its lease last lapsed
  const Json& labels() const { return labels_; }
  int64_t speed_percent = 100;

 private:
  void Handle(const Request& request, Respond respond);
  Response Order(const Request& request);
  void Hold(const Json& body, int64_t until, std::string life, Respond respond);
  Response Report();
  void WriteEntry();
  World& world_;
  std::string id_, machine_;
  Json capacity_, labels_;
  bool guards_, up_ = false, draining_ = false;
  int64_t remaining_ = 0, born_ = 0, clock_base_ = 0;
  int64_t token_ = 0, hold_until_ = 0;
  int64_t last_end_ = 0, noted_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> highest_;
  std::deque<Json> ended_;
  Listener* listener_ = nullptr;
};

struct Instance {
  std::string name, zone;
  int front, ready, peer, metrics;
  Listener* store = nullptr;
  pid_t pid = 0;
  std::string settings, log;
  double cpu_share = 0.25, link_mbps = 1000;
};

struct JobInfo {
  Json body;
  std::string queue;
  std::map<int, Work> work;  // by step
  int64_t accepted = 0, cancelled = 0;
  int accepts = 0, rejections = 0, attempts = 0;
};

struct RunRecord {
  std::string task, worker;
  int64_t run, from, until = 0;
  std::string how;
  int64_t noted = 0;            // when the end was taken note of
  bool lapsed_between = false;  // the lease lapsed between end and note
  int64_t life_lapse = -1;
};

class World {
 public:
  explicit World(const std::string& record_path);
  ~World();
  void Record(const std::string& line);
  int64_t Time() const { return NowMs() - began_; }

  Instance& AddInstance(const std::string& name, const std::string& zone);
  void StartInstance(Instance& instance);
  void Signal(Instance& instance, int number);
  void Kill(Instance& instance);
  bool Reap(Instance& instance);  // true: it has ended
  bool IsReady(const Instance& instance);
  Instance* Leader();  // the one that leads by its metrics
  bool AwaitReady(int64_t ms);
  std::string Metric(const Instance& instance, const std::string& name);

  Worker& AddWorker(const std::string& service,
                    Json capacity = {{"cpu", 32000}, {"memMb", 128000}},
                    Json labels = Json::array({"a", "r1"}),
                    bool guards = true);
  void PutConfig(const Json& config);

  // A requester's calls; `instance` -1: any that is ready, by turns.
  int Submit(const std::string& id,
             JobInfo info,
             int tries = 5,
             int timeout = 3000);
  Answer Ask(const std::string& method,
             const std::string& id,
             int timeout = 1500);
  std::string State(const std::string& id);

  Net net;
  Store store;
  Bounds bounds;
  std::list<Instance> instances;
  std::list<Worker> workers;
  std::map<std::string, JobInfo> jobs;
  std::list<RunRecord> runs;
  std::vector<std::string> violations;
  std::string host = "q.example", prefix = "/jobs/";
  Listener* cloud = nullptr;
  std::function<void(const Request&, Respond)> cloud_handler;
  std::string folder;
  int duration_limit_s = 115;

  // Called by workers.
  void OnStarted(Worker& worker, const Run& run, const Json& order);
  void OnEnded(Worker& worker,
               const std::string& task,
               int64_t run,
               const std::string& how);
  void OnNoted(Worker& worker, const std::string& task, int64_t run);
  int max_attempts = 4;
  void CheckGangs();
  Json StepOf(const std::string& task, JobInfo** info, int* step, int* index);
  void Violation(const std::string& rule, const std::string& text);

 private:
  void Tick();
  int64_t began_ = NowMs();
  std::ofstream record_;
  std::atomic<size_t> turn_ = 0;
  std::recursive_mutex record_mutex_;
};

std::string HexId(int n);

#endif
