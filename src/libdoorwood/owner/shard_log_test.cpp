// SPDX-License-Identifier: Apache-2.0

// Tests of a shard's log under every fault of the store: there is one writer,
// no record that was reported as written is lost, and to an owner that was
// replaced no record is reported as written.

#include "doorwood/shard_log.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/error.h"
#include "fakes/fakes.h"

namespace doorwood {
namespace {

using fakes::FakeExecutor;
using fakes::FakeKv;
using fakes::Fault;
using fakes::VirtualTime;

constexpr Millis kRunDuration{15000};

// Two instances that can both try to own one shard.
struct TwoOwners {
  struct Owner {
    Owner(VirtualTime& time, standin::KvModel& model, std::string name)
        : executor(time, 1),
          kv(time, executor, model),
          log(std::make_shared<ShardLog>(Options(),
                                         ShardId{"plaka", 0},
                                         name,
                                         /*incarnation=*/1,
                                         executor,
                                         kv)) {
      log->set_lease_valid([this]() { return lease_valid; });
      log->set_on_fenced([this]() { fenced = true; });
    }

    static ShardLogOptions Options() {
      ShardLogOptions options;
      options.snapshot_after = 4;
      return options;
    }

    FakeExecutor executor;
    FakeKv kv;
    std::shared_ptr<ShardLog> log;
    bool lease_valid = true;
    bool fenced = false;
  };

  TwoOwners() : first(time, model, "first"), second(time, model, "second") {}

  std::error_code Open(Owner& owner) {
    std::optional<std::error_code> result;
    owner.log->Open([&](std::error_code error) { result = error; });
    time.Run(kRunDuration);
    BOOST_REQUIRE(result);
    return *result;
  }

  // Appends a claim. Returns the answer, or `timed_out` if there was none.
  std::error_code Append(Owner& owner, const std::string& key, bool refusable) {
    std::error_code result = std::make_error_code(std::errc::timed_out);
    owner.log->Append(ClaimRecord{key, "r"}, refusable,
                      [&](std::error_code error) { result = error; });
    time.Run(kRunDuration);
    return result;
  }

  static bool HasClaim(const Owner& owner, const std::string& key) {
    return !owner.log->state().ClaimedBy(key).empty();
  }

  VirtualTime time;
  standin::KvModel model;
  Owner first;
  Owner second;
};

BOOST_AUTO_TEST_SUITE(shard_log)

BOOST_AUTO_TEST_CASE(ShardLog_TakenOverBySecondOwner_ReplaysAndFencesFirst) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
  BOOST_TEST(!pair.Open(pair.second));
  BOOST_TEST(pair.HasClaim(pair.second, "a"));
  BOOST_TEST(pair.second.log->epoch() > pair.first.log->epoch());
  BOOST_TEST(pair.Append(pair.first, "b", true) ==
             make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST(pair.first.fenced);
  BOOST_TEST(pair.Append(pair.second, "c", true) == std::error_code());
}

BOOST_AUTO_TEST_CASE(ShardLog_OwnerRegistered_IsNotTakenOver) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  int64_t version = 0;
  pair.model.Write({.key = AliveKey("plaka", "first"), .value = "1"},
                   pair.time.now_ms(), &version);
  BOOST_TEST(pair.Open(pair.second) == make_error_code(CoreErrc::kConflict));
  BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
}

// The answer to an append under a fault, and whether its record is in the log
// after the fault has ended.
struct AppendRow {
  const char* name;
  Fault fault;
  bool refusable;
  // Empty if no particular answer is expected while the fault lasts.
  std::optional<CoreErrc> reported;
  bool written;
};

BOOST_AUTO_TEST_CASE(Append_StoreFault_ReportsTrueOutcome) {
  const std::vector<AppendRow> rows = {
      {"down, refusable", Fault::kRefused, true, CoreErrc::kStoreUnavailable,
       false},
      {"down, kept", Fault::kRefused, false, std::nullopt, true},
      {"answer lost, refusable", Fault::kAnswerLost, true,
       CoreErrc::kOutcomeUnknown, true},
      {"answer lost, kept", Fault::kAnswerLost, false, std::nullopt, true},
      {"request lost, refusable", Fault::kRequestLost, true,
       CoreErrc::kOutcomeUnknown, true},
      {"request lost, kept", Fault::kRequestLost, false, std::nullopt, true},
      {"late, refusable", Fault::kDelayed, true, CoreErrc::kOutcomeUnknown,
       true},
      {"late, kept", Fault::kDelayed, false, std::nullopt, true},
  };
  for (const AppendRow& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      TwoOwners pair;
      BOOST_TEST(!pair.Open(pair.first));
      pair.first.kv.set_fault(row.fault);
      std::optional<std::error_code> reported;
      int answers = 0;
      pair.first.log->Append(ClaimRecord{"a", "r"}, row.refusable,
                             [&](std::error_code error) {
                               reported = error;
                               ++answers;
                             });
      pair.time.Run(kRunDuration);
      if (row.reported) {
        BOOST_REQUIRE(reported.has_value());
        BOOST_TEST(*reported == make_error_code(*row.reported));
      }
      pair.first.kv.set_fault(Fault::kNone);
      pair.time.Run(kRunDuration);
      BOOST_TEST(answers == 1);
      BOOST_TEST(pair.HasClaim(pair.first, "a") == row.written);
      BOOST_TEST(!pair.Open(pair.second));
      BOOST_TEST(pair.HasClaim(pair.second, "a") == row.written);
    }
  }
}

