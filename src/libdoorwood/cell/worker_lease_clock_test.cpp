// SPDX-License-Identifier: Apache-2.0

// Guards against leases that last longer than a successor waits. A worker's
// steady clock may run 2% slow, and an idle worker is not polled. A lease end
// computed from an old reading of that clock, as if the clock ran at full rate,
// would lie more than one run lease after the order. A successor's wait does
// not allow for that. Runs in virtual time.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "doorwood/worker_session.h"
#include "fakes/fakes.h"
#include "libdoorwood/cell/null_session_listener.h"
#include "standin/run_worker_model.h"

namespace doorwood {
namespace {

// By how much a lease may exceed `run_lease`, on the worker's clock. A
// successor adds the same margin to its wait after a planned stop, on the
// successor's clock (`kExpiryMargin` in cell_takeover.cpp).
constexpr int64_t kMaxLeaseExcessMillis = 100;

class SlowClockWorkers : public RunWorkerClient {
 public:
  SlowClockWorkers(fakes::VirtualTime& time, Executor& executor)
      : time_(time), executor_(executor) {}

  // Runs 2% slow.
  int64_t Clock() const { return time_.now_ms() * 98 / 100; }

  void Poll(const WorkerIncarnation&,
            const PollOrder& order,
            Callback<WorkerReport> done) override {
    RecordLease(order.lease_end);
    model_.Advance(Clock());
    WorkerReport report;
    const auto error = model_.Poll(order, &report);
    executor_.Schedule(Millis(1), [error, report, done = std::move(done)] {
      done(error, report);
    });
  }
  void Start(const WorkerIncarnation&,
             const StartOrder& order,
             Callback<int64_t> done) override {
    RecordLease(order.lease_end);
    model_.Advance(Clock());
    const auto error = model_.Start(order);
    executor_.Schedule(Millis(1),
                       [error, clock = Clock(), done = std::move(done)] {
                         done(error, clock);
                       });
  }
  void Stop(const WorkerIncarnation&,
            const StopOrder&,
            Callback<int64_t>) override {}
  void Pace(const WorkerIncarnation&,
            const PaceOrder&,
            Callback<int64_t>) override {}

  int64_t longest_lease() const { return longest_lease_; }

 private:
  void RecordLease(int64_t until) {
    if (until > 0) {
      longest_lease_ = std::max(longest_lease_, until - Clock());
    }
  }

  fakes::VirtualTime& time_;
  Executor& executor_;
  standin::RunWorkerModel model_;
  int64_t longest_lease_ = 0;
};

struct NoLog : public EventLog {
  bool IsEnabled(std::string_view) const override { return false; }
  void Write(std::string_view,
             std::string_view,
             std::string_view,
             const Json&) override {}
};

BOOST_AUTO_TEST_CASE(Start_IdleWorkerWithSlowClock_LeaseEndsWithinMargin) {
  for (const int idle_seconds : {1, 10, 30, 60, 120, 600}) {
    fakes::VirtualTime time;
    fakes::FakeExecutor executor(time, 1);
    SlowClockWorkers workers(time, executor);
    fakes::NullSessionListener listener;
    NoLog log;
    const WorkerSessionOptions options;
    WorkerIncarnation incarnation;
    incarnation.id = "w1";
    const auto session = std::make_shared<WorkerSession>(
        executor, workers, log, listener, options, incarnation, 5);
    session->SetLeaseExtensionEnd(Instant::max());
    session->SetLeadConfirmedUntil(Instant::max());
    session->Open();
    time.Run(Millis(idle_seconds * 1000));
    Run run;
    run.task = "00112233aabbccdd.0.0.0";
    run.number = 1;
    session->Start(run, "", "");
    time.Run(Millis(500));
    session->Close();
    BOOST_TEST(workers.longest_lease() <=
                   options.run_lease.count() + kMaxLeaseExcessMillis,
               "idle for " << idle_seconds << " s: a lease of "
                           << workers.longest_lease() << " ms");
  }
}

}  // namespace
}  // namespace doorwood
