// SPDX-License-Identifier: Apache-2.0

// Contract of each port, checked against the fakes or, with the addresses of
// stand-ins (key-value store, worker) as arguments, against the real adapters
// over the protocol of the stand-ins.
// Usage: contract_test [-- KV-ADDRESS WORKER-ADDRESS]

#include <asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "asio.adapter/asio_executor.h"
#include "doorwood/error.h"
#include "fakes/fakes.h"
#include "kv.adapter/http_kv.h"
#include "worker.adapter/http_workers.h"

namespace doorwood {
namespace {

constexpr Millis kControlLease{600};
constexpr Millis kTaskLease{1500};
constexpr Resources kCapacity{4000, 8000, 0};

HolderOptions Leases() {
  HolderOptions options;
  options.control_lease = kControlLease;
  options.task_lease = kTaskLease;
  return options;
}

// The ports under test, fake or real, and a way to advance the time.
class Ports {
 public:
  virtual ~Ports() = default;

  virtual KvStore& kv() = 0;
  virtual WorkerControl& worker(bool first_holder) = 0;
  virtual InstanceInfo worker_info() const = 0;
  /// Advances time until `done` returns true, or by `duration`.
  virtual void AdvanceUntil(Millis duration,
                            const std::function<bool()>& done) = 0;
};

class FakePorts : public Ports {
 public:
  FakePorts() {
    fleet_["w1"] = std::make_shared<standin::WorkerModel>(
        "w1", kCapacity, true, [](const standin::WorkerEvent&) {});
  }

  KvStore& kv() override { return kv_; }
  WorkerControl& worker(bool first) override { return first ? a_ : b_; }
  InstanceInfo worker_info() const override { return {.address = "w1"}; }
  void AdvanceUntil(Millis duration,
                    const std::function<bool()>& done) override {
    const Instant end = time_.now() + duration;
    while (!done() && time_.Step(end)) {
    }
    if (!done()) {
      time_.Run(std::chrono::duration_cast<Millis>(end - time_.now()));
    }
  }

 private:
  fakes::VirtualTime time_;
  fakes::FakeExecutor executor_{time_, 1};
  standin::KvModel model_;
  fakes::FakeKv kv_{time_, executor_, model_};
  fakes::FakeFleet fleet_;
  fakes::FakeWorkers a_{time_, executor_, fleet_, "a", Leases()};
  fakes::FakeWorkers b_{time_, executor_, fleet_, "b", Leases()};
};

class RealPorts : public Ports {
 public:
  RealPorts(const std::string& kv, const std::string& worker)
      : worker_(worker), kv_({.address = kv}, executor_) {}

  KvStore& kv() override { return kv_; }
  WorkerControl& worker(bool first) override { return first ? a_ : b_; }
  InstanceInfo worker_info() const override { return {.address = worker_}; }
  void AdvanceUntil(Millis duration,
                    const std::function<bool()>& done) override {
    const Instant end = BootClock::now() + duration;
    while (!done() && BootClock::now() < end) {
      context_.restart();
      context_.run_for(Millis(5));
    }
  }

 private:
  static HttpWorkersOptions Options(const std::string& holder) {
    return {.holder = holder,
            .control_lease = kControlLease,
            .task_lease = kTaskLease};
  }

  asio::io_context context_;
  AsioExecutor executor_{context_};
  std::string worker_;
  HttpKv kv_;
  HttpWorkers a_{Options("a"), executor_};
  HttpWorkers b_{Options("b"), executor_};
};

// The answer to one call.
template <typename T>
struct Answer {
  bool received = false;
  std::error_code error;
  T value{};
};

struct Contract {
  Contract() {
    const auto& suite = boost::unit_test::framework::master_test_suite();
    if (suite.argc > 2) {
      ports = std::make_unique<RealPorts>(suite.argv[1], suite.argv[2]);
    } else {
      ports = std::make_unique<FakePorts>();
    }
  }

  // Makes a call and waits for its answer.
  template <typename T>
  Answer<T> Await(
      const std::function<void(std::function<void(std::error_code, T)>)>&
          call) {
    auto answer = std::make_shared<Answer<T>>();
    call([answer](std::error_code error, T value) {
      BOOST_TEST(!answer->received, "answered twice");
      *answer = {true, error, std::move(value)};
    });
    ports->AdvanceUntil(Millis(15000), [answer]() { return answer->received; });
    BOOST_REQUIRE(answer->received);
    return *answer;
  }

  Answer<KvEntry> Read(const std::string& key) {
    return Await<KvEntry>([&](auto done) { ports->kv().Read(key, done); });
  }

  Answer<int64_t> Write(const std::string& key,
                        const std::string& value,
                        int64_t expected,
                        int64_t lease = 0) {
    return Await<int64_t>([&](auto done) {
      ports->kv().Write({.key = key,
                         .value = value,
                         .expected_version = expected,
                         .lease = lease},
                        done);
    });
  }

