// SPDX-License-Identifier: Apache-2.0

// Which address is used to reach an incarnation of a worker, and at which
// address the answer of another incarnation proves that this one has ended.

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>

#include "doorwood/worker_session.h"
#include "fakes/fakes.h"
#include "libdoorwood/cell/null_session_listener.h"
#include "standin/run_worker_model.h"

namespace doorwood {
namespace {

enum class Responder { kThisIncarnation, kOtherIncarnation, kNobody };

// One incarnation of a worker, and which incarnation answers at each address.
class AddressedWorker : public RunWorkerClient {
 public:
  AddressedWorker(fakes::VirtualTime& time, Executor& executor)
      : time_(time), executor_(executor) {}

  void Poll(const WorkerIncarnation& worker,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    WorkerReport report;
    const auto error =
        Answer(worker, [&] { return model.Poll(order, &report); });
    const Millis delay = std::max(kDelay, error ? kDelay : order.max_wait);
    executor_.Schedule(delay, [error, report, done = std::move(done)] {
      done(error, report);
    });
  }
  void Start(const WorkerIncarnation& worker,
             const StartOrder& order,
             Callback<int64_t> done) override {
    ScheduleAnswer(Answer(worker, [&] { return model.Start(order); }),
                   std::move(done));
  }
  void Stop(const WorkerIncarnation& worker,
            const StopOrder& order,
            Callback<int64_t> done) override {
    ScheduleAnswer(Answer(worker, [&] { return model.Stop(order); }),
                   std::move(done));
  }
  void Pace(const WorkerIncarnation& worker,
            const PaceOrder& order,
            Callback<int64_t> done) override {
    ScheduleAnswer(Answer(worker, [&] { return model.Pace(order); }),
                   std::move(done));
  }

  standin::RunWorkerModel model;
  std::map<std::string, Responder> responders;
  std::map<std::string, int> calls;

 private:
  static constexpr Millis kDelay{50};

  template <typename Effect>
  std::error_code Answer(const WorkerIncarnation& worker, Effect effect) {
    model.Advance(time_.now_ms());
    ++calls[worker.address];
    const auto responder = responders.find(worker.address);
    if (responder == responders.end() ||
        responder->second == Responder::kNobody) {
      return RunErrc::kNoAnswer;
    }
    if (responder->second == Responder::kOtherIncarnation) {
      return RunErrc::kOtherIncarnation;
    }
    return effect();
  }
  void ScheduleAnswer(std::error_code error, Callback<int64_t> done) {
    executor_.Schedule(kDelay, [this, error, done = std::move(done)] {
      done(error, error ? 0 : model.now());
    });
  }

  fakes::VirtualTime& time_;
  Executor& executor_;
};

struct AddressFixture : public fakes::NullSessionListener {
  AddressFixture() : executor(time, 1), worker(time, executor) {
    session = std::make_shared<WorkerSession>(
        executor, worker, log, *this, WorkerSessionOptions{}, WorkerAt("a"), 5);
    session->SetLeaseExtensionEnd(Instant::max());
    session->SetLeadConfirmedUntil(Instant::max());
  }
  ~AddressFixture() override { session->Close(); }
  AddressFixture(const AddressFixture&) = delete;
  AddressFixture& operator=(const AddressFixture&) = delete;

  static WorkerIncarnation WorkerAt(const std::string& address) {
    WorkerIncarnation incarnation;
    incarnation.id = "w1";
    incarnation.address = address;
    incarnation.capacity = {32'000, 1000, 0};
    return incarnation;
  }
  void OnRunBegan(WorkerSession&, const Run&) override {}
  void OnRunEnded(WorkerSession&, const Run&, RunEnd, bool) override {
    ++ended;
  }

  void Open() {
    session->Open();
    AdvanceTime(Millis(500));
  }
  // Reads the directory once a second if `listed` is set. The leader reads it
  // about twice as often.
  void AdvanceTime(Millis duration) {
    constexpr Millis kStep{100};
    for (Millis passed{0}; passed < duration; passed += kStep) {
      time.Run(kStep);
      session->Tick();
      if (!listed.empty() && passed % Millis(1000) == Millis(0)) {
        session->UpdateFromDirectory(WorkerAt(listed));
      }
    }
    worker.model.Advance(time.now_ms());
  }
  void Start() {
    Run run;
    run.task = "t";
    run.number = 1;
    run.size = {1000, 10, 0};
    session->Start(run, "", "");
    AdvanceTime(Millis(500));
  }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor;
  AddressedWorker worker;
  fakes::Trace trace;
  fakes::FakeLog log{time, "session", trace};
  std::shared_ptr<WorkerSession> session;
  /// Address that the directory names; empty: the directory is not read.
  std::string listed;
  int ended = 0;
};

// Longer than a lease: a run that is still active has had its lease extended.
constexpr Millis kLongerThanLease{15'000};

BOOST_FIXTURE_TEST_CASE(Update_OtherIncarnationAtNewAddress_NoRunEnds,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation},
                       {"b", Responder::kOtherIncarnation}};
  Open();
  Start();
  listed = "b";
  AdvanceTime(kLongerThanLease);
  BOOST_TEST(ended == 0);
  BOOST_TEST(!session->dead());
  BOOST_TEST(session->responsive());
  BOOST_TEST(session->incarnation().address == "a");
  BOOST_TEST(worker.model.IsRunning("t"));
}

BOOST_FIXTURE_TEST_CASE(Update_NobodyAtNewAddress_OldAddressIsKept,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation}};
  Open();
  Start();
  listed = "b";
  AdvanceTime(kLongerThanLease);
  BOOST_TEST(ended == 0);
  BOOST_TEST(session->responsive());
  BOOST_TEST(worker.model.IsRunning("t"));
  listed = "a";
  AdvanceTime(Millis(2000));
  const int before = worker.calls["b"];
  AdvanceTime(Millis(3000));
  BOOST_TEST(worker.calls["b"] == before);
}

