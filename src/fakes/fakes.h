// SPDX-License-Identifier: Apache-2.0

/// \file
/// Fakes of the ports in virtual time, with fault injection.

#ifndef DOORWOOD_FAKES_FAKES_H_
#define DOORWOOD_FAKES_FAKES_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "doorwood/directory.h"
#include "doorwood/executor.h"
#include "doorwood/instance.h"
#include "doorwood/kv.h"
#include "doorwood/peer.h"
#include "doorwood/worker.h"
#include "standin/kv_model.h"
#include "standin/worker_model.h"

namespace doorwood::fakes {

/// The virtual clock and event queue shared by everything in one test.
class VirtualTime {
 public:
  Instant now() const { return now_; }
  int64_t now_ms() const;
  void RunAt(Instant time, std::function<void()> function);
  /// Advances the clock by `duration` and runs all functions due by then.
  void Run(Millis duration);
  /// Runs the next function; returns false if none is due by `limit`.
  bool Step(Instant limit);

 private:
  struct Item {
    Instant time;
    uint64_t order = 0;
    std::function<void()> function;

    bool operator<(const Item& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };

  Instant now_ = Instant(Millis(1'000'000));
  uint64_t order_ = 0;
  std::priority_queue<Item> queue_;
};

/// The control thread of one process. It can be frozen, thawed and killed.
class FakeExecutor : public Executor {
 public:
  FakeExecutor(VirtualTime& time, uint64_t seed)
      : time_(time), random_(seed), order_random_(~seed) {}

  Instant Now() const override;
  void Post(std::function<void()> function) override;
  TimerId Schedule(Millis delay, std::function<void()> function) override;
  void Cancel(TimerId timer) override;
  uint64_t Random() override { return random_(); }

  /// Delivers an answer over a socket after `delay`. Answers that arrive while
  /// the process is frozen are handled at `Thaw`, before its timers, in an
  /// order drawn from the seed.
  void DeliverAnswer(Millis delay, std::function<void()> function);
  /// Defers all functions until `Thaw`.
  void Freeze() { frozen_ = true; }
  /// Pauses the process for `pause` within the `call`th call of `Now` from here
  /// on, that is, in the middle of a function. Other processes run meanwhile.
  void PauseInNowCall(int call, Millis pause);
  void Thaw();
  /// Drops all pending and future functions.
  void Kill() { killed_ = true; }
  bool killed() const { return killed_; }
  bool frozen() const { return frozen_; }

 private:
  void Run(std::function<void()> function);

  VirtualTime& time_;
  std::mt19937_64 random_;
  TimerId last_timer_ = 0;
  std::set<TimerId> cancelled_;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::function<void()>> deferred_answers_;
  std::mt19937_64 order_random_;
  // `Now` is const, but is the point at which a process can be paused.
  mutable int calls_to_pause_ = 0;
  Millis pause_{0};
  bool frozen_ = false;
  bool killed_ = false;
};

/// Fault injected into calls through one fake.
enum class Fault {
  kNone,
  /// Refused before it has any effect.
  kRefused,
  /// Takes effect; the answer is lost.
  kAnswerLost,
  /// Does not arrive; the caller cannot distinguish this from kAnswerLost.
  kRequestLost,
  /// Arrives long after the caller timed out.
  kDelayed,
};

/// One instance's access to the key-value store.
class FakeKv : public KvStore {
 public:
  FakeKv(VirtualTime& time, Executor& executor, standin::KvModel& model)
      : time_(time), executor_(executor), model_(model) {}

  void Read(const std::string& key, Callback<KvEntry> done) override;
  void List(const std::string& prefix,
            Callback<std::vector<KvEntry>> done) override;
  void Write(const KvWrite& write, Callback<int64_t> done) override;
  void Remove(const std::string& key,
              int64_t expected_version,
              Callback<int64_t> done) override;
  void GrantLease(Millis lifetime, Callback<int64_t> done) override;
  void RenewLease(int64_t lease, Callback<int64_t> done) override;
  void Watch(const std::string& prefix,
             int64_t after,
             Callback<std::vector<KvEntry>> done) override;

  void set_fault(Fault fault) { fault_ = fault; }
  /// Applies the fault only to the next `count` writes; -1: to all calls.
  void LimitFaultToWrites(int count) { remaining_faulty_writes_ = count; }
  int64_t writes() const { return writes_; }

 private:
  template <typename T>
  void Run(bool changes,
           std::function<std::error_code(T*)> effect,
           Callback<T> done);

