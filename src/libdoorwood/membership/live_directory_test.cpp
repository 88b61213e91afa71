// SPDX-License-Identifier: Apache-2.0

// What the instances of a large deployment cost the store and each other. All
// instances register at once, as after a restart of all of them, and share the
// store's rate of reads with the calls by which the leader keeps its lead.

#include "doorwood/live_directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fakes.h"
#include "standin/record_store_model.h"

namespace doorwood {
namespace {

using fakes::FakeExecutor;
using fakes::VirtualTime;

constexpr Millis kStoreDelay{4};
constexpr char kCell[] = "all";

/// One store for all instances. Counts reads, and optionally answers nothing.
struct SharedStore {
  bool silent = false;
  /// Refuses all watch calls as over budget.
  bool refuses_watches = false;
  int watches = 0;
  int lists = 0;
  standin::RecordStoreModel model;
};

class StoreOfInstance : public RecordStore {
 public:
  StoreOfInstance(SharedStore& shared, FakeExecutor& executor)
      : shared_(shared), executor_(executor) {}

  void Get(const std::string&, Callback<StoreItem>) override {}
  void List(const std::string& prefix, Callback<StoreItems> done) override {
    ++shared_.lists;
    Answer<StoreItems>({}, shared_.model.List(prefix), std::move(done));
  }
  void ListPage(const std::string&,
                const std::string&,
                Callback<StoreItems>) override {}
  void Watch(const std::string& prefix,
             int64_t after,
             Millis wait,
             Callback<StoreItems> done) override {
    ++shared_.watches;
    if (shared_.refuses_watches) {
      Answer<StoreItems>(KvErrc::kOverBudget, {}, std::move(done));
    } else {
      AwaitChange(prefix, after, executor_.Now() + wait, std::move(done));
    }
  }
  void Commit(const StoreTransaction& transaction,
              Callback<StoreCommit> done) override {
    StoreCommit commit;
    const auto error = shared_.model.Commit(transaction, &commit);
    Answer<StoreCommit>(error, commit, std::move(done));
  }
  void GrantLease(Millis lifetime, Callback<int64_t> done) override {
    Answer<int64_t>({}, shared_.model.GrantLease(lifetime.count()),
                    std::move(done));
  }
  void RenewLease(int64_t lease, Callback<int64_t> done) override {
    Answer<int64_t>({}, lease, std::move(done));
  }
  void RevokeLease(int64_t, Callback<int64_t>) override {}

 private:
  template <typename T>
  void Answer(std::error_code error, T value, Callback<T> done) {
    if (shared_.silent) {
      error = KvErrc::kUnknown;
    }
    executor_.Schedule(kStoreDelay, [=] { done(error, value); });
  }
  void AwaitChange(const std::string& prefix,
                   int64_t after,
                   Instant until,
                   Callback<StoreItems> done) {
    StoreItems events;
    const auto error = shared_.model.ChangesAfter(prefix, after, &events);
    if (!events.items.empty() || executor_.Now() >= until) {
      Answer<StoreItems>(error, events, std::move(done));
      return;
    }
    executor_.Schedule(Millis(1),
                       [=, this] { AwaitChange(prefix, after, until, done); });
  }

  SharedStore& shared_;
  FakeExecutor& executor_;
};

/// Answers no query and counts them.
class SilentPeers : public StoreAnswerPort {
 public:
  void QueryTimeSinceStoreAnswer(const LiveInstance&, Callback) override {
    ++queries;
  }
  void RequestUnrecordedStartsAgreement(
      const LiveInstance&,
      std::function<void(std::error_code)>) override {}
  void HandOverLead(const LiveInstance&, const std::string&, int64_t) override {
  }

