// SPDX-License-Identifier: Apache-2.0

// Explores the interleavings, up to a number of steps, of a start, a stop and
// polls: each call is carried out and answered at any time and in any order, or
// gets no answer, or is carried out after its time-out. Whatever the session
// concludes about the run has to be true.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "doorwood/worker_session.h"
#include "fakes/fakes.h"
#include "libdoorwood/cell/null_session_listener.h"
#include "standin/run_worker_model.h"

namespace doorwood {
namespace {

constexpr const char* kTask = "t";

// Calls that the test carries out and answers, one step at a time.
class SteppedWorkers : public RunWorkerClient {
 public:
  struct Pending {
    std::function<void()> carry_out;
    std::function<void()> answer;
    std::function<void()> lose;
    bool is_start = false;
    bool carried_out = false;
    bool answered = false;
  };

  void Poll(const WorkerIncarnation&,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    auto report = std::make_shared<WorkerReport>();
    Pending call;
    call.carry_out = [this, order, report] { model.Poll(order, report.get()); };
    call.answer = [report, done] { done({}, *report); };
    call.lose = [done] { done(RunErrc::kNoAnswer, {}); };
    calls.push_back(std::move(call));
  }
  void Start(const WorkerIncarnation&,
             const StartOrder& order,
             Callback<int64_t> done) override {
    Add(
        [this, order] {
          const auto error = model.Start(order);
          began = began || model.IsRunning(kTask);
          return error;
        },
        std::move(done));
    calls.back().is_start = true;
    start = order;
  }
  void Stop(const WorkerIncarnation&,
            const StopOrder& order,
            Callback<int64_t> done) override {
    Add([this, order] { return model.Stop(order); }, std::move(done));
  }
  void Pace(const WorkerIncarnation&,
            const PaceOrder&,
            Callback<int64_t>) override {}

  /// The run is active, or may still begin.
  bool MayRun() const {
    if (model.IsRunning(kTask)) {
      return true;
    }
    for (const Pending& call : calls) {
      if (call.is_start && !call.carried_out) {
        standin::RunWorkerModel later = model;
        return !later.Start(start);
      }
    }
    return false;
  }

  standin::RunWorkerModel model;
  StartOrder start;
  bool began = false;
  std::vector<Pending> calls;

 private:
  void Add(std::function<std::error_code()> effect, Callback<int64_t> done) {
    auto error = std::make_shared<std::error_code>();
    Pending call;
    call.carry_out = [effect = std::move(effect), error] { *error = effect(); };
    call.answer = [this, error, done] { done(*error, model.now()); };
    call.lose = [done] { done(RunErrc::kNoAnswer, 0); };
    calls.push_back(std::move(call));
  }
};

struct ExplorationFixture : public fakes::NullSessionListener {
  ExplorationFixture(Millis step, const std::string& payload)
      : step(step), executor(time, 1) {
    WorkerIncarnation incarnation;
    incarnation.id = "w1";
    session = std::make_shared<WorkerSession>(
        executor, workers, log, *this, WorkerSessionOptions{}, incarnation, 5);
    session->SetLeaseExtensionEnd(Instant::max());
    session->SetLeadConfirmedUntil(Instant::max());
    time.Run(Millis(1000));
    workers.model.Advance(time.now_ms());
    session->Open();
    workers.calls[0].carry_out();
    workers.calls[0].answer();
    workers.calls.clear();
    time.Run(step);
    Run run;
    run.task = kTask;
    run.number = 1;
    session->Start(run, payload, "");
  }
  ~ExplorationFixture() override { session->Close(); }
  ExplorationFixture(const ExplorationFixture&) = delete;
  ExplorationFixture& operator=(const ExplorationFixture&) = delete;

  // Checks only ends that the session infers; those that the worker reports are
  // true.
  void OnRunBegan(WorkerSession&, const Run&) override {}
  void OnRunEnded(WorkerSession&, const Run&, RunEnd, bool reported) override {
    ended = true;
    wrong = wrong || (!reported && workers.MayRun());
  }
  void OnStartRefused(WorkerSession&, const Run&, std::error_code) override {
    ended = true;
    wrong = wrong || workers.MayRun();
  }

