// SPDX-License-Identifier: Apache-2.0

// A busy cell's records while the store is slow, silent, or both by turns, in
// virtual time. The load is that of 540 workers: 40 new jobs a second, 250 open
// ones of which each changes ten times a second, a cancel now and then.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <utility>

#include "doorwood/cell_journal.h"
#include "fakes/cell_world.h"
#include "fakes/commit_only_store.h"

namespace doorwood {
namespace {

// A store whose answers take a time, half of it on the way there.
class SlowStore : public fakes::CommitOnlyStore {
 public:
  using CommitOnlyStore::CommitOnlyStore;

  void Commit(const StoreTransaction& transaction,
              Callback<StoreCommit> done) override {
    ++commits;
    entries += transaction.entries();
    under_way_at_most = std::max(under_way_at_most, ++under_way_);
    const bool loses = lose_every > 0 && commits % lose_every == 0;
    if (silent || loses) {
      constexpr Millis kPatience{1000};
      const bool takes_effect = loses && !silent;
      executor.Schedule(answer_time / 2, [this, transaction, takes_effect] {
        StoreCommit ignored;
        if (takes_effect) {
          model.Commit(transaction, &ignored);
        }
      });
      executor.Schedule(kPatience, [this, done = std::move(done)] {
        --under_way_;
        done(KvErrc::kUnknown, {});
      });
      return;
    }
    executor.Schedule(
        answer_time / 2, [this, transaction, done = std::move(done)] {
          StoreCommit commit;
          const std::error_code error = model.Commit(transaction, &commit);
          executor.Schedule(answer_time / 2, [this, error, commit, done] {
            --under_way_;
            done(error, commit);
          });
        });
  }

  Millis answer_time{4};
  bool silent = false;
  /// Of so many commits one is done, but not answered; 0: none.
  int lose_every = 0;
  int commits = 0;
  size_t entries = 0;
  int under_way_at_most = 0;

 private:
  int under_way_ = 0;
};

struct Answer {
  std::error_code error;
  Millis after{0};
};

struct LoadFixture : public JournalOwner {
  LoadFixture() : executor(time, 1), store(executor) {
    journal.Open(store.TakeLead("all", "me"), {});
  }

  std::string EncodeState(const std::string& job) override {
    encoded[job] = changed[job];
    return std::to_string(changed[job]);
  }
  std::map<std::string, uint64_t> ListedEnds() override {
    return {{"w", listed_end}};
  }
  void OnAccepted(const JobPlan& plan) override { accepted.insert(plan.id); }
  int64_t PlacesHoldTo() override { return 0; }
  void OnStateWritten(const std::string&) override {}
  void OnStateRecorded(const std::string& job) override {
    const auto asked = cancelled.find(job);
    if (asked != cancelled.end()) {
      cancel_times.push_back(Since(asked->second));
      cancelled.erase(asked);
    }
  }
  void OnEndsRecorded(const std::map<std::string, uint64_t>& ends) override {
    recorded_end = ends.at("w");
  }
  void OnWorkersRecorded(const std::vector<KnownWorker>&) override {}
  void OnLeadShown(Instant) override {}
  void OnLeadLost(std::string_view) override { lost = true; }

  Millis Since(Instant instant) {
    return std::chrono::duration_cast<Millis>(executor.Now() - instant);
  }

  void Accept(int number) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", number);
    journal.Accept(
        fakes::MakePlan(id, 1, 1, ""),
        [this, since = executor.Now()](std::error_code error, AcceptOutcome) {
          answers.push_back({error, Since(since)});
        });
  }

  // The load for `length`, `arrivals` new jobs a second.
  void Load(Millis length, int arrivals = 40, int open_jobs = 250) {
    constexpr Millis kStep{25};
    constexpr int kChangesEachStep = 4;
    const Instant end = executor.Now() + length;
    int due = 0;
    for (int step = 0; executor.Now() < end; ++step) {
      for (due += arrivals; due >= 1000 / kStep.count(); due -= 40) {
        Accept(++made);
      }
      for (int i = 0; i < open_jobs / kChangesEachStep; ++i) {
        const std::string job =
            "open" + std::to_string(next_change++ % open_jobs);
        ++changed[job];
        ++listed_end;
        journal.MarkDirty(job, false);
      }
      if (step % 20 == 0) {
        const std::string job = "cancelled" + std::to_string(step);
        ++changed[job];
        cancelled[job] = executor.Now();
        journal.MarkDirty(job, true);
      }
      time.Run(kStep);
    }
  }

  int Count(std::error_code error) const {
    return static_cast<int>(
        std::count_if(answers.begin(), answers.end(),
                      [error](const Answer& a) { return a.error == error; }));
  }

