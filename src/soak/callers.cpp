// SPDX-License-Identifier: Apache-2.0

#include "soak/callers.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace doorwood::soak {
namespace {

constexpr Millis kPatience{3000};
constexpr Millis kBetweenTries{300};
constexpr Millis kBetweenLooks{900};
constexpr int kMostTries = 40;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;
// One in so many callers gives up once it is rejected, or cancels its job.
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
    : world_(world), client_(world.context()), random_(seed) {}

Callers::Known* Callers::Add(platform::SoakJob job) {
  job.id = HexId(random_());
  Known& known = jobs_[job.id];
  known.job = std::move(job);
  world_.watch().OnHandedIn(known.job.id, known.job.tasks);
  return &known;
}

void Callers::AddLasting(int jobs, int tasks, int cpu) {
  for (int n = 0; n < jobs; ++n) {
    platform::SoakJob job;
    job.tasks = tasks;
    job.cpu = cpu;
    Spawn(world_.context(), HandIn(Add(std::move(job))));
  }
}

void Callers::Start(Millis pause) {
  Spawn(world_.context(), KeepHandingIn(pause));
}

Task<> Callers::KeepHandingIn(Millis pause) {
  while (!stopped_) {
    constexpr int kShortest = 100;
    constexpr int kSpread = 1500;
    platform::SoakJob job;
    job.tasks = 1 + static_cast<int>(Draw(4));
    job.later_tasks = Draw(3) == 0 ? 2 : 0;
    job.cpu = 500;
    job.task_time = Millis(kShortest + Draw(kSpread));
    job.failures = Draw(5) == 0 ? 1 : 0;
    Spawn(world_.context(), HandIn(Add(std::move(job))));
    co_await Sleep(world_.context(), pause);
  }
}

// Status 0: no answer.
Task<HttpReply> Callers::Call(std::string method,
                              const Known& known,
                              std::string body) {
  HttpCall call;
  call.address = world_.FrontOf(Draw(world_.instances()));
  call.method = std::move(method);
  call.target = platform::kSoakPath + known.job.id;
  call.headers = {{"Host", platform::kSoakHost}};
  call.body = std::move(body);
  call.timeout = kPatience;
  call.repeatable = false;
  struct Wait {
    explicit Wait(boost::asio::io_context& context)
        : answered(context, Instant::max()) {}
    boost::asio::steady_timer answered;
    HttpReply reply;
  };
  auto wait = std::make_shared<Wait>(world_.context());
  client_.Send(std::move(call), [wait](std::error_code error, HttpReply reply) {
    wait->reply = error ? HttpReply{} : std::move(reply);
    wait->answered.cancel();
  });
  boost::system::error_code ignored;
  co_await wait->answered.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  co_return wait->reply;
}

Task<> Callers::HandIn(Known* known) {
  const bool gives_up = !known->job.lasts() && Draw(kGivesUp) == 0;
  const bool cancels = !known->job.lasts() && Draw(kCancels) == 0;
  bool unknown = false;
  for (int n = 0; n < kMostTries && !known->accepted; ++n) {
    const HttpReply reply =
        co_await Call("POST", *known, platform::EncodeSoakJob(known->job));
    const bool rejected = reply.status == kNotFound ||
                          reply.status == kTooMany ||
                          reply.status == kUnavailable;
    world_.watch().OnAttempt(known->job.id, rejected);
    known->accepted = reply.status == kOk;
    unknown = unknown || !rejected;
    if (rejected && gives_up && !unknown) {
      break;
    }
    if (!known->accepted) {
      co_await Sleep(world_.context(), kBetweenTries);
    }
  }
  if (known->accepted) {
    world_.Log("accepted " + known->job.id);
    co_await Follow(known, cancels);
  }
}

Task<> Callers::Follow(Known* known, bool cancel) {
  while (!known->over) {
    co_await Sleep(world_.context(), kBetweenLooks);
    if (cancel) {
      co_await Cancel(known);
      co_return;
    }
    const HttpReply reply = co_await Call("GET", *known, "");
    if (reply.status == kGone) {
      world_.Break("an accepted job is not known: " + known->job.id);
    }
    const std::string state = platform::DecodeSoakState(reply.body);
    if (state == "completed") {
      world_.watch().OnCompleted(known->job.id,
                                 known->job.tasks + known->job.later_tasks);
      known->over = true;
    } else if (state == "failed" || state == "cancelled") {
      world_.Break("job " + known->job.id + " is shown as " + state);
      known->over = true;
    }
  }
}

Task<> Callers::Cancel(Known* known) {
  known->asked_to_cancel = true;
  for (;;) {
    const HttpReply reply = co_await Call("DELETE", *known, "");
    if (reply.status == kOk || reply.status == kGone) {
      known->cancelled = true;
      known->over = true;
      co_return;
    }
    co_await Sleep(world_.context(), kBetweenTries);
  }
}

bool Callers::AllLastingRun() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [this](const auto& entry) {
    const Known& known = entry.second;
    return !known.job.lasts() || (known.accepted && IsSettled(known));
  });
}

bool Callers::IsSettled(const Known& known) const {
  if (!known.accepted) {
    return true;
  }
  const size_t active = world_.watch().ActiveTasks(known.job.id);
  if (known.cancelled) {
    return active == 0;
  }
  return known.job.lasts() ? active == static_cast<size_t>(known.job.tasks)
                           : known.over;
}

Task<> Callers::AwaitAll(Millis patience) {
  const int64_t until = world_.Now() + patience.count();
  const auto settled = [this](const auto& entry) {
    return IsSettled(entry.second);
  };
  while (world_.Now() < until &&
         !std::all_of(jobs_.begin(), jobs_.end(), settled)) {
    co_await Sleep(world_.context(), kBetweenTries);
  }
  for (const auto& [id, known] : jobs_) {
    if (!IsSettled(known)) {
      world_.Break("job " + id + " is not as it must be: " +
                   std::to_string(world_.watch().ActiveTasks(id)) +
                   " tasks run" +
                   (known.job.lasts() ? " of a lasting job" : ""));
    }
  }
  world_.watch().CheckRefused();
}

size_t Callers::accepted() const {
  return std::count_if(jobs_.begin(), jobs_.end(),
                       [](const auto& entry) { return entry.second.accepted; });
}

size_t Callers::refused() const {
  return jobs_.size() - accepted();
}

}  // namespace doorwood::soak