  VirtualTime& time_;
  Executor& executor_;
  standin::KvModel& model_;
  Fault fault_ = Fault::kNone;
  int remaining_faulty_writes_ = -1;
  int64_t writes_ = 0;
};

/// All workers of a test, by address.
using FakeFleet = std::map<std::string, std::shared_ptr<standin::WorkerModel>>;

/// One instance's access to the workers.
class FakeWorkers : public WorkerControl {
 public:
  FakeWorkers(VirtualTime& time,
              Executor& executor,
              FakeFleet& fleet,
              std::string holder,
              const HolderOptions& options)
      : time_(time),
        executor_(executor),
        fleet_(fleet),
        holder_(std::move(holder)),
        options_(options) {}

  void Acquire(const InstanceInfo& worker,
               Callback<WorkerInventory> done) override;
  void Send(const InstanceInfo& worker,
            uint64_t epoch,
            std::vector<WorkerOrder> orders,
            Callback<WorkerAnswer> done) override;
  void Release(const InstanceInfo& worker,
               uint64_t epoch,
               Callback<bool> done) override;

  /// Sets the fault injected into calls to one worker.
  void set_fault(const std::string& address, Fault fault) {
    faults_[address] = fault;
  }

 private:
  template <typename T>
  void Run(const InstanceInfo& worker,
           std::function<std::error_code(standin::WorkerModel&, T*)> effect,
           Callback<T> done);

  VirtualTime& time_;
  Executor& executor_;
  FakeFleet& fleet_;
  std::string holder_;
  HolderOptions options_;
  std::map<std::string, Fault> faults_;
};

/// The network between entry instances.
class FakeNetwork {
 public:
  struct Node {
    PeerService* service = nullptr;
    FakeExecutor* executor = nullptr;
  };

  void Attach(const std::string& address, Node node) { nodes_[address] = node; }
  /// Partitions or reconnects two addresses, in both directions.
  void SetPartitioned(const std::string& a, const std::string& b, bool cut);
  bool IsPartitioned(const std::string& a, const std::string& b) const;
  /// Drops the replies to the next `count` requests, other than heartbeats,
  /// that reach an instance.
  void DropReplies(int count) { replies_to_drop_ = count; }
  bool ConsumeDroppedReply();
  /// Delays the next `count` placement requests far beyond their time-out.
  void DelayPlacements(int count) { placements_to_delay_ = count; }
  bool ConsumeDelayedPlacement(const PeerRequest& request);
  Node* FindNode(const std::string& address);

 private:
  std::map<std::string, Node> nodes_;
  std::set<std::pair<std::string, std::string>> cuts_;
  int replies_to_drop_ = 0;
  int placements_to_delay_ = 0;
};

/// One instance's access to its peers.
class FakePeers : public PeerNetwork {
 public:
  FakePeers(VirtualTime& time,
            FakeExecutor& executor,
            FakeNetwork& network,
            std::string address)
      : time_(time),
        executor_(executor),
        network_(network),
        address_(std::move(address)) {}

  void Call(const std::string& address,
            PeerRequest request,
            Millis timeout,
            Callback done) override;

 private:
  VirtualTime& time_;
  FakeExecutor& executor_;
  FakeNetwork& network_;
  std::string address_;
};

class FakeDirectory : public InstanceDirectory {
 public:
  FakeDirectory(Executor& executor, const std::vector<InstanceInfo>& list)
      : executor_(executor), list_(list) {}

  void Fetch(Callback done) override;
  void set_down(bool down) { down_ = down; }

 private:
  Executor& executor_;
  const std::vector<InstanceInfo>& list_;
  bool down_ = false;
};

class FakeRoutes : public RoutingObserver {
 public:
  void OnBackends(std::vector<BackendTarget> backends) override {
    backends_ = std::move(backends);
  }
  void OnPeers(std::vector<PeerTarget> peers) override {
    peers_ = std::move(peers);
  }
  void OnConfiguration(std::shared_ptr<const Configuration>) override {}
  std::vector<std::string> ServicesWithFreeSlots() override { return {}; }
  int SlotsInUse(const std::string&) override { return slots_in_use_; }
  Json BurnRates() override { return Json::array(); }

  const std::vector<BackendTarget>& backends() const { return backends_; }
  void set_slots_in_use(int slots) { slots_in_use_ = slots; }

 private:
  std::vector<BackendTarget> backends_;
  std::vector<PeerTarget> peers_;
  int slots_in_use_ = 0;
};

/// Timestamped events of all processes of a test, for failure messages.
using Trace = std::vector<std::string>;

/// Writes its lines to a trace.
class FakeLog : public EventLog {
 public:
  FakeLog(VirtualTime& time, std::string name, Trace& trace)
      : time_(time), name_(std::move(name)), trace_(trace) {}

  bool IsEnabled(std::string_view) const override { return true; }
  void Write(std::string_view level,
             std::string_view component,
             std::string_view message,
             const Json& fields) override;

 private:
  VirtualTime& time_;
  std::string name_;
  Trace& trace_;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_FAKES_H_