BOOST_AUTO_TEST_CASE(Append_RefusableWhileStoreFails_IsRefusedAtOnce) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  pair.first.kv.set_fault(Fault::kRefused);
  pair.Append(pair.first, "a", false);
  BOOST_TEST(pair.first.log->failing());
  std::optional<std::error_code> reported;
  pair.first.log->Append(ClaimRecord{"b", "r"}, true,
                         [&](std::error_code error) { reported = error; });
  BOOST_REQUIRE(reported.has_value());
  BOOST_TEST(*reported == make_error_code(CoreErrc::kStoreUnavailable));
}

// Injects every fault of the store after each of the first steps of a takeover.
BOOST_AUTO_TEST_CASE(Takeover_StoreFault_LaterOneSucceedsAndLosesNothing) {
  for (const Fault fault : {Fault::kRefused, Fault::kAnswerLost,
                            Fault::kRequestLost, Fault::kDelayed}) {
    for (int steps = 0; steps < 14; ++steps) {
      BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault) << " after "
                                  << steps << " steps") {
        TwoOwners pair;
        BOOST_TEST(!pair.Open(pair.first));
        BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
        pair.second.log->Open([](std::error_code) {});
        for (int n = 0; n < steps; ++n) {
          pair.time.Step(pair.time.now() + kRunDuration);
        }
        pair.second.kv.set_fault(fault);
        pair.time.Run(kRunDuration);
        pair.second.kv.set_fault(Fault::kNone);
        // The first owner may still be writing. A record that was reported to
        // it as written must be in the log.
        const bool reported =
            pair.Append(pair.first, "b", true) == std::error_code();
        TwoOwners::Owner third(pair.time, pair.model, "third");
        BOOST_TEST(!pair.Open(third));
        BOOST_TEST(pair.HasClaim(third, "a"));
        if (reported) {
          BOOST_TEST(pair.HasClaim(third, "b"));
        }
      }
    }
  }
}

// Guards against two owners: a candidate is paused after each of the first
// steps of its takeover while another one takes over the shard. After the pause
// the first candidate must not seal the log of the second.
BOOST_AUTO_TEST_CASE(Takeover_CandidatePaused_DoesNotFenceNewerOwner) {
  for (int steps = 0; steps < 24; ++steps) {
    BOOST_TEST_CONTEXT("after " << steps << " steps") {
      TwoOwners pair;
      pair.first.log->Open([](std::error_code) {});
      for (int n = 0; n < steps; ++n) {
        pair.time.Step(pair.time.now() + kRunDuration);
      }
      pair.first.executor.Freeze();
      BOOST_TEST(!pair.Open(pair.second));
      int64_t version = 0;
      pair.model.Write({.key = AliveKey("plaka", "second"), .value = "1"},
                       pair.time.now_ms(), &version);
      pair.first.executor.Thaw();
      pair.time.Run(kRunDuration);
      BOOST_TEST(pair.Append(pair.second, "a", true) == std::error_code());
      BOOST_TEST(!pair.second.fenced);
    }
  }
}

