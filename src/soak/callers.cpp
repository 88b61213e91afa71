// SPDX-License-Identifier: Apache-2.0

#include "soak/callers.h"

#include <algorithm>
#include <utility>

namespace doorwood::soak {
namespace {

constexpr Millis kCallTimeout{3000};
constexpr Millis kRetryInterval{300};
constexpr Millis kPollInterval{900};
constexpr Millis kConnectionLossGrace{200};
constexpr int kMaxAttempts = 40;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
// One in this many callers stops submitting once its job is rejected, unless an
// earlier attempt may have been accepted; and one in this many cancels its job.
constexpr uint64_t kGiveUpOneIn = 3;
constexpr uint64_t kCancelOneIn = 6;

std::string HexId(uint64_t number) {
  constexpr int kDigits = 16;
  std::string id(kDigits, '0');
  for (int digit = kDigits - 1; digit >= 0; --digit) {
    id[digit] = "0123456789abcdef"[number % kDigits];
    number /= kDigits;
  }
  return id;
}

}  // namespace

Callers::Callers(World& world, uint64_t seed)
    : world_(world),
      client_(world.context()),
      random_(seed),
      crashing_random_(~seed) {}

Callers::TrackedJob* Callers::Add(platform::SoakJob job) {
  job.id = HexId(random_());
  TrackedJob& tracked = jobs_[job.id];
  tracked.job = std::move(job);
  world_.task_checker().OnSubmitted(tracked.job.id, tracked.job.tasks);
  return &tracked;
}

void Callers::AddLongRunning(int jobs, int tasks, int cpu) {
  for (int n = 0; n < jobs; ++n) {
    platform::SoakJob job;
    job.tasks = tasks;
    job.cpu = cpu;
    Submit(Add(std::move(job)), kMaxAttempts);
  }
}

void Callers::SubmitPeriodically(Millis pause) {
  if (stopped_) {
    return;
  }
  constexpr int kMinTaskMillis = 100;
  constexpr int kTaskMillisRange = 1500;
  platform::SoakJob job;
  job.tasks = 1 + static_cast<int>(Draw(4));
  job.second_step_tasks = Draw(3) == 0 ? 2 : 0;
  job.cpu = 500;
  job.task_time = Millis(kMinTaskMillis + Draw(kTaskMillisRange));
  job.failing_runs = Draw(5) == 0 ? 1 : 0;
  TrackedJob* tracked = Add(std::move(job));
  tracked->gives_up = Draw(kGiveUpOneIn) == 0;
  tracked->cancels = Draw(kCancelOneIn) == 0;
  Submit(tracked, kMaxAttempts);
  world_.After(pause, [this, pause] { SubmitPeriodically(pause); });
}

void Callers::SubmitCrashingPeriodically(Millis pause) {
  if (stopped_) {
    return;
  }
  constexpr uint64_t kMaxTasks = 3;
  constexpr int kMaxCrashMillis = 1000;
  platform::SoakJob job;
  job.tasks = 1 + static_cast<int>(crashing_random_() % kMaxTasks);
  job.cpu = 500;
  job.task_time = Millis(5000);
  const bool at_once = crashing_random_() % 2 == 0;
  job.crash_delay =
      Millis(at_once ? 10 : 1 + crashing_random_() % kMaxCrashMillis);
  Submit(Add(std::move(job)), kMaxAttempts);
  world_.After(pause, [this, pause] { SubmitCrashingPeriodically(pause); });
}

void Callers::Call(std::string method,
                   const TrackedJob& tracked,
                   std::string body,
                   ReplyHandler done) {
  HttpCall call;
  call.address = world_.FrontAddressOf(Draw(world_.instances()));
  call.method = std::move(method);
  call.target = platform::kSoakPath + tracked.job.id;
  call.headers = {{"Host", platform::kSoakHost}};
  call.body = std::move(body);
  call.timeout = kCallTimeout;
  call.repeatable = false;
  std::string what = call.method + " " + call.target + " at " + call.address;
  client_.Send(
      std::move(call),
      [this, what = std::move(what), sent = world_.Now(),
       done = std::move(done)](std::error_code error, const HttpReply& reply) {
        ReportIfConnectionLost(what, error, Millis(world_.Now() - sent));
        done(error ? HttpReply{} : reply);
      });
}

// The platform permits the loss of a call within `kConnectionLossGrace` after
// it was sent: it may have been under way when the instance stopped. A call
// that ends after `kCallTimeout` timed out and did not lose its connection.
void Callers::ReportIfConnectionLost(const std::string& what,
                                     std::error_code error,
                                     Millis after) {
  const bool connection_lost = error == make_error_code(PeerErrc::kNoAnswer) &&
                               after > kConnectionLossGrace &&
                               after < kCallTimeout;
  if (expects_answers_ && connection_lost) {
    world_.ReportViolation("connection lost after " +
                           std::to_string(after.count()) + " ms: " + what);
  }
}

void Callers::Submit(TrackedJob* tracked, int attempts_left) {
  if (attempts_left == 0) {
    return;
  }
  Call("POST", *tracked, platform::EncodeSoakJob(tracked->job),
       [this, tracked, attempts_left](const HttpReply& reply) {
         OnSubmitted(tracked, attempts_left - 1, reply);
       });
}

void Callers::OnSubmitted(TrackedJob* tracked,
                          int attempts_left,
                          const HttpReply& reply) {
  const bool rejected = reply.status == kNotFound || reply.status == kTooMany ||
                        reply.status == kUnavailable;
  world_.task_checker().OnSubmitAttempt(tracked->job.id, rejected);
  tracked->may_be_accepted = tracked->may_be_accepted || !rejected;
  if (reply.status == kOk) {
    tracked->accepted = true;
    world_.Log("accepted " + tracked->job.id);
    if (tracked->job.is_long_running()) {
      world_.task_checker().OnLongRunning(tracked->job.id);
    }
    SchedulePollOrCancel(tracked);
  } else if (tracked->may_be_accepted || !tracked->gives_up) {
    world_.After(kRetryInterval, [this, tracked, attempts_left] {
      Submit(tracked, attempts_left);
    });
  }
}

void Callers::SchedulePollOrCancel(TrackedJob* tracked) {
  world_.After(kPollInterval, [this, tracked] {
    if (tracked->cancels) {
      Cancel(tracked);
      return;
    }
    Call("GET", *tracked, "",
         [this, tracked](const HttpReply& reply) { OnState(tracked, reply); });
  });
}

void Callers::OnState(TrackedJob* tracked, const HttpReply& reply) {
  if (reply.status == kGone) {
    world_.ReportViolation("an accepted job is answered as unknown: " +
                           tracked->job.id);
  }
  const std::string state = platform::DecodeSoakState(reply.body);
  tracked->finished =
      state == "completed" || state == "failed" || state == "cancelled";
  if (state == "completed") {
    world_.task_checker().OnCompleted(
        tracked->job.id, tracked->job.tasks + tracked->job.second_step_tasks);
  } else if (tracked->finished && !IsExpectedFailure(*tracked, state)) {
    world_.ReportViolation("job " + tracked->job.id +
                           " ended in the unexpected state " + state);
  } else if (!tracked->finished) {
    SchedulePollOrCancel(tracked);
  }
}

bool Callers::IsExpectedFailure(const TrackedJob& tracked,
                                std::string_view state) {
  return state == "failed" && tracked.job.crash_delay > Millis(0);
}

void Callers::Cancel(TrackedJob* tracked) {
  Call("DELETE", *tracked, "", [this, tracked](const HttpReply& reply) {
    if (reply.status == kOk || reply.status == kGone) {
      tracked->cancelled = true;
      tracked->finished = true;
      return;
    }
    world_.After(kRetryInterval, [this, tracked] { Cancel(tracked); });
  });
}

bool Callers::AllLongRunningTasksRun() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [this](const auto& entry) {
    const TrackedJob& tracked = entry.second;
    return !tracked.job.is_long_running() ||
           (tracked.accepted && IsSettled(tracked));
  });
}

