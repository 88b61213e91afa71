// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ticket_book.h"

#include <boost/test/unit_test.hpp>

#include "doorwood/error.h"
#include "fakes/fakes.h"

namespace doorwood {
namespace {

class FakeAdviser : public Adviser {
 public:
  explicit FakeAdviser(Executor& executor) : executor_(executor) {}

  void RequestTickets(const std::string& step,
                      const std::vector<std::string>& workers,
                      Callback done) override {
    ++requests;
    requested_workers = workers;
    TicketGrant grant;
    grant.valid_for = Millis(3000);
    for (const std::string& worker : workers) {
      if (worker != "refused") {
        grant.tickets.push_back({worker, step + "-" + worker});
      }
    }
    executor_.Schedule(Millis(50), [this, grant, done = std::move(done)] {
      done(error, grant);
    });
  }

  std::error_code error;
  int requests = 0;
  std::vector<std::string> requested_workers;

 private:
  Executor& executor_;
};

struct TicketFixture {
  fakes::VirtualTime time;
  fakes::FakeExecutor executor{time, 1};
  FakeAdviser adviser{executor};
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
  book.RequestTickets("s", {"w1", "w2"});
  time.Run(Millis(100));
  book.RequestTickets("other", {"w1", "w2"});
  book.Forget("w1");
  BOOST_TEST(book.Find("s", "w1").empty());
  BOOST_TEST(book.Find("s", "w2") == "s-w2");
  time.Run(Millis(100));
  BOOST_TEST(book.Find("other", "w1").empty());
  BOOST_TEST(book.Find("other", "w2") == "other-w2");
  book.RequestTickets("other", {"w1", "w2"});
  time.Run(Millis(100));
  BOOST_TEST(book.Find("other", "w1") == "other-w1");
}

BOOST_FIXTURE_TEST_CASE(RequestTickets_Answered_TicketIsUsedUntilNearExpiry,
                        TicketFixture) {
  book.RequestTickets("s", {"w1", "refused"});
  book.RequestTickets("s", {"w1", "refused"});  // Already requested.
  time.Run(Millis(100));
  BOOST_TEST(adviser.requests == 1);
  BOOST_TEST(changes == 1);
  BOOST_TEST(book.Find("s", "w1") == "s-w1");
  BOOST_TEST(book.Find("s", "refused").empty());
  BOOST_TEST(book.Find("other", "w1").empty());
  book.RequestTickets("s", {"w1", "refused"});
  BOOST_TEST(adviser.requests == 1);
  time.Run(Millis(2800));
  BOOST_TEST(book.Find("s", "w1").empty());
  book.RequestTickets("s", {"w1"});
  BOOST_TEST(adviser.requests == 2);
}

BOOST_FIXTURE_TEST_CASE(RequestTickets_AdviserBusy_NextIsSentAfterAPause,
                        TicketFixture) {
  adviser.error = CoreErrc::kNoOwner;
  book.RequestTickets("s", {"w1"});
  time.Run(Millis(100));
  BOOST_TEST(changes == 0);
  book.RequestTickets("s", {"w1"});
  BOOST_TEST(adviser.requests == 1);
  time.Run(Millis(300));
  adviser.error = {};
  book.RequestTickets("s", {"w1"});
  time.Run(Millis(100));
  BOOST_TEST(book.Find("s", "w1") == "s-w1");
}

BOOST_FIXTURE_TEST_CASE(RequestTickets_ManyWorkers_RepeatedCallsCoverAll,
                        TicketFixture) {
  std::vector<std::string> workers;
  for (int i = 0; i < 70; ++i) {
    workers.push_back("w" + std::to_string(i));
  }
  for (int i = 0; i < 3; ++i) {
    book.RequestTickets("s", workers);
    time.Run(Millis(100));
  }
  BOOST_TEST(adviser.requests == 3);
  BOOST_TEST(book.Find("s", "w69") == "s-w69");
}

BOOST_FIXTURE_TEST_CASE(Clear_AnswerComesLater_IsDropped, TicketFixture) {
  book.RequestTickets("s", {"w1"});
  book.Clear();
  time.Run(Millis(100));
  BOOST_TEST(book.Find("s", "w1").empty());
}

}  // namespace
}  // namespace doorwood