BOOST_FIXTURE_TEST_CASE(Update_WorkerAnswersAtNewAddress_IsCalledThere,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation},
                       {"b", Responder::kThisIncarnation}};
  Open();
  Start();
  listed = "b";
  AdvanceTime(Millis(3000));
  BOOST_TEST(session->incarnation().address == "b");
  worker.responders["a"] = Responder::kOtherIncarnation;
  AdvanceTime(kLongerThanLease);
  BOOST_TEST(ended == 0);
  BOOST_TEST(worker.model.IsRunning("t"));
  worker.responders["b"] = Responder::kOtherIncarnation;
  AdvanceTime(Millis(2000));
  BOOST_TEST(ended == 1);
  BOOST_TEST(session->dead());
}

BOOST_FIXTURE_TEST_CASE(Update_WorkerMoved_IsFoundAtNewAddress,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation}};
  Open();
  Start();
  worker.responders = {{"b", Responder::kThisIncarnation}};
  listed = "b";
  AdvanceTime(kLongerThanLease);
  BOOST_TEST(ended == 0);
  BOOST_TEST(session->responsive());
  BOOST_TEST(worker.model.IsRunning("t"));
}

// If another incarnation answers at the address where this one has answered,
// this one has ended, whatever address a later directory entry names.
BOOST_FIXTURE_TEST_CASE(Poll_OtherIncarnationAtVerifiedAddress_AllRunsEnd,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation},
                       {"b", Responder::kOtherIncarnation}};
  Open();
  Start();
  listed = "b";
  AdvanceTime(Millis(2000));
  worker.responders["a"] = Responder::kOtherIncarnation;
  AdvanceTime(Millis(2000));
  BOOST_TEST(ended == 1);
  BOOST_TEST(session->dead());
}

BOOST_FIXTURE_TEST_CASE(Start_OtherIncarnationAtVerifiedAddress_AllRunsEnd,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation}};
  Open();
  worker.responders["a"] = Responder::kOtherIncarnation;
  Start();
  BOOST_TEST(ended == 1);
  BOOST_TEST(session->dead());
}

// At an address where this incarnation has never answered, the answer of
// another one does not prove that this one has ended.
BOOST_FIXTURE_TEST_CASE(Poll_AddressNotVerified_OtherIncarnationProvesNothing,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kOtherIncarnation},
                       {"b", Responder::kThisIncarnation}};
  Open();
  AdvanceTime(Millis(5000));
  BOOST_TEST(!session->dead());
  BOOST_TEST(!session->fenced());
  BOOST_TEST(worker.calls["a"] < 10);
  listed = "b";
  AdvanceTime(Millis(2000));
  BOOST_TEST(session->fenced());
  BOOST_TEST(session->incarnation().address == "b");
}

// A poll to the first address is in flight when the entry changes.
BOOST_FIXTURE_TEST_CASE(Poll_FirstAnswerAfterUpdate_AddressIsKept,
                        AddressFixture) {
  worker.responders = {{"a", Responder::kThisIncarnation},
                       {"b", Responder::kOtherIncarnation}};
  session->Open();
  session->UpdateFromDirectory(WorkerAt("b"));
  AdvanceTime(Millis(500));
  BOOST_TEST(session->fenced());
  Start();
  AdvanceTime(Millis(3000));
  BOOST_TEST(session->incarnation().address == "a");
  BOOST_TEST(worker.model.IsRunning("t"));
  BOOST_TEST(ended == 0);
}

struct RecordedRow {
  const char* name;
  /// Who answers at the recorded and at the listed address.
  Responder recorded;
  Responder listed;
  bool dead;
  bool fenced;
};

// The record of an earlier leader has the address at which that leader was in
// contact with this incarnation, so the address is treated as verified.
BOOST_AUTO_TEST_CASE(Poll_RecordedAddress_CountsAsVerified) {
  const RecordedRow rows[] = {
      {"gone", Responder::kOtherIncarnation, Responder::kOtherIncarnation, true,
       false},
      {"unreachable", Responder::kNobody, Responder::kOtherIncarnation, false,
       false},
      {"moved", Responder::kNobody, Responder::kThisIncarnation, false, true},
      {"still at the recorded address", Responder::kThisIncarnation,
       Responder::kOtherIncarnation, false, true},
  };
  for (const RecordedRow& row : rows) {
    AddressFixture fixture;
    fixture.worker.responders = {{"a", row.recorded}, {"b", row.listed}};
    fixture.session->MarkVerified();
    fixture.session->Open();
    fixture.listed = "b";
    fixture.AdvanceTime(Millis(4000));
    BOOST_TEST_CONTEXT(row.name) {
      BOOST_TEST(fixture.session->dead() == row.dead);
      BOOST_TEST(fixture.session->fenced() == row.fenced);
    }
  }
}

}  // namespace
}  // namespace doorwood
