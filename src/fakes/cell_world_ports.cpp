// SPDX-License-Identifier: Apache-2.0

#include "fakes/cell_world_ports.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace doorwood::fakes {
namespace {

constexpr Millis kStoreDelay{2};
constexpr Millis kWorkerDelay{1};
constexpr Millis kNoAnswer{700};
constexpr Millis kExecutionDelay{6000};
constexpr Millis kPollInterval{20};
// Workers shorten longer leases.
constexpr Millis kLongestLease{10'000};

// The most items that the platform's store lists in one answer.
constexpr size_t kStorePage = 500;

// The store client of one instance; applies that instance's faults and
// partitions.
class WorldStore : public RecordStore {
 public:
  WorldStore(CellWorld& world, WorldInstance& self)
      : world_(world), self_(self) {}

  void Get(const std::string& key, Callback<StoreItem> done) override {
    Call<StoreItem>(false, std::move(done), [this, key](StoreItem* item) {
      return world_.store().Get(key, item);
    });
  }
  void ReadRevision(const std::string& key, Callback<int64_t> done) override {
    Call<int64_t>(false, std::move(done), [this, key](int64_t* revision) {
      StoreItem item;
      *revision = world_.store().revision();
      return world_.store().Get(key, &item);
    });
  }
  // Reads page by page, like the platform's client.
  void List(const std::string& prefix, Callback<StoreItems> done) override {
    ListFrom(prefix, {}, std::move(done));
  }
  void ListPage(const std::string& prefix,
                const std::string& after,
                Callback<StoreItems> done) override {
    Call<StoreItems>(
        false, std::move(done), [this, prefix, after](StoreItems* page) {
          *page = world_.store().ListPage(prefix, after, kStorePage);
          return std::error_code();
        });
  }
  void Watch(const std::string& prefix,
             int64_t after,
             Millis wait,
             Callback<StoreItems> done) override {
    StoreItems events;
    if (self_.store_faults.unavailable || self_.store_faults.unresponsive) {
      Answer<StoreItems>(kNoAnswer, KvErrc::kUnknown, {}, std::move(done));
      return;
    }
    world_.AdvanceModelsToNow();
    const auto error = world_.store().ChangesAfter(prefix, after, &events);
    if (error || !events.items.empty() || wait <= Millis(0)) {
      Answer<StoreItems>(kStoreDelay, error, events, std::move(done));
      return;
    }
    // The wait takes place in the store, also while this process is frozen.
    world_.time().RunAt(
        world_.time().now() + kPollInterval,
        [this, prefix, after, wait, done = std::move(done)]() mutable {
          Watch(prefix, after, wait - kPollInterval, std::move(done));
        });
  }
  void Commit(const StoreTransaction& transaction,
              Callback<StoreCommit> done) override {
    Call<StoreCommit>(true, std::move(done),
                      [this, transaction](StoreCommit* commit) {
                        return world_.store().Commit(transaction, commit);
                      });
  }
  void GrantLease(Millis lifetime, Callback<int64_t> done) override {
    Call<int64_t>(false, std::move(done), [this, lifetime](int64_t* lease) {
      *lease = world_.store().GrantLease(lifetime.count());
      return std::error_code();
    });
  }
  void RenewLease(int64_t lease, Callback<int64_t> done) override {
    Call<int64_t>(false, std::move(done), [this, lease](int64_t*) {
      return world_.store().RenewLease(lease);
    });
  }
  void RevokeLease(int64_t lease, Callback<int64_t> done) override {
    Call<int64_t>(false, std::move(done), [this, lease](int64_t*) {
      return world_.store().RevokeLease(lease);
    });
  }

 private:
  void ListFrom(const std::string& prefix,
                StoreItems so_far,
                Callback<StoreItems> done) {
    const std::string after =
        so_far.items.empty() ? "" : so_far.items.back().key;
    ListPage(prefix, after,
             [this, prefix, so_far, done = std::move(done)](
                 std::error_code error, const StoreItems& page) mutable {
               if (so_far.revision == 0) {
                 so_far.revision = page.revision;
               }
               so_far.items.insert(so_far.items.end(), page.items.begin(),
                                   page.items.end());
               if (error || !page.more) {
                 done(error, error ? StoreItems{} : so_far);
               } else {
                 ListFrom(prefix, std::move(so_far), done);
               }
             });
  }

  template <typename T>
  void Answer(Millis delay, std::error_code error, T value, Callback<T> done) {
    self_.executor->DeliverAnswer(
        delay, [error, value = std::move(value), done = std::move(done)] {
          done(error, value);
        });
  }

  template <typename T, typename Effect>
  void Call(bool writes, Callback<T> done, Effect effect) {
    const StoreFaults& faults = self_.store_faults;
    if (faults.unavailable) {
      Answer<T>(kStoreDelay, KvErrc::kUnavailable, {}, std::move(done));
      return;
    }
    if (faults.unresponsive) {
      Answer<T>(kNoAnswer, KvErrc::kUnknown, {}, std::move(done));
      return;
    }
    const double draw = writes ? world_.RandomFraction() : 1.0;
    if (draw < faults.delayed_write_share) {
      world_.time().RunAt(world_.time().now() + kExecutionDelay,
                          [this, effect] {
                            T ignored{};
                            world_.AdvanceModelsToNow();
                            effect(&ignored);
                          });
      Answer<T>(kNoAnswer, KvErrc::kUnknown, {}, std::move(done));
      return;
    }
    world_.AdvanceModelsToNow();
    T value{};
    const std::error_code error = effect(&value);
    if (draw < faults.delayed_write_share + faults.lost_reply_share) {
      Answer<T>(kNoAnswer, KvErrc::kUnknown, {}, std::move(done));
      return;
    }
    // The jitter reorders answers, as if they came on different connections.
    const auto jitter = Millis(static_cast<int>(world_.RandomFraction() * 25));
    Answer<T>(kStoreDelay + jitter + faults.answer_delay, error,
              std::move(value), std::move(done));
  }

  CellWorld& world_;
  WorldInstance& self_;
};

// The worker client of one instance; applies that instance's faults and
// partitions.
class WorldWorkers : public RunWorkerClient {
 public:
  WorldWorkers(CellWorld& world, WorldInstance& self)
      : world_(world), self_(self) {}

  void Poll(const WorkerIncarnation& worker,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    PollOrder sent = order;
    if (!TakePollConnection(worker)) {
      sent.forget_up_to = 0;
      sent.lease_end = 0;
    }
    PollLife(worker, sent, /*life=*/std::nullopt, std::move(done));
  }
  void Start(const WorkerIncarnation& worker,
             const StartOrder& order,
             Callback<int64_t> done) override {
    Order(worker, order.life, std::move(done),
          [this, order, id = worker.id](WorldWorker& target, bool late) {
            const bool already_running = target.model.IsRunning(order.task);
            if (!already_running && !world_.AcceptsTicket(id, order)) {
              return make_error_code(RunErrc::kInvalidTicket);
            }
            StartOrder limited = order;
            limited.lease_end = std::min(
                order.lease_end, target.model.now() + kLongestLease.count());
            const auto error = target.model.Start(limited);
            if (!error && !already_running) {
              world_.OnStarted(id, order, late);
              ++target.runs_started;
            }
            return error;
          });
  }
  void Stop(const WorkerIncarnation& worker,
            const StopOrder& order,
            Callback<int64_t> done) override {
    Order(worker, order.life, std::move(done),
          [order](WorldWorker& target, bool) {
            return target.model.Stop(order);
          });
  }
  void Pace(const WorkerIncarnation& worker,
            const PaceOrder& order,
            Callback<int64_t> done) override {
    Order(worker, order.life, std::move(done),
          [order](WorldWorker& target, bool) {
            return target.model.Pace(order);
          });
  }

 private:
  WorldWorker* FindReachableWorker(const WorkerIncarnation& worker) {
    if (IsMisdirected(worker)) {
      world_.CountMisdirectedCall();
      return nullptr;
    }
    WorldWorker* found = world_.workers().at(worker.id).get();
    if (!found->up || self_.unreachable_workers.contains(worker.id)) {
      return nullptr;
    }
    ++found->calls_received;
    return found;
  }

  // Returns true if a pooled connection for polls belongs to the worker's
  // present life. A broken one is dropped, and the poll is sent on a new one.
  bool TakePollConnection(const WorkerIncarnation& worker) {
    auto& idle = self_.poll_connections[worker.id];
    const auto found = world_.workers().find(worker.id);
    if (idle.empty() || found == world_.workers().end()) {
      return false;
    }
    const int life = idle.back();
    idle.pop_back();
    return life == found->second->life;
  }

  // `life`: the life of the worker that the poll waits at; if it has ended, its
  // connection is broken.
  void PollLife(const WorkerIncarnation& worker,
                const PollOrder& order,
                std::optional<int> life,
                Callback<WorkerReport> done) {
    WorldWorker* target = FindReachableWorker(worker);
    if (target == nullptr) {
      Fail<WorkerReport>(worker, std::move(done));
      return;
    }
    if (life && *life != target->life) {
      self_.executor->DeliverAnswer(kWorkerDelay, [done = std::move(done)] {
        done(RunErrc::kNoAnswer, {});
      });
      return;
    }
    target->Advance(world_.time().now_ms());
    WorkerReport report;
    PollOrder limited = order;
    limited.lease_end =
        std::min(order.lease_end, target->model.now() + kLongestLease.count());
    const auto error = target->model.Poll(limited, &report);
    report.started_at = target->incarnation.started_at;
    if (!error && report.ended.empty() && order.max_wait > Millis(0)) {
      PollOrder rest = order;
      rest.max_wait = std::max(Millis(0), order.max_wait - kPollInterval);
      // The wait takes place in the worker, also while this process is frozen.
      world_.time().RunAt(world_.time().now() + kPollInterval,
                          [this, worker, rest, here = target->life,
                           done = std::move(done)]() mutable {
                            PollLife(worker, rest, here, std::move(done));
                          });
      return;
    }
    self_.executor->DeliverAnswer(
        kWorkerDelay, [this, error, report, id = worker.id, life = target->life,
                       done = std::move(done)] {
          if (!error) {
            self_.poll_connections[id].push_back(life);
          }
          done(error, report);
        });
  }

  // A crashed worker's address is answered by its next incarnation, and an
  // address that the worker never had by another process.
  bool IsMisdirected(const WorkerIncarnation& worker) const {
    return !world_.workers().contains(worker.id) || worker.address != worker.id;
  }

  template <typename T>
  void Fail(const WorkerIncarnation& worker, Callback<T> done) {
    const bool misdirected = IsMisdirected(worker);
    const bool at_once =
        misdirected || (world_.workers().at(worker.id)->refuses_calls &&
                        !self_.unreachable_workers.contains(worker.id));
    const auto error =
        misdirected ? RunErrc::kOtherIncarnation : RunErrc::kNoAnswer;
    self_.executor->DeliverAnswer(
        at_once ? kWorkerDelay : kNoAnswer,
        [error, done = std::move(done)] { done(error, T{}); });
  }

  template <typename Effect>
  void Order(const WorkerIncarnation& worker,
             const WorkerLife& life,
             Callback<int64_t> done,
             Effect effect) {
    WorldWorker* target = FindReachableWorker(worker);
    if (target == nullptr) {
      Fail<int64_t>(worker, std::move(done));
      return;
    }
    target->Advance(world_.time().now_ms());
    if (IsOtherLife(life, target->incarnation.started_at,
                    target->model.now())) {
      self_.executor->DeliverAnswer(
          kWorkerDelay, [clock = target->model.now(), done = std::move(done)] {
            done(RunErrc::kOtherLife, clock);
          });
      return;
    }
    const double draw = world_.RandomFraction();
    if (draw < self_.delayed_order_share) {
      world_.time().RunAt(
          world_.time().now() + self_.order_delay, [this, worker, effect] {
            // The worker has the order, so no cut keeps it from being carried
            // out.
            const auto found = world_.workers().find(worker.id);
            if (found != world_.workers().end() && found->second->up) {
              world_.AdvanceModelsToNow();
              effect(*found->second, /*late=*/true);
            }
          });
      self_.executor->DeliverAnswer(
          kNoAnswer, [done = std::move(done)] { done(RunErrc::kNoAnswer, 0); });
      return;
    }
    const auto error = effect(*target, /*late=*/false);
    if (draw < self_.delayed_order_share + self_.lost_order_reply_share) {
      self_.executor->DeliverAnswer(
          kNoAnswer, [done = std::move(done)] { done(RunErrc::kNoAnswer, 0); });
      return;
    }
    const int64_t clock = target->model.now();
    self_.executor->DeliverAnswer(
        kWorkerDelay,
        [error, clock, done = std::move(done)] { done(error, clock); });
  }

  CellWorld& world_;
  WorldInstance& self_;
};

class WorldDirectory : public WorkerDirectory {
 public:
  WorldDirectory(CellWorld& world, WorldInstance& self)
      : world_(world), self_(self) {}

  void ListWorkers(Callback done) override {
    std::error_code error;
    if (self_.store_faults.unavailable || self_.store_faults.unresponsive) {
      error = KvErrc::kUnavailable;
    }
    std::vector<WorkerIncarnation> incarnations = world_.foreign_entries();
    for (const auto& [id, worker] : world_.workers()) {
      if (worker->listed) {
        incarnations.push_back(worker->incarnation);
        if (!worker->listed_address.empty()) {
          incarnations.back().address = worker->listed_address;
        }
      }
    }
    self_.executor->DeliverAnswer(
        kStoreDelay, [error, incarnations, done = std::move(done)] {
          done(error, incarnations);
        });
  }
  void ListClosedDataCentres(ClosedDataCentresCallback done) override {
    std::error_code error;
    if (self_.store_faults.unavailable || self_.store_faults.unresponsive) {
      error = KvErrc::kUnavailable;
    }
    self_.executor->DeliverAnswer(
        kStoreDelay, [error, closed = world_.closed_data_centres(),
                      done = std::move(done)] { done(error, closed); });
  }

 private:
  CellWorld& world_;
  WorldInstance& self_;
};

class WorldPeers : public StoreAnswerPort {
 public:
  WorldPeers(CellWorld& world, WorldInstance& self)
      : world_(world), self_(self) {}

  void QueryTimeSinceStoreAnswer(const LiveInstance& instance,
                                 Callback done) override {
    const auto found = world_.instances().find(instance.name);
    const bool reachable =
        found != world_.instances().end() && found->second->alive &&
        !found->second->executor->frozen() && CanReach(*found->second);
    const auto age = reachable
                         ? found->second->cell->ReportTimeSinceStoreAnswer(
                               world_.time().now())
                         : std::nullopt;
    // The machine of a process that was killed refuses calls.
    const bool refused = found == world_.instances().end() &&
                         !self_.partitioned_from_peers &&
                         !self_.unreachable_instances.contains(instance.name);
    const std::error_code error =
        age ? std::error_code()
            : make_error_code(refused ? PeerErrc::kRefused
                                      : PeerErrc::kNotSent);
    self_.executor->DeliverAnswer(kWorkerDelay,
                                  [error, age, done = std::move(done)] {
                                    done(error, age.value_or(Millis(0)));
                                  });
  }
  void RequestUnrecordedStartsAgreement(
      const LiveInstance& instance,
      std::function<void(std::error_code)> done) override {
    const auto found = world_.instances().find(instance.name);
    const bool agrees = found != world_.instances().end() &&
                        !found->second->executor->frozen() &&
                        CanReach(*found->second) &&
                        found->second->cell->AgreeToUnrecordedStarts();
    const std::error_code error =
        agrees ? std::error_code() : make_error_code(PeerErrc::kNotSent);
    self_.executor->DeliverAnswer(
        kWorkerDelay, [error, done = std::move(done)] { done(error); });
  }
  void HandOverLead(const LiveInstance& instance,
                    const std::string&,
                    int64_t epoch) override {
    const auto found = world_.instances().find(instance.name);
    if (found == world_.instances().end() || !CanReach(*found->second)) {
      return;
    }
    WorldInstance* other = found->second;
    other->executor->DeliverAnswer(
        kWorkerDelay, [other, epoch] { other->cell->OnLeadHandedOver(epoch); });
  }

 private:
  bool CanReach(const WorldInstance& other) const {
    return !self_.partitioned_from_peers && !other.partitioned_from_peers &&
           !self_.unreachable_instances.contains(other.name) &&
           !other.unreachable_instances.contains(self_.name);
  }

  CellWorld& world_;
  WorldInstance& self_;
};

class WorldMachines : public MachinePlatform {
 public:
  WorldMachines(CellWorld& world, WorldInstance& self)
      : world_(world), self_(self) {}

  void ListMachines(ListCallback done) override {
    std::vector<Machine> machines;
    for (const auto& [id, known] : world_.machines()) {
      Machine machine;
      machine.id = id;
      machine.pool = "pool";
      machine.state = known.state;
      machine.worker = known.worker;
      machines.push_back(machine);
    }
    self_.executor->DeliverAnswer(
        kStoreDelay,
        [machines, done = std::move(done)] { done({}, machines); });
  }
  void OrderUpkeep(const UpkeepOrder& order, OrderCallback done) override {
    world_.StartUpkeep(order.machine, order.wave);
    const bool lost = self_.machine_replies_to_lose > 0;
    self_.machine_replies_to_lose -= lost ? 1 : 0;
    self_.executor->DeliverAnswer(
        lost ? kNoAnswer : kStoreDelay, [lost, done = std::move(done)] {
          done(lost ? make_error_code(RunErrc::kNoAnswer) : std::error_code());
        });
  }
  void OrderMove(const MoveOrder&, OrderCallback done) override {
    self_.executor->DeliverAnswer(
        kStoreDelay, [done = std::move(done)] { done(RunErrc::kBusy); });
  }
  void ListWaves(WavesCallback done) override {
    self_.executor->DeliverAnswer(
        kStoreDelay,
        [waves = world_.waves(), done = std::move(done)] { done({}, waves); });
  }
  StorePut EncodeWaveStatus(int64_t wave, WaveState state) const override {
    return {"wave-status/" + std::to_string(wave),
            state == WaveState::kCompleted ? "completed" : "running", 0};
  }

 private:
  CellWorld& world_;
  WorldInstance& self_;
};

class WorldLog : public EventLog {
 public:
  WorldLog(CellWorld& world, std::string name)
      : world_(world), name_(std::move(name)) {}

  bool IsEnabled(std::string_view) const override { return true; }
  void Write(std::string_view level,
             std::string_view component,
             std::string_view message,
             const Json& fields) override {
    world_.CountLogLine(std::string(message));
    world_.Trace(name_ + " " + std::string(level) + " " +
                 std::string(component) + ": " + std::string(message) + " " +
                 fields.dump());
  }

 private:
  CellWorld& world_;
  std::string name_;
};

}  // namespace

std::unique_ptr<RecordStore> MakeWorldStore(CellWorld& world,
                                            WorldInstance& self) {
  return std::make_unique<WorldStore>(world, self);
}

std::unique_ptr<RunWorkerClient> MakeWorldWorkers(CellWorld& world,
                                                  WorldInstance& self) {
  return std::make_unique<WorldWorkers>(world, self);
}

std::unique_ptr<WorkerDirectory> MakeWorldDirectory(CellWorld& world,
                                                    WorldInstance& self) {
  return std::make_unique<WorldDirectory>(world, self);
}

std::unique_ptr<StoreAnswerPort> MakeWorldPeers(CellWorld& world,
                                                WorldInstance& self) {
  return std::make_unique<WorldPeers>(world, self);
}

std::unique_ptr<MachinePlatform> MakeWorldMachines(CellWorld& world,
                                                   WorldInstance& self) {
  return std::make_unique<WorldMachines>(world, self);
}

std::unique_ptr<EventLog> MakeWorldLog(CellWorld& world, std::string name) {
  return std::make_unique<WorldLog>(world, std::move(name));
}

}  // namespace doorwood::fakes