// Guards against a lost append: an owner resumes after a pause in which a new
// owner truncated the log. Its next position no longer exists, so its write
// succeeds although the shard has another owner.
BOOST_AUTO_TEST_CASE(Append_IntoTruncatedLog_IsNotConfirmed) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
  const int64_t position = pair.first.log->position() + 1;
  BOOST_TEST(!pair.Open(pair.second));
  for (int n = 0; n < 20; ++n) {
    BOOST_TEST(pair.Append(pair.second, std::to_string(n), true) ==
               std::error_code());
  }
  // The seal that would have fenced the first owner has been truncated.
  const auto entries =
      pair.model.List("shard/plaka/0/log/", pair.time.now_ms());
  BOOST_REQUIRE(!entries.empty());
  BOOST_REQUIRE(std::stoll(entries.front().key.substr(18)) > position);
  pair.first.lease_valid = false;
  BOOST_TEST(pair.Append(pair.first, "lost", true) ==
             make_error_code(CoreErrc::kNoOwner));
  BOOST_TEST(pair.first.fenced);
}

BOOST_AUTO_TEST_CASE(ShardLog_SnapshotAndTruncatedLog_ReplayToSameState) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  const JobSpec job{"plaka.0.x", "m", "plaka", {TaskSpec{.name = "t"}}};
  pair.first.log->Append(AcceptRecord{job}, true, nullptr);
  pair.first.log->Append(
      EndRecord{{job.id, "t"}, {1, 1}, AttemptEnd::kStopped, "ck"}, false,
      nullptr);
  for (int n = 0; n < 20; ++n) {
    pair.Append(pair.first, std::to_string(n), true);
  }
  BOOST_TEST(!pair.Open(pair.second));
  BOOST_TEST(pair.second.log->state().ToSnapshot() ==
             pair.first.log->state().ToSnapshot());
  BOOST_TEST(pair.second.log->state().FindTask({job.id, "t"})->checkpoint ==
             "ck");
}

BOOST_AUTO_TEST_CASE(ShardLog_ClosedByRegisteredOwner_IsTakenOver) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  int64_t version = 0;
  pair.model.Write({.key = AliveKey("plaka", "first"), .value = "1"},
                   pair.time.now_ms(), &version);
  bool closed = false;
  pair.first.log->Close([&](std::error_code error) { closed = !error; });
  pair.time.Run(kRunDuration);
  BOOST_TEST(closed);
  BOOST_TEST(!pair.Open(pair.second));
}

BOOST_AUTO_TEST_CASE(Close_StoreDown_LeavesLogOpen) {
  TwoOwners pair;
  BOOST_TEST(!pair.Open(pair.first));
  pair.first.kv.set_fault(Fault::kRefused);
  std::optional<std::error_code> reported;
  pair.first.log->Close([&](std::error_code error) { reported = error; });
  pair.time.Run(kRunDuration);
  BOOST_REQUIRE(reported.has_value());
  BOOST_TEST(*reported == make_error_code(CoreErrc::kStoreUnavailable));
  pair.first.kv.set_fault(Fault::kNone);
  BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
}