  int queries = 0;
};

struct Member {
  std::unique_ptr<FakeExecutor> executor;
  std::unique_ptr<StoreOfInstance> store;
  std::unique_ptr<SilentPeers> peers;
  std::unique_ptr<LiveDirectory> live;
};

struct CrowdFixture {
  /// Adds the instances and starts them over 300 ms, as the platform does.
  void StartInstances(int count) {
    for (int i = 0; i < count; ++i) {
      Member member;
      member.executor = std::make_unique<FakeExecutor>(time, i + 1);
      member.store = std::make_unique<StoreOfInstance>(store, *member.executor);
      member.peers = std::make_unique<SilentPeers>();
      LiveInstance self;
      self.name = "i" + std::to_string(i);
      self.data_centre = "plaka";
      self.address = "10.0.0.1:" + std::to_string(1000 + i);
      member.live = std::make_unique<LiveDirectory>(
          *member.executor, *member.store, *member.peers, log, LiveOptions{},
          self);
      member.executor->Schedule(
          Millis(i * 300 / count),
          [live = member.live.get()] { live->Start([] {}); });
      members.push_back(std::move(member));
    }
  }
  void WriteLead(const LiveDirectory& leader) {
    StoreTransaction transaction;
    transaction.puts.push_back({LeadKey(kCell),
                                Json{{"instance", leader.self().name},
                                     {"address", leader.self().address},
                                     {"nonce", 7U}}
                                    .dump(),
                                0});
    StoreCommit commit;
    store.model.Commit(transaction, &commit);
  }

  VirtualTime time;
  fakes::Trace trace;
  fakes::FakeLog log{time, "log", trace};
  SharedStore store;
  std::vector<Member> members;
};

BOOST_FIXTURE_TEST_SUITE(live_directory, CrowdFixture)

// Guards against watches that end once for each instance that registers: 300
// instances would send the store far more than the 6,000 reads a second that
// the platform allows, and the leader's reads would be refused among them.
BOOST_AUTO_TEST_CASE(Watch_300InstancesRegisterAtOnce_ReadsStayBelowHalfRate) {
  StartInstances(300);
  int most_per_second = 0;
  for (int second = 0; second < 4; ++second) {
    const int before = store.watches + store.lists;
    time.Run(Millis(1000));
    most_per_second =
        std::max(most_per_second, store.watches + store.lists - before);
  }
  BOOST_TEST(most_per_second <= 3000);
  for (const Member& member : members) {
    BOOST_TEST(member.live->instances().size() == 300u);
  }
}

// Guards against a pause between watches that delays what a small deployment
// learns, or a change after a quiet time.
BOOST_AUTO_TEST_CASE(Watch_ChangeAfterQuietTime_IsSeenAtOnce) {
  StartInstances(300);
  time.Run(Millis(9000));
  WriteLead(*members.front().live);
  time.Run(Millis(6));
  for (const Member& member : members) {
    BOOST_TEST(member.live->leads().contains(kCell));
  }
}

// Guards against full reads after each refused watch, which triple the calls
// while the store refuses calls for their rate.
BOOST_AUTO_TEST_CASE(Watch_RefusedForItsRate_CausesNoFullRead) {
  StartInstances(300);
  time.Run(Millis(9000));
  store.refuses_watches = true;
  time.Run(Millis(5000));  // the watches under way end
  const int lists = store.lists;
  const int watches = store.watches;
  time.Run(Millis(1000));
  BOOST_TEST(store.lists == lists);
  BOOST_TEST(store.watches - watches <= 2100);
}

// Guards against queries between all pairs of instances in an outage, which
// only a leader needs: 300 instances would exchange 225,000 a second.
BOOST_AUTO_TEST_CASE(Outage_ManyInstances_OnlyTheLeaderQueriesOthers) {
  StartInstances(100);
  time.Run(Millis(2000));
  WriteLead(*members.front().live);
  time.Run(Millis(1000));
  store.silent = true;
  time.Run(Millis(3000));
  BOOST_TEST(members.front().peers->queries >= 99 * 4);
  for (size_t i = 1; i < members.size(); ++i) {
    BOOST_TEST(members[i].peers->queries == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
