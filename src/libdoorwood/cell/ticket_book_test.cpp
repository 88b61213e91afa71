// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ticket_book.h"

#include <boost/test/unit_test.hpp>

#include "doorwood/error.h"
#include "fakes/serial_adviser.h"

namespace doorwood {
namespace {

struct TicketFixture {
  TicketFixture() {
    behavior->policy = {Millis(30), Millis(1), Millis(3000)};
    behavior->permits = [](const std::string&, const std::string& worker) {
      return worker != "refused";
    };
  }
  TicketFixture(const TicketFixture&) = delete;
  TicketFixture& operator=(const TicketFixture&) = delete;

  bool Request(const std::string& step,
               const std::vector<std::string>& workers,
               int tasks = 100) {
    TicketDemand demand;
    demand.step = step;
    demand.policy = behavior->policy;
    demand.tasks = tasks;
    for (const std::string& worker : workers) {
      demand.candidates.push_back({worker});
    }
    return book.Request(demand);
  }
  bool HasValidTicket(const std::string& step, const std::string& worker) {
    return adviser.IsValid(book.Find(step, worker), step, worker);
  }

  fakes::VirtualTime time;
  fakes::FakeExecutor executor{time, 1};
  std::shared_ptr<fakes::SerialAdviser::Behavior> behavior =
      std::make_shared<fakes::SerialAdviser::Behavior>();
  fakes::SerialAdviser adviser{time, executor, behavior};
  fakes::Trace trace;
  fakes::FakeLog log{time, "tickets", trace};
  int changes = 0;
  TicketBook book{executor, &adviser, log, TicketOptions{},
                  [this] { ++changes; }};
};

// Guards against a ticket of a worker's earlier incarnation that is used for
// the next one, also if it was still being requested at the restart.
BOOST_FIXTURE_TEST_CASE(Forget_WorkerStartedAgain_ItsTicketsAreDropped,
                        TicketFixture) {
  Request("s", {"w1", "w2"});
  time.Run(Millis(100));
  Request("other", {"w1", "w2"});
  book.Forget("w1");
  BOOST_TEST(book.Find("s", "w1").empty());
  BOOST_TEST(HasValidTicket("s", "w2"));
  time.Run(Millis(100));
  BOOST_TEST(book.Find("other", "w1").empty());
  BOOST_TEST(HasValidTicket("other", "w2"));
  Request("other", {"w1", "w2"});
  time.Run(Millis(100));
  BOOST_TEST(HasValidTicket("other", "w1"));
}

BOOST_FIXTURE_TEST_CASE(Request_Answered_TicketIsUsedUntilNearExpiry,
                        TicketFixture) {
  BOOST_TEST(Request("s", {"w1", "refused"}));
  BOOST_TEST(!Request("s", {"w1", "refused"}));  // Already requested.
  time.Run(Millis(100));
  BOOST_TEST(adviser.received() == 1);
  BOOST_TEST(changes == 1);
  BOOST_TEST(HasValidTicket("s", "w1"));
  BOOST_TEST(book.HasTicket("s"));
  BOOST_TEST(book.Find("s", "refused").empty());
  BOOST_TEST(book.Find("other", "w1").empty());
  BOOST_TEST(!Request("s", {"refused"}));
  BOOST_TEST(adviser.received() == 1);
  for (int i = 0; i < 300; ++i) {
    time.Run(Millis(10));
    BOOST_TEST((book.Find("s", "w1").empty() || HasValidTicket("s", "w1")));
  }
  BOOST_TEST(book.Find("s", "w1").empty());
  BOOST_TEST(!book.HasTicket("s"));
  BOOST_TEST(Request("s", {"w1"}));
  BOOST_TEST(adviser.received() == 2);
}

// Guards against tickets whose time runs while their call waits at the adviser:
// none could ever be used.
BOOST_FIXTURE_TEST_CASE(Request_DecisionTakesLongerThanValidity_TicketIsUsed,
                        TicketFixture) {
  behavior->policy = {Millis(5000), Millis(0), Millis(300)};
  Request("s", {"w1"});
  time.Run(Millis(5010));
  BOOST_TEST(HasValidTicket("s", "w1"));
}

// Guards against an adviser slower than its queue states whose calls are all
// given up before their answers.
BOOST_FIXTURE_TEST_CASE(Request_AdviserIsFarSlowerThanStated_AnswersAreUsed,
                        TicketFixture) {
  for (const double slowdown : {10.0, 100.0, 1500.0, 9000.0}) {
    behavior->slowdown = slowdown;
    const std::string step = "s" + std::to_string(slowdown);
    const int before = adviser.received();
    bool was_answered = false;
    for (int i = 0; i < 40'000 && !was_answered; ++i) {
      Request(step, {"w1"});
      time.Run(Millis(100));
      was_answered = HasValidTicket(step, "w1");
    }
    BOOST_TEST(was_answered, step);
    BOOST_TEST(adviser.received() - before <= 40, step);
    book.Clear();
    time.Run(Millis(4'000'000));  // The adviser decides the calls left open.
  }
}

// Guards against a call that was lost on the network and blocks all others.
BOOST_FIXTURE_TEST_CASE(Request_CallsAreLost_NextIsAnsweredSoonAfterRecovery,
                        TicketFixture) {
  for (const int outage_ms : {500, 3000, 15'000, 60'000}) {
    behavior->silent = true;
    const std::string step = "s" + std::to_string(outage_ms);
    for (int waited = 0; waited < outage_ms; waited += 100) {
      Request(step, {"w1"});
      time.Run(Millis(100));
    }
    behavior->silent = false;
    int waited = 0;
    for (; waited < 20'000 && !book.HasTicket(step); waited += 100) {
      Request(step, {"w1"});
      time.Run(Millis(100));
    }
    BOOST_TEST(waited <= 8200, step << " waited " << waited);
    // The lost calls do not delay the following ones.
    for (int i = 0; i < 20; ++i) {
      Request(step + "." + std::to_string(i), {"w1"});
      time.Run(Millis(50));
      BOOST_TEST(book.HasTicket(step + "." + std::to_string(i)));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(Request_AdviserBusy_NextIsSentAfterAPause,
                        TicketFixture) {
  behavior->busy = true;
  Request("s", {"w1"});
  time.Run(Millis(100));
  BOOST_TEST(changes == 0);
  BOOST_TEST(!Request("s", {"w1"}));
  BOOST_TEST(adviser.received() == 1);
  time.Run(Millis(300));
  behavior->busy = false;
  Request("s", {"w1"});
  time.Run(Millis(100));
  BOOST_TEST(HasValidTicket("s", "w1"));
}

BOOST_FIXTURE_TEST_CASE(Request_AdviserStaysBusy_AsksEverMoreRarely,
                        TicketFixture) {
  behavior->busy = true;
  for (int i = 0; i < 200; ++i) {
    Request("s", {"w1"});
    time.Run(Millis(100));
  }
  BOOST_TEST(adviser.received() <= 14);  // In 20 s.
}

// Guards against calls that wait behind each other at the adviser.
BOOST_FIXTURE_TEST_CASE(Request_ManySteps_OneCallIsOpenAtATime, TicketFixture) {
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(Request("s" + std::to_string(i), {"w1"}) == (i == 0));
  }
  BOOST_TEST(adviser.received() == 1);
  time.Run(Millis(100));
  BOOST_TEST(Request("s5", {"w1"}));
}

BOOST_FIXTURE_TEST_CASE(Request_ManyWorkers_RepeatedCallsCoverAll,
                        TicketFixture) {
  std::vector<std::string> workers;
  for (int i = 0; i < 250; ++i) {
    workers.push_back("w" + std::to_string(i));
  }
  for (int i = 0; i < 3; ++i) {
    std::vector<std::string> without_ticket;
    for (const std::string& worker : workers) {
      if (book.Find("s", worker).empty()) {
        without_ticket.push_back(worker);
      }
    }
    Request("s", without_ticket, 250);
    time.Run(Millis(200));
  }
  BOOST_TEST(adviser.received() == 3);
  BOOST_TEST(HasValidTicket("s", "w249"));
}

// Guards against a step of which only the last of many workers is permitted:
// refusals that are forgotten too soon would be asked for again and again.
BOOST_FIXTURE_TEST_CASE(Request_OneOfManyIsPermitted_IsFound, TicketFixture) {
  behavior->policy = {Millis(100), Millis(22), Millis(900)};
  behavior->permits = [](const std::string&, const std::string& worker) {
    return worker == "w499";
  };
  std::vector<std::string> workers;
  for (int i = 0; i < 500; ++i) {
    workers.push_back("w" + std::to_string(i));
  }
  int waited = 0;
  for (; waited < 60'000 && !book.HasTicket("s"); waited += 100) {
    Request("s", workers, 1);
    time.Run(Millis(100));
  }
  BOOST_TEST(waited <= 15'000);
  BOOST_TEST(adviser.workers_named() == 500U);
}

BOOST_FIXTURE_TEST_CASE(Drop_WorkerRefusesTicket_IsRequestedAgain,
                        TicketFixture) {
  Request("s", {"w1"});
  time.Run(Millis(100));
  book.Drop("s", "w1");
  BOOST_TEST(book.Find("s", "w1").empty());
  BOOST_TEST(Request("s", {"w1"}));
  time.Run(Millis(100));
  BOOST_TEST(HasValidTicket("s", "w1"));
}

BOOST_FIXTURE_TEST_CASE(ForgetStep_AnswerComesLater_OthersMayAsk,
                        TicketFixture) {
  Request("j.0.1", {"w1"});
  book.ForgetStep("j.0.1");
  time.Run(Millis(100));
  BOOST_TEST(!book.HasTicket("j.0.1"));
  BOOST_TEST(changes == 1);
  Request("j.0.2", {"w1"});
  time.Run(Millis(100));
  Request("k.0.0", {"w1"});
  time.Run(Millis(100));
  book.ForgetSteps("j.");
  BOOST_TEST(!book.HasTicket("j.0.2"));
  BOOST_TEST(book.HasTicket("k.0.0"));
}

// Guards against an instance that leads again and calls an adviser that still
// handles its earlier calls.
BOOST_FIXTURE_TEST_CASE(Clear_CallIsOpen_AnswerIsDroppedAndNextCallWaits,
                        TicketFixture) {
  behavior->policy.decision_time = Millis(500);
  Request("s", {"w1"});
  book.Clear();
  BOOST_TEST(!Request("s", {"w1"}));
  time.Run(Millis(600));
  BOOST_TEST(book.Find("s", "w1").empty());
  BOOST_TEST(changes == 0);
  BOOST_TEST(Request("s", {"w1"}));
}

}  // namespace
}  // namespace doorwood