// Values of another form than owners write into the head, the log or the
// snapshot.
std::vector<std::string> OddValues() {
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  const std::string unknown_phase =
      R"({"position":1,"state":{"jobs":[{"id":"j","member":"m",)"
      R"("home":"h","cancelled":false,"tasks":[{"spec":{},"phase":9,)"
      R"("failures":0,"evictions":0,"checkpoint":"","last_ended":[0,0]}]}],)"
      R"("finished":[],"claims":[]}})";
  return {"",
          "7",
          "null",
          "[]",
          "{}",
          "\"text\"",
          "\xff",
          deep,
          R"({"owner":7,"epoch":1})",
          R"({"owner":"x","epoch":"1"})",
          R"({"owner":"x","epoch":-1})",
          R"({"owner":"x","epoch":1e300})",
          R"({"owner":"x","epoch":1e400})",
          R"({"owner":"x","epoch":18446744073709551615})",
          R"({"owner":"x","epoch":1,"incarnation":-0.5})",
          R"({"epoch":1,"records":7})",
          R"({"epoch":1,"records":{"a":1}})",
          R"({"position":"1","state":{}})",
          R"({"position":1e300,"state":{}})",
          R"({"position":1,"state":7})",
          R"({"position":1,"state":{"jobs":7,"finished":[],"claims":[]}})",
          R"({"position":1,"state":{"jobs":[7],"finished":[],"claims":[]}})",
          unknown_phase};
}

void Overwrite(TwoOwners& pair, std::string key, const std::string& value) {
  key.insert(0, "shard/" + ToString(ShardId{"plaka", 0}) + "/");
  KvEntry before;
  pair.model.Read(key, pair.time.now_ms(), &before);
  int64_t version = 0;
  BOOST_TEST(!pair.model.Write(
      {.key = key, .value = value, .expected_version = before.version},
      pair.time.now_ms(), &version));
}

// Guards against an exception that ends the process, again at each start.
BOOST_AUTO_TEST_CASE(Open_OddValueStored_RecordsAreReplayed) {
  for (const char* key :
       {"head", "snapshot", "log/", "log/odd", "log/-1", "log/1x",
        "log/99999999999999999999", "log/000000000003"}) {
    for (const std::string& odd : OddValues()) {
      BOOST_TEST_CONTEXT(key << " " << odd.substr(0, 200)) {
        TwoOwners pair;
        BOOST_TEST(!pair.Open(pair.first));
        BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
        Overwrite(pair, key, odd);
        BOOST_CHECK_NO_THROW(pair.Append(pair.first, "b", true));
        // The owner's epochs rise to that of the log with each attempt.
        std::error_code error;
        for (int attempt = 0; attempt < 4; ++attempt) {
          BOOST_REQUIRE_NO_THROW(error = pair.Open(pair.second));
          if (!error) {
            break;
          }
        }
        BOOST_TEST(!error);
        BOOST_TEST(pair.HasClaim(pair.second, "a"));
        BOOST_TEST(pair.Append(pair.second, "c", true) == std::error_code());
        BOOST_CHECK_NO_THROW(
            pair.first.log->VerifyOwnership([](std::error_code) {}));
        BOOST_CHECK_NO_THROW(pair.time.Run(kRunDuration));
        BOOST_CHECK_NO_THROW(pair.Append(pair.first, "d", false));
        BOOST_TEST(!pair.HasClaim(pair.second, "d"));
      }
    }
  }
}

// Guards against records that are dropped silently because one of a batch
// cannot be decoded.
BOOST_AUTO_TEST_CASE(Open_RecordCannotBeDecoded_ShardIsNotOpened) {
  for (const char* record :
       {"7", "{}", R"({"claim":7,"request":"r"})", R"({"cancel":null})",
        R"({"end":["j","t"],"attempt":[-1],"how":"lost","checkpoint":""})"}) {
    BOOST_TEST_CONTEXT(record) {
      TwoOwners pair;
      BOOST_TEST(!pair.Open(pair.first));
      BOOST_TEST(pair.Append(pair.first, "a", true) == std::error_code());
      Overwrite(pair, "log/000000000002",
                R"({"epoch":1,"owner":"first","incarnation":1,"records":[)" +
                    std::string(record) + "]}");
      BOOST_TEST(pair.Open(pair.second) ==
                 make_error_code(CoreErrc::kStoreUnavailable));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace doorwood
