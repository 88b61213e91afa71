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
  /// Watches deliver nothing.
  bool drops_events = false;
  int watches = 0;
  int lists = 0;
  int gets = 0;
  int revision_reads = 0;
  int renewals = 0;
  /// Size of what was read, without headers.
  size_t bytes = 0;
  /// Interval at which waiting watches look for changes.
  Millis watch_step{1};
  standin::RecordStoreModel model;

  int reads() const { return watches + lists + gets; }
};

// The platform's store lists so many items in one answer.
constexpr size_t kPage = 200;

size_t SizeOf(const StoreItems& items) {
  constexpr size_t kNamesAndNumbers = 100;
  size_t bytes = 0;
  for (const StoreItem& item : items.items) {
    bytes += kNamesAndNumbers + item.key.size() + item.value.size() * 4 / 3;
  }
  return bytes;
}

class StoreOfInstance : public RecordStore {
 public:
  StoreOfInstance(SharedStore& shared, FakeExecutor& executor)
      : shared_(shared), executor_(executor) {}

  void Get(const std::string& key, Callback<StoreItem> done) override {
    ++shared_.gets;
    StoreItem item;
    const auto error = shared_.model.Get(key, &item);
    Answer<StoreItem>(error, item, std::move(done));
  }
  void ReadRevision(const std::string&, Callback<int64_t> done) override {
    ++shared_.revision_reads;
    Answer<int64_t>({}, shared_.model.revision(), std::move(done));
  }
  void List(const std::string& prefix, Callback<StoreItems> done) override {
    StoreItems items = shared_.model.List(prefix);
    shared_.lists += static_cast<int>(items.items.size() / kPage) + 1;
    shared_.bytes += SizeOf(items);
    Answer<StoreItems>({}, std::move(items), std::move(done));
  }
  void ListPage(const std::string& prefix,
                const std::string& after,
                Callback<StoreItems> done) override {
    ++shared_.lists;
    StoreItems page = shared_.model.ListPage(prefix, after, kPage);
    shared_.bytes += SizeOf(page);
    Answer<StoreItems>({}, std::move(page), std::move(done));
  }
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
    ++shared_.renewals;
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
    if (shared_.drops_events) {
      events = {};
    }
    if (error || !events.items.empty() || executor_.Now() >= until) {
      shared_.bytes += SizeOf(events);
      Answer<StoreItems>(error, events, std::move(done));
      return;
    }
    executor_.Schedule(shared_.watch_step,
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

  // Calls and bytes of one instance in a second of a quiet time.
  std::pair<double, double> MeasureEach() {
    constexpr int kSeconds = 5;
    time.Run(Millis(2000));
    WriteLead(*members.front().live);
    time.Run(Millis(2000));
    const int calls = store.reads() + store.renewals;
    const size_t bytes = store.bytes;
    time.Run(Millis(kSeconds * 1000));
    const double instance_seconds =
        static_cast<double>(members.size()) * kSeconds;
    return {(store.reads() + store.renewals - calls) / instance_seconds,
            static_cast<double>(store.bytes - bytes) / instance_seconds};
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
  // Whoever leads has to know all others; see `OutageStatements`.
  WriteLead(*members.front().live);
  time.Run(Millis(500));
  BOOST_TEST(members.front().live->follows_instances());
  BOOST_TEST(members.front().live->instances().size() == 300u);
  for (const Member& member : members) {
    BOOST_TEST(member.live->leads().contains(kCell));
    BOOST_TEST(member.live->registered_since().has_value());
  }
}

// In a small deployment, each instance knows all others.
BOOST_AUTO_TEST_CASE(Watch_60InstancesRegisterAtOnce_AllKnowEachOther) {
  StartInstances(60);
  time.Run(Millis(4000));
  for (const Member& member : members) {
    BOOST_TEST(member.live->instances().size() == 60u);
    BOOST_TEST(member.live->revision() > 0);
  }
}

// Guards against registrations that each instance reads of all others: the
// reads grew with the square of the number of instances, and filled the store's
// link when it forgot its history.
BOOST_AUTO_TEST_CASE(Watch_TwiceTheInstances_EachReadsAsMuch) {
  const auto measure = [](int instances) {
    CrowdFixture crowd;
    crowd.store.watch_step = Millis(100);
    crowd.StartInstances(instances);
    return crowd.MeasureEach();
  };
  const auto [calls_584, bytes_584] = measure(584);
  const auto [calls_1168, bytes_1168] = measure(1168);
  BOOST_TEST_MESSAGE("each second: " << calls_584 << " and " << calls_1168
                                     << " calls, " << bytes_584 << " and "
                                     << bytes_1168 << " bytes");
  BOOST_TEST(calls_584 <= 5);
  BOOST_TEST(calls_1168 <= 5);
  BOOST_TEST(bytes_584 <= 20'000);
  BOOST_TEST(bytes_1168 <= 1.1 * bytes_584 + 100);
}

// Guards against instances that register a second time because a list that was
// under way when they registered lacks their key.
BOOST_AUTO_TEST_CASE(Register_ListBegunBefore_IsNoProofOfMissingKey) {
  StartInstances(60);
  time.Run(Millis(1500));
  BOOST_TEST(std::none_of(trace.begin(), trace.end(), [](const auto& line) {
    return line.find("registering again") != std::string::npos;
  }));
}

// Guards against a leader that takes an outage for confirmed before it knows
// all instances.
BOOST_AUTO_TEST_CASE(Lead_TakenAmongManyInstances_AllAreKnownSoon) {
  StartInstances(300);
  time.Run(Millis(4000));
  BOOST_TEST(!members[7].live->follows_instances());
  BOOST_TEST(members[7].live->revision() == 0);
  WriteLead(*members[7].live);
  time.Run(Millis(500));
  BOOST_TEST(members[7].live->instances().size() == 300u);
  BOOST_TEST(members[7].live->revision() > 0);
}

// The store forgets its history once a second, so each watch has to begin anew.
BOOST_AUTO_TEST_CASE(Watch_StoreForgetsItsHistory_EachReadsLittle) {
  store.watch_step = Millis(50);
  StartInstances(584);
  time.Run(Millis(6000));
  const size_t before = store.bytes;
  for (int second = 0; second < 5; ++second) {
    store.model.Compact();
    time.Run(Millis(1000));
  }
  BOOST_TEST((store.bytes - before) / 584 / 5 <= 20'000U);
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

// Guards against a directory that a watch alone keeps current. The bound is the
// longest time of a watch, after which all is read, and the time for that.
BOOST_AUTO_TEST_CASE(Watch_DeliversNothing_LeadIsKnownWithin6000Ms) {
  for (const int instances : {10, 300}) {
    for (int offset = 0; offset < 5000; offset += 700) {
      CrowdFixture crowd;
      crowd.StartInstances(instances);
      crowd.time.Run(Millis(9000 + offset));
      crowd.store.drops_events = true;
      crowd.WriteLead(*crowd.members.front().live);
      crowd.time.Run(Millis(6000));
      for (const Member& member : crowd.members) {
        BOOST_TEST(member.live->leads().contains(kCell));
      }
    }
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

std::vector<std::string> OddValues() {
  const auto nested = [](size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
  };
  std::vector<std::string> values = {"",
                                     "7",
                                     "null",
                                     "[]",
                                     "{}",
                                     "\xff",
                                     nested(65),
                                     nested(1'000'000),
                                     "{\"nonce\":",
                                     "NaN",
                                     R"({"\ud800":1})",
                                     std::string(100'000, '{')};
  const Json valid = {{"data_centre", "plaka"}, {"address", "10.0.0.9:1"},
                      {"instance", "i9"},       {"nonce", 7U},
                      {"cpu_share", 1.0},       {"agreeing_since", 1},
                      {"predecessors", {1, 2}}, {"leaving", false}};
  for (const char* field : {"data_centre", "address", "instance", "nonce",
                            "cpu_share", "agreeing_since", "leaving"}) {
    for (const std::string& value :
         {std::string("1e400"), std::string(300, '9'), std::string("null"),
          std::string("[-1]"), std::string("18446744073709551616"),
          std::string("\"\\ud800\""), std::string("\"a\\r\\nb\""),
          nested(100'000)}) {
      Json entry = valid;
      entry.erase(field);
      std::string text = entry.dump();
      text.pop_back();
      values.push_back(text + ",\"" + field + "\":" + value + "}");
    }
  }
  return values;
}

// Guards against an instance that ends, or follows the others no longer,
// because of one odd entry.
BOOST_AUTO_TEST_CASE(Watch_OddEntries_LaterOnesAreFollowed) {
  StartInstances(3);
  time.Run(Millis(3000));
  const auto put = [this](const std::string& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.puts.push_back({key, value, 0});
    StoreCommit commit;
    BOOST_TEST(!store.model.Commit(transaction, &commit));
  };
  int written = 0;
  for (const std::string& odd : OddValues()) {
    BOOST_TEST_CONTEXT(odd.substr(0, 200)) {
      for (const std::string& key :
           {InstanceKey("odd"), KnownInstanceKey("odd"), LeadKey("odd"),
            std::string(kLivePrefix), std::string(kLivePrefix) + "odd",
            InstanceKey(""), LeadKey("a b"), LeadKey("\xff"),
            DeductibleWaitsKey("odd")}) {
        put(key, odd);
      }
      // Every other value is read from a list instead of a watch.
      if (++written % 2 == 0) {
        store.model.Compact();
      }
      const std::string address = "10.0.0.9:" + std::to_string(1000 + written);
      put(InstanceKey("good"),
          Json{{"data_centre", "plaka"}, {"address", address}}.dump());
      put(LeadKey("good"),
          Json{{"instance", "i0"}, {"address", address}, {"nonce", 7U}}.dump());
      time.Run(Millis(1500));
      for (const Member& member : members) {
        const auto& instances = member.live->instances();
        const auto& leads = member.live->leads();
        BOOST_TEST((instances.contains("good") &&
                    instances.at("good").address == address));
        BOOST_TEST(
            (leads.contains("good") && leads.at("good").address == address));
      }
    }
  }
}

// Guards against instances that stay unknown, or leads that stay in force,
// after their keys were overwritten.
BOOST_AUTO_TEST_CASE(Watch_KeysOverwrittenByOddEntries_InstancesRegisterAgain) {
  StartInstances(3);
  time.Run(Millis(3000));
  for (const std::string& odd :
       {std::string("[]"), std::string(100'000, '['),
        std::string(R"({"data_centre":"plaka","address":1e400})")}) {
    WriteLead(*members[0].live);
    StoreTransaction transaction;
    transaction.puts.push_back({InstanceKey("i1"), odd, 0});
    transaction.puts.push_back({LeadKey(kCell), odd, 0});
    StoreCommit commit;
    BOOST_TEST(!store.model.Commit(transaction, &commit));
    time.Run(Millis(3000));
    for (const Member& member : members) {
      BOOST_TEST(member.live->instances().size() == 3U);
      BOOST_TEST(!member.live->leads().contains(kCell));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