  // All possible next steps. A call is answered only after it was carried out,
  // but may fail without an answer before or after that. Calls are independent
  // of each other.
  std::vector<std::function<void()>> Choices() {
    std::vector<std::function<void()>> choices;
    for (size_t i = 0; i < workers.calls.size(); ++i) {
      const SteppedWorkers::Pending& call = workers.calls[i];
      if (!call.carried_out) {
        choices.emplace_back([this, i] {
          workers.calls[i].carried_out = true;
          workers.calls[i].carry_out();
        });
      } else if (!call.answered) {
        choices.emplace_back([this, i] { Answer(i, /*lost=*/false); });
      }
      if (!call.answered) {
        choices.emplace_back([this, i] { Answer(i, /*lost=*/true); });
      }
    }
    if (!stopped && !ended) {
      choices.emplace_back([this] {
        stopped = true;
        session->Stop(kTask);
      });
    }
    return choices;
  }
  void Answer(size_t index, bool lost) {
    workers.calls[index].answered = true;
    // Copy the call, since the answer may add calls.
    const SteppedWorkers::Pending call = workers.calls[index];
    lost ? call.lose() : call.answer();
  }
  void AdvanceTime() {
    time.Run(step);
    workers.model.Advance(time.now_ms());
  }

  const Millis step;
  fakes::VirtualTime time;
  fakes::FakeExecutor executor;
  SteppedWorkers workers;
  fakes::Trace trace;
  fakes::FakeLog log{time, "session", trace};
  std::shared_ptr<WorkerSession> session;
  bool stopped = false;
  bool ended = false;
  bool wrong = false;
};

struct ExplorationRow {
  Millis step;
  const char* payload;
};

struct ExplorationStats {
  int paths = 0;
  int ended = 0;
  int began = 0;
  std::vector<std::string> wrong;
};

// Replays the choices of the path, then tries each choice possible after them.
void Explore(const ExplorationRow& row,
             size_t depth,
             std::vector<size_t>* path,
             ExplorationStats* stats) {
  ExplorationFixture fixture(row.step, row.payload);
  std::string steps;
  for (const size_t choice : *path) {
    fixture.AdvanceTime();
    fixture.Choices().at(choice)();
    steps += std::to_string(choice) + " ";
  }
  fixture.AdvanceTime();
  if (fixture.wrong) {
    stats->wrong.push_back(steps);
    return;
  }
  const size_t choices = fixture.ended ? 0 : fixture.Choices().size();
  if (path->size() == depth || choices == 0) {
    ++stats->paths;
    stats->ended += fixture.ended ? 1 : 0;
    stats->began += fixture.workers.began ? 1 : 0;
    return;
  }
  for (size_t choice = 0; choice < choices; ++choice) {
    path->push_back(choice);
    Explore(row, depth, path, stats);
    path->pop_back();
  }
}

// Covers steps without delay and steps long enough for the session's own
// timers, with runs that do not end by themselves and runs that do.
BOOST_AUTO_TEST_CASE(Session_EveryInterleaving_ConclusionsAreTrue) {
  constexpr size_t kDepth = 7;
  const ExplorationRow rows[] = {
      {Millis(0), ""},   {Millis(1), ""},       {Millis(25), ""},
      {Millis(200), ""}, {Millis(25), "ms=60"}, {Millis(200), "ms=300"}};
  for (const ExplorationRow& row : rows) {
    ExplorationStats stats;
    std::vector<size_t> path;
    Explore(row, kDepth, &path, &stats);
    BOOST_TEST_CONTEXT("steps of " << row.step.count() << " ms "
                                   << row.payload) {
      BOOST_TEST_MESSAGE(stats.paths << " paths, " << stats.ended << " ended, "
                                     << stats.began << " began");
      BOOST_TEST(stats.ended > 0);
      BOOST_TEST(stats.began > 0);
      BOOST_TEST(stats.wrong == std::vector<std::string>(),
                 boost::test_tools::per_element());
    }
  }
}

}  // namespace
}  // namespace doorwood
