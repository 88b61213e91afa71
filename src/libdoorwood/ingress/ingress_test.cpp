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
    Answer(std::move(done));
  }
  void State(const CellLead&, const std::string&, StateCallback done) override {
    Answer([done = std::move(done)](std::error_code error) {
      done(error, JobPhase::kRunning);
    });
  }
  void Summary(const CellLead&, SummaryCallback done) override {
    Answer([done = std::move(done)](std::error_code error) {
      done(error, CellSummary{});
    });
  }

  bool cut = false;
  int submits = 0;

 private:
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

}  // namespace
}  // namespace doorwood
