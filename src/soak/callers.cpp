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
// One in this many callers gives up once it is rejected, or cancels its job.
constexpr uint64_t kGivesUp = 3;
constexpr uint64_t kCancels = 6;

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
  TrackedJob& known = jobs_[job.id];
  known.job = std::move(job);
  world_.task_checker().OnSubmitted(known.job.id, known.job.tasks);
  return &known;
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
  constexpr int kShortest = 100;
  constexpr int kSpread = 1500;
  platform::SoakJob job;
  job.tasks = 1 + static_cast<int>(Draw(4));
  job.second_step_tasks = Draw(3) == 0 ? 2 : 0;
  job.cpu = 500;
  job.task_time = Millis(kShortest + Draw(kSpread));
  job.failing_runs = Draw(5) == 0 ? 1 : 0;
  TrackedJob* known = Add(std::move(job));
  known->gives_up = Draw(kGivesUp) == 0;
  known->cancels = Draw(kCancels) == 0;
  Submit(known, kMaxAttempts);
  world_.After(pause, [this, pause] { SubmitPeriodically(pause); });
}

void Callers::SubmitCrashingPeriodically(Millis pause) {
  if (stopped_) {
    return;
  }
  constexpr uint64_t kMaxTasks = 3;
  constexpr int kSpread = 1000;
  platform::SoakJob job;
  job.tasks = 1 + static_cast<int>(crashing_random_() % kMaxTasks);
  job.cpu = 500;
  job.task_time = Millis(5000);
  const bool at_once = crashing_random_() % 2 == 0;
  job.crash_delay = Millis(at_once ? 10 : 1 + crashing_random_() % kSpread);
  Submit(Add(std::move(job)), kMaxAttempts);
  world_.After(pause, [this, pause] { SubmitCrashingPeriodically(pause); });
}

void Callers::Call(std::string method,
                   const TrackedJob& known,
                   std::string body,
                   ReplyHandler done) {
  HttpCall call;
  call.address = world_.ClientAddressOf(Draw(world_.instances()));
  call.method = std::move(method);
  call.target = platform::kSoakPath + known.job.id;
  call.headers = {{"Host", platform::kSoakHost}};
  call.body = std::move(body);
  call.timeout = kCallTimeout;
  call.repeatable = false;
  std::string what = call.method + " " + call.target + " at " + call.address;
  client_.Send(
      std::move(call),
      [this, what = std::move(what), sent = world_.Now(),
       done = std::move(done)](std::error_code error, const HttpReply& reply) {
        OnConnectionLost(what, error, Millis(world_.Now() - sent));
        done(error ? HttpReply{} : reply);
      });
}

// By the platform's rule, a call that is lost within `kConnectionLossGrace` may
// have been under way while the instance stopped, and is not a violation.
void Callers::OnConnectionLost(const std::string& what,
                               std::error_code error,
                               Millis after) {
  const bool broken_off = error == make_error_code(PeerErrc::kNoAnswer) &&
                          after > kConnectionLossGrace && after < kCallTimeout;
  if (expects_answers_ && broken_off) {
    world_.ReportViolation("broken off after " + std::to_string(after.count()) +
                           " ms: " + what);
  }
}

void Callers::Submit(TrackedJob* known, int attempts_left) {
  if (attempts_left == 0) {
    return;
  }
  Call("POST", *known, platform::EncodeSoakJob(known->job),
       [this, known, attempts_left](const HttpReply& reply) {
         OnSubmitted(known, attempts_left - 1, reply);
       });
}

void Callers::OnSubmitted(TrackedJob* known,
                          int attempts_left,
                          const HttpReply& reply) {
  const bool rejected = reply.status == kNotFound || reply.status == kTooMany ||
                        reply.status == kUnavailable;
  world_.task_checker().OnSubmitAttempt(known->job.id, rejected);
  known->may_be_accepted = known->may_be_accepted || !rejected;
  if (reply.status == kOk) {
    known->accepted = true;
    world_.Log("accepted " + known->job.id);
    if (known->job.is_long_running()) {
      world_.task_checker().OnLongRunning(known->job.id);
    }
    PollState(known);
  } else if (known->may_be_accepted || !known->gives_up) {
    world_.After(kRetryInterval, [this, known, attempts_left] {
      Submit(known, attempts_left);
    });
  }
}

void Callers::PollState(TrackedJob* known) {
  world_.After(kPollInterval, [this, known] {
    if (known->cancels) {
      Cancel(known);
      return;
    }
    Call("GET", *known, "",
         [this, known](const HttpReply& reply) { OnState(known, reply); });
  });
}

void Callers::OnState(TrackedJob* known, const HttpReply& reply) {
  if (reply.status == kGone) {
    world_.ReportViolation("an accepted job is not known: " + known->job.id);
  }
  const std::string state = platform::DecodeSoakState(reply.body);
  known->finished =
      state == "completed" || state == "failed" || state == "cancelled";
  if (state == "completed") {
    world_.task_checker().OnCompleted(
        known->job.id, known->job.tasks + known->job.second_step_tasks);
  } else if (known->finished && !IsExpectedFailure(*known, state)) {
    world_.ReportViolation("job " + known->job.id + " is shown as " + state);
  } else if (!known->finished) {
    PollState(known);
  }
}

bool Callers::IsExpectedFailure(const TrackedJob& known,
                                std::string_view state) {
  return state == "failed" && known.job.crash_delay > Millis(0);
}

void Callers::Cancel(TrackedJob* known) {
  Call("DELETE", *known, "", [this, known](const HttpReply& reply) {
    if (reply.status == kOk || reply.status == kGone) {
      known->cancelled = true;
      known->finished = true;
      return;
    }
    world_.After(kRetryInterval, [this, known] { Cancel(known); });
  });
}

bool Callers::AllLongRunningTasksRun() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [this](const auto& entry) {
    const TrackedJob& known = entry.second;
    return !known.job.is_long_running() || (known.accepted && IsSettled(known));
  });
}

bool Callers::IsSettled(const TrackedJob& known) const {
  if (!known.accepted) {
    return true;
  }
  const size_t active = world_.task_checker().CountActiveTasks(known.job.id);
  if (known.cancelled) {
    return active == 0;
  }
  return known.job.is_long_running()
             ? active == static_cast<size_t>(known.job.tasks)
             : known.finished;
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
  for (const auto& [id, known] : jobs_) {
    if (!IsSettled(known)) {
      world_.ReportViolation(
          "job " + id + " is not as it must be: " +
          std::to_string(world_.task_checker().CountActiveTasks(id)) +
          " tasks run" +
          (known.job.is_long_running() ? " of a lasting job" : ""));
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