  Millis Slowest(std::error_code error) const {
    Millis slowest{0};
    for (const Answer& answer : answers) {
      slowest =
          answer.error == error ? std::max(slowest, answer.after) : slowest;
    }
    return slowest;
  }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor;
  SlowStore store;
  fakes::Trace trace;
  fakes::FakeLog log{time, "journal", trace};
  CellJournal journal{executor, store, log, *this, JournalOptions{}, "all"};
  std::map<std::string, int> changed;
  std::map<std::string, int> encoded;
  std::map<std::string, Instant> cancelled;
  std::vector<Millis> cancel_times;
  std::set<std::string> accepted;
  std::vector<Answer> answers;
  uint64_t listed_end = 0;
  uint64_t recorded_end = 0;
  bool lost = false;
  int made = 0;
  int next_change = 0;
};

const std::error_code taken;
const std::error_code not_taken = CoreErrc::kStoreUnavailable;
const std::error_code unsure = CoreErrc::kOutcomeUnknown;

BOOST_AUTO_TEST_CASE(Records_StoreAnswersSlowly_KeepPace) {
  struct Row {
    Millis answer_time;
    Millis accept_within;
    Millis cancel_within;
  };
  const Row rows[] = {{Millis(4), Millis(60), Millis(60)},
                      {Millis(100), Millis(400), Millis(400)},
                      {Millis(364), Millis(1000), Millis(1000)},
                      {Millis(400), Millis(1100), Millis(1100)}};
  for (const Row& row : rows) {
    LoadFixture fixture;
    fixture.store.answer_time = row.answer_time;
    fixture.Load(Millis(6000));
    fixture.time.Run(Millis(2000));
    // Ends go with the next batch.
    fixture.journal.MarkDirty("open0", true);
    fixture.time.Run(Millis(1000));
    BOOST_TEST_CONTEXT(row.answer_time.count() << " ms an answer") {
      BOOST_TEST(fixture.answers.size() == 240U);
      BOOST_TEST(fixture.Count(taken) == 240);
      BOOST_TEST(fixture.Slowest(taken).count() <= row.accept_within.count());
      BOOST_TEST(fixture.cancelled.empty());
      BOOST_TEST(std::max_element(fixture.cancel_times.begin(),
                                  fixture.cancel_times.end())
                     ->count() <= row.cancel_within.count());
      // Everything stands as it is in the end.
      BOOST_TEST((fixture.encoded == fixture.changed));
      BOOST_TEST(fixture.recorded_end == fixture.listed_end);
      BOOST_TEST(!fixture.lost);
    }
  }
}

BOOST_AUTO_TEST_CASE(Records_StoreAnswersInMilliseconds_OneCommitAtATime) {
  LoadFixture fixture;
  fixture.Load(Millis(3000));
  BOOST_TEST(fixture.store.under_way_at_most == 1);
}

BOOST_AUTO_TEST_CASE(Accept_MoreThanFits_TheRestIsRefusedEarlyAndTruly) {
  LoadFixture fixture;
  fixture.store.answer_time = Millis(400);
  fixture.Load(Millis(6000), /*arrivals=*/600);
  fixture.time.Run(Millis(3000));
  BOOST_TEST(fixture.answers.size() == 3600U);
  BOOST_TEST(fixture.Count(unsure) == 0);
  BOOST_TEST(fixture.Count(taken) >= 600);
  BOOST_TEST(fixture.Slowest(taken).count() <= 1700);
  BOOST_TEST(fixture.Slowest(not_taken).count() == 0);
  BOOST_TEST(fixture.accepted.size() ==
             static_cast<size_t>(fixture.Count(taken)));
}

BOOST_AUTO_TEST_CASE(Accept_StoreFallsSilent_FewAreUnsureTheRestRefusedEarly) {
  LoadFixture fixture;
  fixture.Load(Millis(1000));
  fixture.store.silent = true;
  fixture.Load(Millis(4000));
  fixture.store.silent = false;
  fixture.Load(Millis(2000));
  fixture.time.Run(Millis(2000));
  // Those that had left before the silence showed; all others know at once, or
  // within the time that shows it, that they were not taken.
  BOOST_TEST(fixture.Count(unsure) <= 10);
  BOOST_TEST(fixture.Slowest(not_taken).count() <= 800);
  // Taken again once the calls that were under way in the silence have run out,
  // 1 s, and have been sent again.
  BOOST_TEST(fixture.Count(taken) >= 40 + 80 - 45);
  BOOST_TEST((fixture.encoded == fixture.changed));
  BOOST_TEST(!fixture.lost);
}

BOOST_AUTO_TEST_CASE(Accept_EveryThirdAnswerIsLost_OthersAreTakenMeanwhile) {
  LoadFixture fixture;
  fixture.store.lose_every = 3;
  fixture.Load(Millis(6000), /*arrivals=*/40, /*open_jobs=*/60);
  fixture.store.lose_every = 0;
  fixture.time.Run(Millis(3000));
  BOOST_TEST(fixture.answers.size() == 240U);
  BOOST_TEST(fixture.Count(taken) >= 200);
  // A refusal stays true.
  BOOST_TEST(fixture.accepted.size() <=
             static_cast<size_t>(fixture.Count(taken) + fixture.Count(unsure)));
  BOOST_TEST((fixture.encoded == fixture.changed));
  BOOST_TEST(!fixture.lost);
}

}  // namespace
}  // namespace doorwood
