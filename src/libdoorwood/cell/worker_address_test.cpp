// SPDX-License-Identifier: Apache-2.0

// At which address a life of a worker is called, and whose word "another life
// answers here" is.

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>

#include "doorwood/worker_session.h"
#include "fakes/fakes.h"
#include "libdoorwood/cell/quiet_listener.h"
#include "standin/run_worker_model.h"

namespace doorwood {
namespace {

enum class Holder { kThisLife, kOtherLife, kNobody };

// One life of a worker, and who answers at which address.
class AddressedWorker : public RunWorkers {
 public:
  AddressedWorker(fakes::VirtualTime& time, Executor& executor)
      : time_(time), executor_(executor) {}

  void Hold(const WorkerLife& worker,
            const HoldOrder& order,
            Callback<WorkerReport> done) override {
    WorkerReport report;
    const auto error =
        Answer(worker, [&] { return model.Hold(order, &report); });
    const Millis delay = std::max(kDelay, error ? kDelay : order.wait);
    executor_.Schedule(delay, [error, report, done = std::move(done)] {
      done(error, report);
    });
  }
  void Start(const WorkerLife& worker,
             const StartOrder& order,
             Callback<int64_t> done) override {
    Order(Answer(worker, [&] { return model.Start(order); }), std::move(done));
  }
  void Stop(const WorkerLife& worker,
            const StopOrder& order,
            Callback<int64_t> done) override {
    Order(Answer(worker, [&] { return model.Stop(order); }), std::move(done));
  }
  void Pace(const WorkerLife& worker,
            const PaceOrder& order,
            Callback<int64_t> done) override {
    Order(Answer(worker, [&] { return model.Pace(order); }), std::move(done));
  }

  standin::RunWorkerModel model;
  std::map<std::string, Holder> holders;
  std::map<std::string, int> calls;

 private:
  static constexpr Millis kDelay{50};

  template <typename Effect>
  std::error_code Answer(const WorkerLife& worker, Effect effect) {
    model.Advance(time_.millis());
    ++calls[worker.address];
    const auto holder = holders.find(worker.address);
    if (holder == holders.end() || holder->second == Holder::kNobody) {
      return RunErrc::kNoAnswer;
    }
    if (holder->second == Holder::kOtherLife) {
      return RunErrc::kOtherLife;
    }
    return effect();
  }
  void Order(std::error_code error, Callback<int64_t> done) {
    executor_.Schedule(kDelay, [this, error, done = std::move(done)] {
      done(error, error ? 0 : model.now());
    });
  }

  fakes::VirtualTime& time_;
  Executor& executor_;
};

struct AddressFixture : public fakes::QuietListener {
  AddressFixture() : executor(time, 1), worker(time, executor) {
    session = std::make_shared<WorkerSession>(
        executor, worker, log, *this, WorkerSessionOptions{}, LifeAt("a"), 5);
    session->SetExtendUntil(Instant::max());
    session->SetLedUntil(Instant::max());
  }
  ~AddressFixture() override { session->Close(); }
  AddressFixture(const AddressFixture&) = delete;
  AddressFixture& operator=(const AddressFixture&) = delete;

  static WorkerLife LifeAt(const std::string& address) {
    WorkerLife life;
    life.id = "w1";
    life.address = address;
    life.capacity = {32'000, 1000, 0};
    return life;
  }
  void OnRunEnded(WorkerSession&, const Run&, RunEnd, bool) override {
    ++ended;
  }

  void Open() {
    session->Open();
    Pass(Millis(500));
  }
  // As the leader does: it reads the directory about once a second.
  void Pass(Millis duration) {
    constexpr Millis kStep{100};
    for (Millis passed{0}; passed < duration; passed += kStep) {
      time.Run(kStep);
      session->Tick();
      if (!listed.empty() && passed % Millis(1000) == Millis(0)) {
        session->Update(LifeAt(listed));
      }
    }
    worker.model.Advance(time.millis());
  }
  void Start() {
    Run run;
    run.task = "t";
    run.number = 1;
    run.size = {1000, 10, 0};
    session->Start(run, "", "");
    Pass(Millis(500));
  }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor;
  AddressedWorker worker;
  fakes::Trace trace;
  fakes::FakeLog log{time, "session", trace};
  std::shared_ptr<WorkerSession> session;
  /// Address that the directory names; empty: it isn't read.
  std::string listed;
  int ended = 0;
};

// Longer than a lease: what runs on is prolonged.
constexpr Millis kLong{15'000};

BOOST_FIXTURE_TEST_CASE(Update_OtherLifeAtTheNewAddress_NothingIsOver,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}, {"b", Holder::kOtherLife}};
  Open();
  Start();
  listed = "b";
  Pass(kLong);
  BOOST_TEST(ended == 0);
  BOOST_TEST(!session->dead());
  BOOST_TEST(session->responsive());
  BOOST_TEST(session->life().address == "a");
  BOOST_TEST(worker.model.Runs("t"));
}

BOOST_FIXTURE_TEST_CASE(Update_NobodyAtTheNewAddress_RunsOnAtTheOld,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}};
  Open();
  Start();
  listed = "b";
  Pass(kLong);
  BOOST_TEST(ended == 0);
  BOOST_TEST(session->responsive());
  BOOST_TEST(worker.model.Runs("t"));
  listed = "a";
  Pass(Millis(2000));
  const int before = worker.calls["b"];
  Pass(Millis(3000));
  BOOST_TEST(worker.calls["b"] == before);
}

