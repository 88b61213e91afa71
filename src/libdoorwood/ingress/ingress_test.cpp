// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ingress.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kJob[] = "00112233aabbccdd";

// Peers that answer at once, or not at all.
class FakePeers : public CellPeers {
 public:
  explicit FakePeers(Executor& executor) : executor_(executor) {}

  void Submit(const CellLead&, const JobPlan&, SubmitCallback done) override {
    ++submits;
    Answer([done = std::move(done)](std::error_code error) {
      done(error, AcceptOutcome::kAccepted);
    });
  }
  void Cancel(const CellLead&,
              const std::string&,
              CancelCallback done) override {
    ++asked;
    AnswerAbout(std::move(done));
  }
  void State(const CellLead&, const std::string&, StateCallback done) override {
    ++asked;
    AnswerAbout([done = std::move(done)](std::error_code error) {
      done(error, JobPhase::kRunning);
    });
  }
  void Summary(const CellLead&, SummaryCallback done) override {
    Answer([done = std::move(done)](std::error_code error) {
      done(error, CellSummary{});
    });
  }

  bool cut = false;
  /// The leader has the job that it is asked about.
  bool knows = true;
  int submits = 0;
  int asked = 0;

 private:
  void AnswerAbout(std::function<void(std::error_code)> done) {
    Answer([this, done = std::move(done)](std::error_code error) {
      done(error || knows ? error : make_error_code(CoreErrc::kNotFound));
    });
  }
  void Answer(std::function<void(std::error_code)> done) {
    const std::error_code error =
        cut ? make_error_code(PeerErrc::kNoAnswer) : std::error_code();
    executor_.Schedule(Millis(cut ? 1000 : 2),
                       [error, done = std::move(done)] { done(error); });
  }

  Executor& executor_;
};

// An entry instance beside a world whose leader is another one.
struct IngressFixture {
  IngressFixture() : world(3) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    world.AddWorker("w1", 8000);
    world.AddInstance("a1", "plaka");
    world.WaitForLeader();
    self = &world.AddInstance("z9", "pireas");
    peers = std::make_unique<FakePeers>(*self->executor);
    ingress = std::make_unique<Ingress>(
        *self->executor, *self->store, *peers, *self->live, *self->log,
        std::vector<CellLeader*>{self->cell.get()}, IngressOptions{});
    ingress->Start();
    world.Run(Millis(2000));
  }

  void Submit() {
    answered = false;
    ingress->Submit(fakes::MakePlan(kJob, 1, 1, ""),
                    [this](std::error_code error, AcceptOutcome) {
                      answered = true;
                      answer = error;
                    });
  }

  void AskState() {
    answered = false;
    ingress->State(kJob, [this](std::error_code error, JobPhase) {
      answered = true;
      answer = error;
    });
  }

  void Cancel() {
    answered = false;
    ingress->Cancel(kJob, [this](std::error_code error) {
      answered = true;
      answer = error;
    });
  }

  void Record() {
    StoreTransaction transaction;
    transaction.puts.push_back({JobIdKey(kJob), "all", 0});
    StoreCommit ignored;
    world.store().Commit(transaction, &ignored);
  }

  fakes::CellWorld world;
  fakes::WorldInstance* self = nullptr;
  std::unique_ptr<FakePeers> peers;
  std::unique_ptr<Ingress> ingress;
  bool answered = false;
  std::error_code answer;
};

BOOST_FIXTURE_TEST_CASE(Submit_LeaderAnswers_JobIsTaken, IngressFixture) {
  BOOST_TEST(ingress->ReachesACell());
  Submit();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(!answer);
  BOOST_TEST(peers->submits == 1);
}

// Cut off from the leader: the caller is not held until a call runs out of
// time, and the balancer is told to send it elsewhere.
BOOST_FIXTURE_TEST_CASE(Submit_LeaderSilentForLong_IsRefusedAtOnce,
                        IngressFixture) {
  peers->cut = true;
  world.Run(Millis(2200));
  BOOST_TEST(!ingress->ReachesACell());
  Submit();
  BOOST_TEST(answered);
  BOOST_TEST(answer == make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST(peers->submits == 0);
  peers->cut = false;
  world.Run(Millis(800));
  BOOST_TEST(ingress->ReachesACell());
}

BOOST_FIXTURE_TEST_CASE(Submit_LeaderSilentForAMoment_IsStillTried,
                        IngressFixture) {
  peers->cut = true;
  world.Run(Millis(500));
  BOOST_TEST(ingress->ReachesACell());
  Submit();
  BOOST_TEST(peers->submits == 1);
}

// The store is away or slow: what the leader knows is told all the same.
BOOST_FIXTURE_TEST_CASE(State_StoreAway_TheOnlyLeaderTellsIt, IngressFixture) {
  self->store_faults.down = true;
  AskState();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(!answer);
}

BOOST_FIXTURE_TEST_CASE(Cancel_StoreAwayFromHere_TheOnlyLeaderTakesIt,
                        IngressFixture) {
  self->store_faults.down = true;
  Cancel();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(!answer);
}

// "No such job" is said on the store's word alone.
BOOST_AUTO_TEST_CASE(StateAndCancel_LeaderDoesNotKnowTheJob_StoreDecides) {
  struct Row {
    const char* name;
    bool recorded;
    bool store_away;
    std::error_code answer;
  };
  const Row rows[] = {
      {"nowhere", false, false, CoreErrc::kNotFound},
      {"recorded", true, false, CoreErrc::kNoOwner},
      {"store away", true, true, CoreErrc::kStoreUnavailable},
  };
  for (const Row& row : rows) {
    for (const bool cancels : {false, true}) {
      IngressFixture fixture;
      fixture.peers->knows = false;
      if (row.recorded) {
        fixture.Record();
      }
      fixture.self->store_faults.down = row.store_away;
      if (cancels) {
        fixture.Cancel();
      } else {
        fixture.AskState();
      }
      fixture.world.Run(Millis(100));
      BOOST_TEST_CONTEXT(row.name << (cancels ? ", cancel" : ", state")) {
        BOOST_TEST(fixture.answered);
        BOOST_TEST(fixture.answer == row.answer);
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(State_AskedAgain_GoesToTheRememberedCell,
                        IngressFixture) {
  AskState();
  world.Run(Millis(50));
  AskState();
  world.Run(Millis(50));
  BOOST_TEST(answered);
  BOOST_TEST(peers->asked == 2);
}

}  // namespace
}  // namespace doorwood