  Answer<int64_t> Remove(const std::string& key, int64_t expected) {
    return Await<int64_t>(
        [&](auto done) { ports->kv().Remove(key, expected, done); });
  }

  Answer<int64_t> Renew(int64_t lease) {
    return Await<int64_t>(
        [&](auto done) { ports->kv().RenewLease(lease, done); });
  }

  Answer<WorkerInventory> Acquire(bool first) {
    return Await<WorkerInventory>([&](auto done) {
      ports->worker(first).Acquire(ports->worker_info(), done);
    });
  }

  Answer<WorkerAnswer> Send(bool first,
                            uint64_t epoch,
                            const std::vector<WorkerOrder>& orders) {
    return Await<WorkerAnswer>([&](auto done) {
      ports->worker(first).Send(ports->worker_info(), epoch, orders, done);
    });
  }

  Answer<bool> Release(bool first, uint64_t epoch) {
    return Await<bool>([&](auto done) {
      ports->worker(first).Release(ports->worker_info(), epoch, done);
    });
  }

  void Sleep(Millis duration) {
    ports->AdvanceUntil(duration, []() { return false; });
  }

  static WorkerOrder Order(OrderKind kind,
                           uint64_t counter,
                           const std::string& payload = "run-ms=60000") {
    WorkerOrder order{.kind = kind,
                      .shard = {"plaka", 3},
                      .attempt = {1, counter},
                      .task = {"plaka.3.j", "t"}};
    order.spec = {.name = "t", .size = {1000, 1000, 0}, .payload = payload};
    return order;
  }

