// SPDX-License-Identifier: Apache-2.0

// Behavior after the machine was suspended. The steady clock and the timers do
// not advance during a suspension, so leases and deadlines are measured with
// the time since boot.

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <optional>

#include "loop.adapter/http_client.h"
#include "loop.adapter/loop_executor.h"
#include "loop.adapter/scripted_server.h"

namespace {

// Simulated length of the suspension, added to CLOCK_BOOTTIME.
time_t suspended_seconds = 0;

}  // namespace

// The linker's --wrap option resolves calls of clock_gettime to TestClock and
// calls of RealClock to the original function; see src/CMakeLists.txt.
extern "C" int RealClock(clockid_t clock,
                         timespec* time) __asm__("__real_clock_gettime");
extern "C" int TestClock(clockid_t clock,
                         timespec* time) __asm__("__wrap_clock_gettime");

extern "C" int TestClock(clockid_t clock, timespec* time) {
  const int result = RealClock(clock, time);
  if (clock == CLOCK_BOOTTIME) {
    time->tv_sec += suspended_seconds;
  }
  return result;
}

namespace doorwood {
namespace {

constexpr int kSuspendedSeconds = 30;

struct SuspendedFixture {
  SuspendedFixture() { suspended_seconds = 0; }
  ~SuspendedFixture() { suspended_seconds = 0; }
  SuspendedFixture(const SuspendedFixture&) = delete;
  SuspendedFixture& operator=(const SuspendedFixture&) = delete;

  void Suspend() { suspended_seconds += kSuspendedSeconds; }

  boost::asio::io_context context;
};

// Guards against a leader that resumes after a suspension and takes its expired
// lease for valid.
BOOST_FIXTURE_TEST_CASE(Executor_MachineWasSuspended_NowIncludesSuspension,
                        SuspendedFixture) {
  const LoopExecutor executor(context);
  const Instant before = executor.Now();
  Suspend();
  const auto elapsed = executor.Now() - before;
  BOOST_TEST((elapsed >= std::chrono::seconds(kSuspendedSeconds)));
  BOOST_TEST((elapsed < std::chrono::seconds(kSuspendedSeconds + 5)));
}

// Guards against timers that fire early or never after a suspension.
BOOST_FIXTURE_TEST_CASE(Timer_MachineWasSuspended_FiresOnce, SuspendedFixture) {
  LoopExecutor executor(context);
  int fired = 0;
  executor.Schedule(Millis(20), [&] { ++fired; });
  Suspend();
  context.run_for(std::chrono::seconds(1));
  BOOST_TEST(fired == 1);
}

// Guards against the reuse of a pooled connection that the server has closed.
BOOST_FIXTURE_TEST_CASE(Client_MachineWasSuspended_OpensNewConnection,
                        SuspendedFixture) {
  const ScriptedServer server(
      context, [](int) { return ScriptedServer::Answer("200 OK", "{}"); });
  HttpClient client(context);
  const auto call = [&] {
    HttpCall request;
    request.address = server.address();
    std::optional<int> status;
    client.Send(request, [&](std::error_code error, const HttpReply& reply) {
      status = error ? 0 : reply.status;
    });
    while (!status) {
      context.run_one();
    }
    return *status;
  };
  BOOST_TEST(call() == 200);
  BOOST_TEST(call() == 200);
  BOOST_TEST(client.connect_attempts() == 1U);
  Suspend();
  BOOST_TEST(call() == 200);
  BOOST_TEST(client.connect_attempts() == 2U);
}

}  // namespace
}  // namespace doorwood