bool Callers::IsSettled(const TrackedJob& tracked) const {
  if (!tracked.accepted) {
    return true;
  }
  const size_t active = world_.task_checker().CountActiveTasks(tracked.job.id);
  if (tracked.cancelled) {
    return active == 0;
  }
  return tracked.job.is_long_running()
             ? active == static_cast<size_t>(tracked.job.tasks)
             : tracked.finished;
}

void Callers::AwaitAll(Millis timeout, std::function<void()> done) {
  AwaitUntil(world_.Now() + timeout.count(), done);
}

void Callers::AwaitUntil(int64_t until, const std::function<void()>& done) {
  const auto settled = [this](const auto& entry) {
    return IsSettled(entry.second);
  };
  if (world_.Now() < until &&
      !std::all_of(jobs_.begin(), jobs_.end(), settled)) {
    world_.After(kRetryInterval,
                 [this, until, done] { AwaitUntil(until, done); });
    return;
  }
  for (const auto& [id, tracked] : jobs_) {
    if (!IsSettled(tracked)) {
      world_.ReportViolation(
          "job " + id + " is not in its expected state: " +
          std::to_string(world_.task_checker().CountActiveTasks(id)) +
          " tasks are running" +
          (tracked.job.is_long_running() ? "; the job is long-running" : ""));
    }
  }
  world_.task_checker().CheckRejected();
  done();
}

size_t Callers::accepted() const {
  return std::count_if(jobs_.begin(), jobs_.end(),
                       [](const auto& entry) { return entry.second.accepted; });
}

size_t Callers::not_accepted() const {
  return jobs_.size() - accepted();
}

}  // namespace doorwood::soak