BOOST_FIXTURE_TEST_CASE(Update_ThisLifeAnswersAtTheNewAddress_IsCalledThere,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}, {"b", Holder::kThisLife}};
  Open();
  Start();
  listed = "b";
  Pass(Millis(3000));
  BOOST_TEST(session->life().address == "b");
  worker.holders["a"] = Holder::kOtherLife;
  Pass(kLong);
  BOOST_TEST(ended == 0);
  BOOST_TEST(worker.model.Runs("t"));
  worker.holders["b"] = Holder::kOtherLife;
  Pass(Millis(2000));
  BOOST_TEST(ended == 1);
  BOOST_TEST(session->dead());
}

BOOST_FIXTURE_TEST_CASE(Update_WorkerMovedAway_IsFoundAtTheNewAddress,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}};
  Open();
  Start();
  worker.holders = {{"b", Holder::kThisLife}};
  listed = "b";
  Pass(kLong);
  BOOST_TEST(ended == 0);
  BOOST_TEST(session->responsive());
  BOOST_TEST(worker.model.Runs("t"));
}

// The address that answered is proof, whatever a later entry names.
BOOST_FIXTURE_TEST_CASE(Look_OtherLifeWhereThisOneAnswered_AllIsOver,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}, {"b", Holder::kOtherLife}};
  Open();
  Start();
  listed = "b";
  Pass(Millis(2000));
  worker.holders["a"] = Holder::kOtherLife;
  Pass(Millis(2000));
  BOOST_TEST(ended == 1);
  BOOST_TEST(session->dead());
}

BOOST_FIXTURE_TEST_CASE(Order_OtherLifeWhereThisOneAnswered_AllIsOver,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}};
  Open();
  worker.holders["a"] = Holder::kOtherLife;
  Start();
  BOOST_TEST(ended == 1);
  BOOST_TEST(session->dead());
}

// Where this life has never answered, nobody's word counts but its own.
BOOST_FIXTURE_TEST_CASE(Look_NeverHeard_OtherLifeProvesNothing,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kOtherLife}, {"b", Holder::kThisLife}};
  Open();
  Pass(Millis(5000));
  BOOST_TEST(!session->dead());
  BOOST_TEST(!session->fenced());
  BOOST_TEST(worker.calls["a"] < 10);
  listed = "b";
  Pass(Millis(2000));
  BOOST_TEST(session->fenced());
  BOOST_TEST(session->life().address == "b");
}

// A look is under way to the first address when the entry changes.
BOOST_FIXTURE_TEST_CASE(Look_FirstAnswerAfterAnUpdate_AddressStays,
                        AddressFixture) {
  worker.holders = {{"a", Holder::kThisLife}, {"b", Holder::kOtherLife}};
  session->Open();
  session->Update(LifeAt("b"));
  Pass(Millis(500));
  BOOST_TEST(session->fenced());
  Start();
  Pass(Millis(3000));
  BOOST_TEST(session->life().address == "a");
  BOOST_TEST(worker.model.Runs("t"));
  BOOST_TEST(ended == 0);
}

struct RecordedRow {
  const char* name;
  Holder recorded;
  Holder listed;
  bool dead;
  bool fenced;
};

// An earlier leader's record names the address at which it heard this life, so
// that counts as answered.
BOOST_AUTO_TEST_CASE(Look_RecordedAddress_ProvesAsOneThatAnswered) {
  const RecordedRow rows[] = {
      {"gone", Holder::kOtherLife, Holder::kOtherLife, true, false},
      {"cut", Holder::kNobody, Holder::kOtherLife, false, false},
      {"moved", Holder::kNobody, Holder::kThisLife, false, true},
      {"there", Holder::kThisLife, Holder::kOtherLife, false, true},
  };
  for (const RecordedRow& row : rows) {
    AddressFixture fixture;
    fixture.worker.holders = {{"a", row.recorded}, {"b", row.listed}};
    fixture.session->TrustAddress();
    fixture.session->Open();
    fixture.listed = "b";
    fixture.Pass(Millis(4000));
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(fixture.session->dead() == row.dead);
      BOOST_TEST(fixture.session->fenced() == row.fenced);
    }
  }
}

}  // namespace
}  // namespace doorwood
