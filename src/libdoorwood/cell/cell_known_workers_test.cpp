// SPDX-License-Identifier: Apache-2.0

// The form of what is recorded of a cell's workers, and how long it gets.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "doorwood/cell_journal.h"
#include "fakes/cell_world.h"

namespace doorwood {
namespace {

using Names = std::vector<std::string>;

constexpr size_t kManyNames = 4000;
// A bound for the names of a small cell.
constexpr size_t kNameBytes = 100'000;
// What the store takes as one value.
constexpr size_t kMostBytes = 1'048'576;
// Of the names that a leader writes at most, and usual names.
constexpr size_t kUsualBytes = kMostBytes / 8;

KnownWorker MakeWorker(const std::string& id,
                       Millis unheard,
                       std::optional<Names> runs) {
  KnownWorker worker;
  worker.id = id;
  worker.address = "http://" + id + ":80";
  worker.unheard = unheard;
  worker.runs = std::move(runs);
  return worker;
}

std::string Show(const std::optional<Names>& runs) {
  if (!runs) {
    return "any";
  }
  std::string text = "[";
  for (const std::string& name : *runs) {
    text += name + ",";
  }
  return text + "]";
}

std::string Show(const std::vector<KnownWorker>& workers) {
  std::string text;
  for (const KnownWorker& worker : workers) {
    text += worker.id + " " + worker.address + " " +
            std::to_string(worker.unheard.count()) + " " + Show(worker.runs) +
            "\n";
  }
  return text;
}

BOOST_AUTO_TEST_CASE(Workers_WithAndWithoutNames_AreReadAsWritten) {
  const std::vector<KnownWorker> workers = {
      MakeWorker("w1", Millis(0), std::nullopt),
      MakeWorker("w2", Millis(1200), Names{}),
      MakeWorker("w3", Millis(0), Names{"0123456789abcdef.0.1.2"}),
      MakeWorker("w4", Millis(9400),
                 Names{"0123456789abcdef.0.0.0", "fedcba9876543210.3.1.77"}),
  };
  BOOST_TEST(Show(DecodeWorkers(EncodeWorkers(workers))) == Show(workers));
  BOOST_TEST(DecodeWorkers(EncodeWorkers({})).empty());
}

// A name as a task's is written, but with what has to be escaped.
BOOST_AUTO_TEST_CASE(Workers_NamesOfAnyText_AreReadAsWritten) {
  const std::vector<KnownWorker> workers = {MakeWorker(
      "w1", Millis(0), Names{"", "\"", "\\", "a,b", "[]", "\xce\xb1"})};
  BOOST_TEST(Show(DecodeWorkers(EncodeWorkers(workers))) == Show(workers));
}

struct FormRow {
  const char* text;
  /// Empty: the row names no worker.
  const char* runs;
};

BOOST_AUTO_TEST_CASE(Workers_RowsOfOtherForms_NamesHoldOrAnyTaskMayRun) {
  const FormRow rows[] = {
      // As earlier versions wrote them.
      {R"(["w","a"])", "any"},
      {R"(["w","a",0])", "any"},
      {R"(["w","a",1500])", "any"},
      {R"(["w","a",0,[]])", "[]"},
      {R"(["w","a",0,["x"]])", "[x,]"},
      {R"(["w","a",0,["x","y"]])", "[x,y,]"},
      // Names of another form never hold less back.
      {R"(["w","a",0,null])", "any"},
      {R"(["w","a",0,false])", "any"},
      {R"(["w","a",0,0])", "any"},
      {R"(["w","a",0,7])", "any"},
      {R"(["w","a",0,""])", "any"},
      {R"(["w","a",0,"x"])", "any"},
      {R"(["w","a",0,{}])", "any"},
      {R"(["w","a",0,{"x":"y"}])", "any"},
      {R"(["w","a",0,[1]])", "any"},
      {R"(["w","a",0,["x",1]])", "any"},
      {R"(["w","a",0,["x",null]])", "any"},
      {R"(["w","a",0,["x",["y"]]])", "any"},
      {R"(["w","a",0,[[]]])", "any"},
      // Later versions may write more.
      {R"(["w","a",0,["x"],5])", "[x,]"},
      {R"(["w","a",0,["x"],["z"]])", "[x,]"},
      // No worker.
      {R"(["w","a",-1,["x"]])", ""},
      {R"(["w","a","0",["x"]])", ""},
      {R"(["w","a",[],["x"]])", ""},
      {R"(["","a",0,["x"]])", ""},
      {R"(["w","",0,["x"]])", ""},
      {R"([1,"a",0,["x"]])", ""},
      {R"(["w"])", ""},
      {R"([])", ""},
      {R"({"w":"a"})", ""},
      {R"("w")", ""},
  };
  for (const FormRow& row : rows) {
    BOOST_TEST_CONTEXT(row.text) {
      // The rows beside it hold.
      const auto workers =
          DecodeWorkers(R"([["before","a",0,["b"]],)" + std::string(row.text) +
                        R"(,["after","a",0]])");
      const bool named = *row.runs != '\0';
      BOOST_REQUIRE(workers.size() == (named ? 3U : 2U));
      BOOST_TEST(Show(workers.front().runs) == "[b,]");
      BOOST_TEST(Show(workers.back().runs) == "any");
      if (named) {
        BOOST_TEST(workers[1].id == "w");
        BOOST_TEST(workers[1].address == "a");
        BOOST_TEST(Show(workers[1].runs) == row.runs);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(Workers_TextIsNoList_NamesNobody) {
  for (const char* text : {"", "{}", "null", "7", "\"w\"", "[",
                           "[[\"w\",\"a\"]", "[[\"w\",\"a\",0,[\"x\"]"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(DecodeWorkers(text).empty());
    }
  }
}

// A key of the store has 200 bytes at most, so a task's name, that begins with
// its job's, has fewer.
BOOST_AUTO_TEST_CASE(Workers_MostNamesAndLongOnes_FitIntoTheStoresValue) {
  constexpr size_t kLongName = 200;
  constexpr int kWorkers = 1500;
  Names names;
  for (size_t i = 0; i < kManyNames; ++i) {
    names.push_back(std::string(kLongName - 5, 'f') +
                    std::to_string(10000 + i));
  }
  std::vector<KnownWorker> workers = {
      MakeWorker("w", Millis(0), std::move(names))};
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(MakeWorker("worker-" + std::to_string(i), Millis(10'000),
                                 std::nullopt));
  }
  const std::string text = EncodeWorkers(workers);
  BOOST_TEST(text.size() <= kMostBytes);
  BOOST_TEST(DecodeWorkers(text).size() == workers.size());
}

/// Workers with so many tasks each, that all leave.
struct LargeCell {
  explicit LargeCell(const std::vector<int>& tasks) : world(5) {
    world.SetTable({fakes::MakeQueue("queue", 4)});
    world.options().most_name_bytes = kNameBytes;
    world.AddInstance("a1", "plaka");
    world.WaitForLeader();
    world.Run(Millis(1000));
    for (size_t i = 0; i < tasks.size(); ++i) {
      const int count = tasks[i];
      auto& worker =
          world.AddWorker("w" + std::to_string(i), int64_t{1000} * count);
      worker.life.capacity.memory_mib = int64_t{100} * count;
      world.Run(Millis(1000));
      BOOST_REQUIRE(world.Submit(fakes::MakePlan(
          "00000000000000a" + std::to_string(i), 1, count, "")));
      world.Run(Millis(1000));
      BOOST_REQUIRE(worker.model.running() == static_cast<size_t>(count));
    }
    for (const auto& [id, worker] : world.workers()) {
      worker->life.draining = true;
    }
    world.Run(Millis(4000));
  }

  std::vector<KnownWorker> Recorded(size_t* bytes) {
    StoreItem item;
    BOOST_REQUIRE(!world.store().Get(WorkersKey("all"), &item));
    *bytes = item.value.size();
    return DecodeWorkers(item.value);
  }

  fakes::CellWorld world;
};

struct BoundRow {
  std::vector<int> tasks;
  /// Names in each row; -1: any task may run there.
  std::vector<int> named;
};

// A name takes 25 bytes, with its quotes and a comma, for each of the first ten
// tasks of a step, and 28 from the thousandth on.
BOOST_AUTO_TEST_CASE(Record_ManyTasks_LargestRowsLoseTheirNames) {
  const BoundRow rows[] = {
      {{100, 3518}, {100, 3518}},
      {{100, 3519}, {100, -1}},
      {{2100, 300, 1700}, {-1, 300, 1700}},
      {{2001, 2002, 1}, {2001, -1, 1}},
      {{4001, 10}, {-1, 10}},
  };
  for (const BoundRow& row : rows) {
    LargeCell cell(row.tasks);
    size_t bytes = 0;
    const auto workers = cell.Recorded(&bytes);
    std::vector<int> named;
    for (const KnownWorker& worker : workers) {
      named.push_back(worker.runs ? static_cast<int>(worker.runs->size()) : -1);
    }
    BOOST_TEST(named == row.named, boost::test_tools::per_element());
    BOOST_TEST(bytes <= kUsualBytes);
  }
}

// What has ended and is recorded is no longer named, also where rows that had
// lost their names get them back.
BOOST_AUTO_TEST_CASE(Record_TasksEnd_LargeRowGetsItsNamesBack) {
  LargeCell cell({4100, 20});
  size_t bytes = 0;
  BOOST_TEST(!cell.Recorded(&bytes).front().runs);
  auto* leader = cell.world.Leader();
  leader->cell->Cancel("00000000000000a1", [](std::error_code) {});
  cell.world.Run(Millis(3000));
  BOOST_TEST(Show(cell.Recorded(&bytes).back().runs) == "[]");
  leader->cell->Cancel("00000000000000a0", [](std::error_code) {});
  cell.world.Run(Millis(6000));
  for (const KnownWorker& worker : cell.Recorded(&bytes)) {
    BOOST_TEST(Show(worker.runs) == "[]");
  }
}

}  // namespace
}  // namespace doorwood
