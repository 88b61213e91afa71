// SPDX-License-Identifier: Apache-2.0

// Guards against a cancelled job that runs although its cancellation was
// answered, because a submission of it was still under way.

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "doorwood/ingress.h"
#include "fakes/cell_world.h"

namespace doorwood {
namespace {

constexpr char kJob[] = "00112233aabbccdd";
constexpr char kTask[] = "00112233aabbccdd.0.0.0";
constexpr Millis kStep{10};
// Cancellations are asked for again after this time.
constexpr Millis kRetryPause{500};
// The time that the tests allow a caller until a cancellation is answered with
// success or "no such job", counted from the end of the faults.
constexpr Millis kAnswerTime{12'000};
// Time on the way to another instance, and a call's time limit.
constexpr Millis kDelay{1};
constexpr Millis kTimeout{2400};
// Late writes and submissions take effect within this time.
constexpr Millis kSettleTime{12'000};

// Connects the instances' ingresses to their leaders. A call to an instance
// that is killed or frozen gets no answer; a frozen one handles it later.
class WorldPeers : public CellPeers {
 public:
  WorldPeers(fakes::CellWorld& world, fakes::WorldInstance& self)
      : world_(world), self_(self) {}

  void Submit(const CellLead& lead,
              const JobPlan& plan,
              SubmitCallback done) override {
    Call<AcceptOutcome>(lead, std::move(done),
                        [plan](CellLeader& leader, SubmitCallback answer) {
                          leader.Submit(plan, std::move(answer));
                        });
  }
  void Cancel(const CellLead& lead,
              const std::string& job,
              CancelCallback done) override {
    Call<int>(
        lead,
        [done = std::move(done)](std::error_code error, int) { done(error); },
        [job](CellLeader& leader,
              const std::function<void(std::error_code, int)>& answer) {
          leader.Cancel(job,
                        [answer](std::error_code error) { answer(error, 0); });
        });
  }
  void FetchJobState(const CellLead& lead,
                     const std::string& job,
                     StateCallback done) override {
    Call<JobPhase>(lead, std::move(done),
                   [job](CellLeader& leader, StateCallback answer) {
                     leader.FetchJobPhase(job, std::move(answer));
                   });
  }
  void FetchCellSummary(const CellLead& lead, SummaryCallback done) override {
    Call<CellSummary>(lead, std::move(done),
                      [](CellLeader& leader, const SummaryCallback& answer) {
                        answer({}, leader.summary());
                      });
  }
  void AwaitAcceptance(const CellLead& lead,
                       Millis,
                       SummaryCallback done) override {
    FetchCellSummary(lead, std::move(done));
  }

 private:
  template <typename T>
  using Answer = std::function<void(std::error_code, T)>;

  template <typename T, typename Handler>
  void Call(const CellLead& lead, Answer<T> done, Handler handle) {
    auto open = std::make_shared<Answer<T>>(std::move(done));
    const auto finish = [executor = self_.executor.get(), open](
                            Millis delay, std::error_code error, T value) {
      executor->DeliverAnswer(delay, [open, error, value] {
        if (const auto callback = std::exchange(*open, nullptr)) {
          callback(error, value);
        }
      });
    };
    finish(kTimeout, PeerErrc::kNoAnswer, {});
    const auto found = world_.instances().find(lead.instance);
    if (found == world_.instances().end() || !found->second->alive) {
      finish(kDelay, PeerErrc::kNotSent, {});
      return;
    }
    fakes::WorldInstance& other = *found->second;
    other.executor->DeliverAnswer(kDelay, [&other, finish, handle] {
      if (!other.cell->leading()) {
        finish(kDelay, CoreErrc::kNoOwner, {});
        return;
      }
      handle(*other.cell, [finish](std::error_code error, T value) {
        finish(kDelay, error, value);
      });
    });
  }

  fakes::CellWorld& world_;
  fakes::WorldInstance& self_;
};

// What becomes of the writes of the leader while the submission is recorded.
enum class Fate {
  kUnanswered,
  kUnansweredAndLate,
  kLost,
  kRefused,
  kAnsweredSlowly,
};
enum class LeaderEnd { kStays, kKilled, kStopsAsPlanned, kPaused, kRevoked };

// Three instances with an ingress each, and a worker.
struct CancelFixture {
  explicit CancelFixture(uint64_t seed = 5) : world(seed) {
    world.SetTable({fakes::MakeQueue("queue", 3)});
    world.AddWorker("w1", 8000);
    for (const char* name : {"a1", "b1", "c1"}) {
      world.AddInstance(name, "plaka");
    }
    world.WaitForLeader();
    for (const auto& [name, instance] : world.instances()) {
      peers.push_back(std::make_unique<WorldPeers>(world, *instance));
      IngressOptions options;
      options.returns.max_held = 10;
      ingresses[name] = std::make_unique<Ingress>(
          *instance->executor, *instance->store, *peers.back(), *instance->live,
          *instance->log, std::vector<CellLeader*>{instance->cell.get()},
          options);
      ingresses[name]->Start();
    }
    world.Run(Millis(3000));
    leader = world.Leader()->name;
    for (const auto& [name, instance] : world.instances()) {
      (name == leader ? leader : other.empty() ? other : third) = name;
    }
  }
  ~CancelFixture() {
    for (const std::string& rule : world.violations()) {
      BOOST_ERROR(rule);
    }
  }
  CancelFixture(const CancelFixture&) = delete;
  CancelFixture& operator=(const CancelFixture&) = delete;

  bool IsUp(const std::string& name) {
    const auto found = world.instances().find(name);
    return found != world.instances().end() && found->second->alive;
  }

  // The caller's connection delivers the request once the instance reads it.
  void Submit(const std::string& at) {
    world.instances().at(at)->executor->DeliverAnswer(Millis(1), [this, at] {
      Caller caller;
      caller.time_left = Millis(3000);
      JobPlan plan = fakes::MakePlan(kJob, 1, 1, "ms=60000");
      plan.accepted_at = world.time().now_ms();
      ingresses.at(at)->Submit(
          plan, caller,
          [this](const SubmitResult& result) { submit_answer = result.error; });
    });
  }

  // Cancels once; empty: no answer within `wait`.
  std::optional<std::error_code> Cancel(const std::string& at, Millis wait) {
    auto answer = std::make_shared<std::optional<std::error_code>>();
    ingresses.at(at)->Cancel(
        kJob, [answer](std::error_code error) { *answer = error; });
    RunUntil(wait, [&answer] { return answer->has_value(); });
    return *answer;
  }

  std::optional<std::pair<std::error_code, JobPhase>> Query(
      const std::string& at) {
    auto answer =
        std::make_shared<std::optional<std::pair<std::error_code, JobPhase>>>();
    ingresses.at(at)->FetchJobState(
        kJob, [answer](std::error_code error, JobPhase phase) {
          *answer = std::pair(error, phase);
        });
    RunUntil(Millis(2500), [&answer] { return answer->has_value(); });
    return *answer;
  }

  // Cancels at all living instances in turn until one says that the job is
  // cancelled or that there is no such job.
  bool CancelUntilAnswered(const std::string& first) {
    const std::array<std::string, 4> turns = {first, other, third, leader};
    const Instant begin = world.time().now();
    for (size_t turn = 0; world.time().now() - begin < kAnswerTime; ++turn) {
      const std::string& at = turns.at(turn % turns.size());
      if (!IsUp(at) || world.instances().at(at)->executor->frozen()) {
        continue;
      }
      const auto answer = Cancel(at, Millis(3000));
      if (answer &&
          (!*answer || *answer == make_error_code(CoreErrc::kNotFound))) {
        return true;
      }
      world.RunExactly(kRetryPause);
    }
    return false;
  }

  void ExpectNothingStartsFromNowOn() {
    const int before = world.starts(kTask);
    world.Run(kSettleTime);
    BOOST_TEST(world.starts(kTask) == before);
    BOOST_TEST(world.CountRuns(kTask) == 0);
    const auto state = Query(third);
    BOOST_REQUIRE(state.has_value());
    const bool denied = state->first == make_error_code(CoreErrc::kNotFound);
    const bool cancelled =
        !state->first && state->second == JobPhase::kCancelled;
    BOOST_TEST((denied || cancelled));
  }

  template <typename Condition>
  void RunUntil(Millis limit, Condition condition) {
    const Instant begin = world.time().now();
    while (!condition() && world.time().now() - begin < limit) {
      world.RunExactly(kStep);
    }
  }

  void SetFaults(Fate fate) {
    fakes::StoreFaults& faults = world.instances().at(leader)->store_faults;
    faults = {};
    switch (fate) {
      case Fate::kUnanswered:
        faults.lost_reply_share = 1;
        break;
      case Fate::kUnansweredAndLate:
        faults.delayed_write_share = 1;
        break;
      case Fate::kLost:
        faults.unresponsive = true;
        break;
      case Fate::kRefused:
        faults.unavailable = true;
        break;
      case Fate::kAnsweredSlowly:
        faults.answer_delay = Millis(600);
        break;
    }
  }
  void ClearFaults() {
    if (IsUp(leader)) {
      world.instances().at(leader)->store_faults = {};
    }
  }

  void EndLeader(LeaderEnd end) {
    fakes::WorldInstance& instance = *world.instances().at(leader);
    switch (end) {
      case LeaderEnd::kStays:
        break;
      case LeaderEnd::kKilled:
        world.Kill(leader);
        break;
      case LeaderEnd::kStopsAsPlanned:
        instance.cell->ShutDown([] {}, Millis(6000));
        break;
      case LeaderEnd::kPaused:
        instance.executor->Freeze();
        world.time().RunAt(world.time().now() + Millis(5000),
                           [&instance] { instance.executor->Thaw(); });
        break;
      case LeaderEnd::kRevoked: {
        StoreTransaction removal;
        removal.removes.push_back(LeadKey("all"));
        StoreCommit ignored;
        BOOST_TEST(!world.store().Commit(removal, &ignored));
        break;
      }
    }
  }

  fakes::CellWorld world;
  std::vector<std::unique_ptr<WorldPeers>> peers;
  std::map<std::string, std::unique_ptr<Ingress>> ingresses;
  std::string leader;
  std::string other;
  std::string third;
  std::optional<std::error_code> submit_answer;
};

struct Course {
  Fate fate;
  Millis faults_for;
  Millis cancel_after;
  LeaderEnd end;
  bool cancel_at_leader;
};

std::vector<Course> AllCourses() {
  std::vector<Course> courses;
  for (const Fate fate : {Fate::kUnanswered, Fate::kUnansweredAndLate,
                          Fate::kLost, Fate::kRefused, Fate::kAnsweredSlowly}) {
    for (const int faults_for : {100, 1000, 3500}) {
      for (const int cancel_after : {2, 40, 500, 2500}) {
        for (const LeaderEnd end :
             {LeaderEnd::kStays, LeaderEnd::kKilled, LeaderEnd::kStopsAsPlanned,
              LeaderEnd::kPaused, LeaderEnd::kRevoked}) {
          for (const bool at_leader : {false, true}) {
            courses.push_back({fate, Millis(faults_for), Millis(cancel_after),
                               end, at_leader});
          }
        }
      }
    }
  }
  return courses;
}

std::string Describe(const Course& course) {
  return "fate " + std::to_string(static_cast<int>(course.fate)) + " for " +
         std::to_string(course.faults_for.count()) + " ms, cancelled after " +
         std::to_string(course.cancel_after.count()) + " ms" +
         (course.cancel_at_leader ? " at the leader" : "") + ", end " +
         std::to_string(static_cast<int>(course.end));
}

// The leader ends just after the answer.
BOOST_AUTO_TEST_CASE(Cancel_RecordInFlight_AnswerHolds) {
  for (const Course& course : AllCourses()) {
    BOOST_TEST_CONTEXT(Describe(course)) {
      CancelFixture fixture;
      fixture.SetFaults(course.fate);
      fixture.world.time().RunAt(fixture.world.time().now() + course.faults_for,
                                 [&fixture] { fixture.ClearFaults(); });
      fixture.Submit(fixture.other);
      fixture.world.RunExactly(course.cancel_after);
      BOOST_TEST(fixture.CancelUntilAnswered(
          course.cancel_at_leader ? fixture.leader : fixture.third));
      fixture.EndLeader(course.end);
      fixture.ExpectNothingStartsFromNowOn();
    }
  }
}

// The leader ends before the cancellation is asked for.
BOOST_AUTO_TEST_CASE(Cancel_LeaderEndsWithRecordInFlight_AnswerHolds) {
  for (const Course& course : AllCourses()) {
    if (course.end == LeaderEnd::kStays || course.cancel_at_leader) {
      continue;
    }
    BOOST_TEST_CONTEXT(Describe(course)) {
      CancelFixture fixture;
      fixture.SetFaults(course.fate);
      fixture.world.time().RunAt(fixture.world.time().now() + course.faults_for,
                                 [&fixture] { fixture.ClearFaults(); });
      fixture.Submit(fixture.other);
      fixture.world.RunExactly(course.cancel_after);
      fixture.EndLeader(course.end);
      BOOST_TEST(fixture.CancelUntilAnswered(fixture.third));
      fixture.ExpectNothingStartsFromNowOn();
    }
  }
}

// An instance is paused while a submission waits in its socket.
BOOST_AUTO_TEST_CASE(Cancel_SubmissionReadAfterPause_AnswerHolds) {
  for (const int pause : {700, 2000, 4000}) {
    for (const bool at_leader : {false, true}) {
      BOOST_TEST_CONTEXT("pause " << pause << (at_leader ? ", leader" : "")) {
        CancelFixture fixture;
        fixture.world.instances().at(fixture.other)->executor->Freeze();
        fixture.Submit(fixture.other);
        fixture.world.RunExactly(Millis(500));
        BOOST_TEST(fixture.CancelUntilAnswered(at_leader ? fixture.leader
                                                         : fixture.third));
        fixture.world.RunExactly(Millis(pause));
        fixture.world.instances().at(fixture.other)->executor->Thaw();
        fixture.ExpectNothingStartsFromNowOn();
      }
    }
  }
}

// A submission waits in an instance until there is a leader, or is made just
// after the leader was killed.
BOOST_AUTO_TEST_CASE(Cancel_SubmissionHeld_AnswerHolds) {
  for (const int submit_after : {10, 300, 1500, 2500}) {
    for (const int cancel_after : {10, 300, 1500}) {
      BOOST_TEST_CONTEXT("submitted after " << submit_after
                                            << ", cancelled after "
                                            << cancel_after) {
        CancelFixture fixture;
        fixture.world.Kill(fixture.leader);
        fixture.world.RunExactly(Millis(submit_after));
        fixture.Submit(fixture.other);
        fixture.world.RunExactly(Millis(cancel_after));
        BOOST_TEST(fixture.CancelUntilAnswered(fixture.third));
        fixture.ExpectNothingStartsFromNowOn();
      }
    }
  }
}

// "No such job" is not answered about a job that a leader is recording.
BOOST_AUTO_TEST_CASE(State_RecordInFlight_IsNotDenied) {
  for (const bool at_leader : {false, true}) {
    CancelFixture fixture;
    fixture.SetFaults(Fate::kUnansweredAndLate);
    fixture.Submit(fixture.other);
    fixture.world.RunExactly(Millis(300));
    const auto state =
        fixture.Query(at_leader ? fixture.leader : fixture.third);
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST((state->first != make_error_code(CoreErrc::kNotFound)));
  }
}

// A submission that is made after the answer is a new one.
BOOST_AUTO_TEST_CASE(Submit_AgainAfterNoSuchJob_IsAccepted) {
  for (const bool new_leader : {false, true}) {
    CancelFixture fixture;
    BOOST_TEST((fixture.Cancel(fixture.third, Millis(1000)) ==
                make_error_code(CoreErrc::kNotFound)));
    fixture.world.Run(Millis(2500));
    if (new_leader) {
      fixture.world.Kill(fixture.leader);
      fixture.world.WaitForLeader();
      fixture.world.Run(Millis(2500));
    }
    fixture.Submit(fixture.other);
    fixture.world.Run(Millis(1000));
    BOOST_REQUIRE(fixture.submit_answer.has_value());
    BOOST_TEST(!*fixture.submit_answer);
    fixture.world.Run(Millis(1000));
    BOOST_TEST(fixture.world.CountRuns(kTask) == 1);
    // It is cancelled like any other job.
    BOOST_TEST(
        (fixture.Cancel(fixture.third, Millis(3000)) == std::error_code()));
    fixture.ExpectNothingStartsFromNowOn();
  }
}

// Many jobs that nobody knows are cancelled at once, each twice.
BOOST_AUTO_TEST_CASE(Cancel_ManyUnknownJobs_AllAreAnswered) {
  constexpr int kJobs = 1000;
  CancelFixture fixture;
  int denied = 0;
  for (int i = 0; i < kJobs; ++i) {
    const std::string id = "0000000000" + std::to_string(100'000 + i);
    for (const std::string& at : {fixture.leader, fixture.third}) {
      fixture.ingresses.at(at)->Cancel(id, [&denied](std::error_code error) {
        denied += error == make_error_code(CoreErrc::kNotFound) ? 1 : 0;
      });
    }
  }
  fixture.world.Run(Millis(3000));
  BOOST_TEST(denied == 2 * kJobs);
}

}  // namespace
}  // namespace doorwood