  std::unique_ptr<Ports> ports;
};

BOOST_AUTO_TEST_SUITE(kv_contract)

BOOST_AUTO_TEST_CASE(Write_OtherVersionExpected_IsConflict) {
  Contract it;
  BOOST_TEST(it.Read("c/a").error == make_error_code(KvErrc::kNotFound));
  const auto created = it.Write("c/a", "one", 0);
  BOOST_TEST(!created.error);
  BOOST_TEST(it.Write("c/a", "two", 0).error ==
             make_error_code(KvErrc::kConflict));
  BOOST_TEST(it.Write("c/a", "two", created.value + 1).error ==
             make_error_code(KvErrc::kConflict));
  const auto changed = it.Write("c/a", "two", created.value);
  BOOST_TEST(!changed.error);
  BOOST_TEST(changed.value > created.value);
  BOOST_TEST(it.Read("c/a").value.value == "two");
  BOOST_TEST(it.Read("c/a").value.version == changed.value);
  BOOST_TEST(it.Write("c/none", "x", 7).error ==
             make_error_code(KvErrc::kConflict));
}

BOOST_AUTO_TEST_CASE(List_Prefix_GivesItsEntriesInOrder) {
  Contract it;
  for (const char* key : {"l/b", "l/a", "l2/a", "l/c"}) {
    it.Write(key, key, 0);
  }
  const auto list = it.Await<std::vector<KvEntry>>(
      [&](auto done) { it.ports->kv().List("l/", done); });
  BOOST_REQUIRE(list.value.size() == 3u);
  BOOST_TEST(list.value[0].key == "l/a");
  BOOST_TEST(list.value[2].key == "l/c");
}

BOOST_AUTO_TEST_CASE(Remove_OtherVersionExpected_IsConflict) {
  Contract it;
  const auto created = it.Write("r/a", "x", 0);
  BOOST_TEST(it.Remove("r/a", created.value + 1).error ==
             make_error_code(KvErrc::kConflict));
  BOOST_TEST(!it.Remove("r/a", created.value).error);
  BOOST_TEST(it.Remove("r/a", -1).error == make_error_code(KvErrc::kNotFound));
  BOOST_TEST(!it.Write("r/a", "again", 0).error);
}

BOOST_AUTO_TEST_CASE(Key_LeaseExpires_IsRemoved) {
  Contract it;
  const auto lease = it.Await<int64_t>(
      [&](auto done) { it.ports->kv().GrantLease(Millis(400), done); });
  it.Write("e/a", "x", 0, lease.value);
  for (int n = 0; n < 4; ++n) {
    it.Sleep(Millis(150));
    BOOST_TEST(!it.Renew(lease.value).error);
  }
  BOOST_TEST(!it.Read("e/a").error);
  it.Sleep(Millis(900));
  BOOST_TEST(it.Read("e/a").error == make_error_code(KvErrc::kNotFound));
  BOOST_TEST(it.Renew(lease.value).error == make_error_code(KvErrc::kNotFound));
  BOOST_TEST(it.Write("e/b", "x", 0, lease.value).error ==
             make_error_code(KvErrc::kNotFound));
}

BOOST_AUTO_TEST_CASE(Watch_NextChange_EndsWithNewEntries) {
  Contract it;
  const auto created = it.Write("w/a", "one", 0);
  bool seen = false;
  it.ports->kv().Watch(
      "w/", created.value,
      [&](std::error_code error, const std::vector<KvEntry>& entries) {
        BOOST_TEST(!error);
        BOOST_REQUIRE(entries.size() == 1u);
        BOOST_TEST(entries[0].value == "two");
        seen = true;
      });
  it.Sleep(Millis(200));
  BOOST_TEST(!seen);
  it.Write("w/a", "two", created.value);
  it.ports->AdvanceUntil(Millis(5000), [&]() { return seen; });
  BOOST_TEST(seen);
}

BOOST_AUTO_TEST_CASE(Read_LongValue_IsUnchanged) {
  Contract it;
  std::string value = "\"quotes\" \\ \n \t \xc3\xa9 ";
  value.resize(900'000, 'x');
  BOOST_TEST(!it.Write("v/a", value, 0).error);
  BOOST_TEST((it.Read("v/a").value.value == value));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(worker_contract)

BOOST_AUTO_TEST_CASE(Acquire_AfterRelease_EpochIsHigherAndOldOneFenced) {
  Contract it;
  const auto first = it.Acquire(true);
  BOOST_REQUIRE(!first.error);
  BOOST_TEST((first.value.capacity == kCapacity));
  BOOST_TEST(it.Acquire(false).error ==
             make_error_code(WorkerErrc::kHeldByOther));
  BOOST_TEST(!it.Release(true, first.value.epoch).error);
  const auto second = it.Acquire(false);
  BOOST_REQUIRE(!second.error);
  BOOST_TEST(second.value.epoch > first.value.epoch);
  const auto stale = it.Send(true, first.value.epoch, {});
  BOOST_TEST(stale.error == make_error_code(WorkerErrc::kStaleEpoch));
  it.Sleep(kControlLease * 2);
  // The holder of an expired lease can send no more orders, and any other
  // instance can acquire the lease.
  BOOST_TEST(it.Send(false, second.value.epoch, {}).error ==
             make_error_code(WorkerErrc::kStaleEpoch));
  const auto third = it.Acquire(true);
  BOOST_TEST(!third.error);
  it.Release(true, third.value.epoch);
}

BOOST_AUTO_TEST_CASE(Send_RepeatedOrders_ActOnceAndEndIsListedUntilForgotten) {
  Contract it;
  const auto lease = it.Acquire(true);
  BOOST_REQUIRE(!lease.error);
  const uint64_t epoch = lease.value.epoch;
  const auto start = Contract::Order(OrderKind::kStart, 10);
  auto answer = it.Send(true, epoch, {start, start});
  BOOST_REQUIRE(answer.value.results.size() == 2u);
  BOOST_TEST(answer.value.results[1].accepted);
  BOOST_TEST(answer.value.boot_id == lease.value.boot_id);
  auto stop = Contract::Order(OrderKind::kStop, 10);
  stop.take_checkpoint = true;
  answer = it.Send(true, epoch, {stop, stop});
  answer = it.Send(true, epoch, {});
  BOOST_REQUIRE(answer.value.ended.size() == 1u);
  const WorkerTask& ended = answer.value.ended[0];
  BOOST_TEST((ended.attempt == AttemptId{1, 10}));
  BOOST_TEST((ended.shard == ShardId{"plaka", 3}));
  BOOST_TEST((ended.end == AttemptEnd::kStopped));
  BOOST_TEST(ended.checkpoint.starts_with("done-ms-"));
  BOOST_TEST(ended.spec.payload == start.spec.payload);
  it.Send(true, epoch, {Contract::Order(OrderKind::kForget, 10)});
  BOOST_TEST(it.Send(true, epoch, {}).value.ended.empty());
  it.Release(true, epoch);
}

BOOST_AUTO_TEST_CASE(Task_HolderLost_RunsUntilTaskLeaseExpires) {
  Contract it;
  const auto lease = it.Acquire(true);
  BOOST_REQUIRE(!lease.error);
  it.Send(true, lease.value.epoch, {Contract::Order(OrderKind::kStart, 20)});
  it.Sleep(kControlLease + Millis(100));
  const auto next = it.Acquire(false);
  BOOST_REQUIRE(!next.error);
  BOOST_REQUIRE(next.value.tasks.size() == 1u);
  BOOST_TEST((next.value.tasks[0].state == RunState::kRunning));
  // An acquisition alone does not keep tasks alive.
  it.Sleep(kTaskLease);
  const auto last = it.Acquire(true);
  BOOST_REQUIRE(!last.error);
  BOOST_REQUIRE(last.value.tasks.size() == 1u);
  BOOST_TEST((last.value.tasks[0].state == RunState::kEnded));
  BOOST_TEST((last.value.tasks[0].end == AttemptEnd::kLost));
  it.Send(true, last.value.epoch, {Contract::Order(OrderKind::kForget, 20)});
  it.Release(true, last.value.epoch);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
