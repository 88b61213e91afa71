// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stand-ins of the platform, written from the users' pages: the metadata
/// store, workers, and the service for machines. All in one process, under one
/// mutex, so that the record has one order.

#ifndef REVIEW_STANDIN_3_WORLD_H_
#define REVIEW_STANDIN_3_WORLD_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;

/// One line of the record.
class Record {
 public:
  explicit Record(const std::string& file);
  int64_t Now() const;  // milliseconds since the begin
  void Write(const std::string& what, Json fields);

 private:
  std::mutex mutex_;
  std::ofstream out_;
  std::chrono::steady_clock::time_point begin_;
};

std::string EncodeBase64(const std::string& text);

/// The platform's store. A hook may decide that a write gets no answer.
class Store {
 public:
  enum class Fate {
    kAnswered,
    /// Not answered, and done `late` later if its condition still holds.
    kLostAndLate,
  };
  struct Decision {
    Fate fate = Fate::kAnswered;
    std::chrono::milliseconds late{0};
  };
  using Hook = std::function<Decision(const Json& transaction)>;

  explicit Store(Record& record) : record_(record) {}
  void Listen(int port);
  /// A write of the operator or of a worker.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void set_hook(Hook hook);
  std::string Value(const std::string& key);

 private:
  struct Item {
    std::string value;  // base64
    int64_t revision = 0;
    int64_t made = 0;
    int64_t lease = 0;
  };
  struct Event {
    int64_t revision;
    std::string key;
    std::optional<Item> item;
  };
  struct Lease {
    int64_t ttl_ms;
    std::chrono::steady_clock::time_point ends;
  };
  Response Handle(const Request& request);
  Response Transact(const Json& transaction);
  Response Range(const Request& request);
  Response Watch(const Request& request);
  void ExpireLeases();
  void RemoveKeysOf(int64_t lease);
  Json ToJson(const std::string& key, const Item& item) const;

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> events_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1000;
  Hook hook_;
};

struct Run {
  uint32_t number = 0;
  std::string spec;
  std::string checkpoint;
  int64_t began = 0;
  int64_t length = 0;  // 0: lasts
  int percent = 100;   // pace
  bool lasts() const { return length == 0; }
};

/// One worker: a life at an address. Tasks whose spec has `sN=MS` for their
/// step N take that many milliseconds; others last.
class Worker {
 public:
  Worker(Record& record, Store& store, std::string machine, int port);
  void Listen();
  /// Everything that runs there dies; a new life begins `down` later. Until
  /// then the address is silent. `entry_kept`: how long the entry in the store
  /// stays.
  std::map<std::string, Run> Restart(std::chrono::milliseconds down,
                                     std::chrono::milliseconds entry_kept);
  /// The worker is lost for good, without a word, as it receives the next call
  /// that waits for an end; its entry goes three liveness reports later. Then
  /// calls `on_lost`.
  void LoseAtNextWait(std::function<void()> on_lost);
  /// While set, calls reach the worker no more and get no answer.
  void set_cut(bool cut);
  /// Crashes, and comes up again under its id `down` later.
  void RestartUnderItsId(std::chrono::milliseconds down);
  /// The next start of a task that begins with `prefix` gets no answer, and is
  /// carried out `late` later by the life that is up then. Calls `on_order`
  /// when the order arrives.
  void DelayNextStart(std::string prefix,
                      std::chrono::milliseconds late,
                      std::function<void()> on_order);
  /// As on deployments whose workers may come up again under their ids: they
  /// state when they were born, and their clock begins anew. Before Listen.
  void set_states_born(std::string zone, std::string label, int64_t max_hold);
  /// Called with the task of a run that a stop has just ended.
  void set_on_stop(std::function<void(const std::string& task)> on_stop);
  void Tick();
  std::string id();
  bool up();
  const std::string& machine() const { return machine_; }
  std::map<std::string, Run> runs();
  /// Number of start orders that have reached the worker.
  int starts();
  /// Whether `task` is at work: a lasting task 300 ms after its start.
  bool IsAtWork(const std::string& task);

  static constexpr int64_t kCpu = 16000;
  static constexpr int64_t kMemMb = 32768;

 private:
  struct End {
    uint64_t number;
    std::string task;
    uint32_t run;
    std::string how;
    std::string saved;
  };
  Response Handle(const Request& request);
  Response Hold(const Json& order);
  int64_t Clock() const;
  void EndRun(const std::string& task, const std::string& how);
  void TakeLease(const Json& order);
  void BeginLife();
  Response Start(const Json& order);
  /// An answer of this life with `fields`.
  Response Tell(int status, Json fields) const;
  void Announce();

  Record& record_;
  Store& store_;
  const std::string machine_;
  const int port_;
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  std::string id_;
  int life_ = 0;
  bool up_ = true;
  bool cut_ = false;
  std::string zone_ = "plaka";
  std::string label_ = "a";
  int64_t max_hold_ = 10'000;
  bool states_born_ = false;
  int64_t born_ = 0;        // Unix milliseconds of the life's start
  int64_t clock_base_ = 0;  // on the machine's steady clock
  std::string late_prefix_;
  std::chrono::milliseconds late_{0};
  std::function<void()> on_late_order_;
  uint64_t fence_ = 0;
  int64_t lease_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, uint32_t> highest_ended_;
  std::vector<End> ended_;
  uint64_t next_end_ = 1;
  int starts_ = 0;
  std::function<void()> on_lost_;
  std::function<void(const std::string& task)> on_stop_;
};

/// The service for machines. While `silent`, calls are read and neither done
/// nor answered.
class Cloud {
 public:
  using OnUpkeep = std::function<void(const std::string& machine,
                                      const std::map<std::string, Run>& ended)>;
  Cloud(Record& record, std::vector<Worker*> workers, OnUpkeep on_upkeep);
  void Listen(int port);
  std::atomic<bool> silent{false};

 private:
  Response Handle(const Request& request);

  Record& record_;
  std::vector<Worker*> workers_;
  OnUpkeep on_upkeep_;
  std::mutex mutex_;
  std::set<std::pair<std::string, int64_t>> done_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_WORLD_H_
