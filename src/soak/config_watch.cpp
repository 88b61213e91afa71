// SPDX-License-Identifier: Apache-2.0

#include "soak/config_watch.h"

#include <string>

#include "platform/standin/soak_words.h"

namespace doorwood::soak {
namespace {

constexpr Millis kBetweenLooks{250};
constexpr Millis kPatience{1500};
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

ConfigWatch::ConfigWatch(World& world)
    : world_(world), client_(world.context()) {}

void ConfigWatch::Start() {
  AskAll();
  world_.After(kBetweenLooks, [this] { Start(); });
}

// For the route that it served last, and for the newest one.
void ConfigWatch::AskAll() {
  for (size_t instance = 0; instance < world_.instances(); ++instance) {
    const Served& served = served_[instance];
    if (served.life == world_.LivesOf(instance) && served.version > 0) {
      Ask(instance, served.version);
    }
    if (!ServesNewest(instance)) {
      Ask(instance, world_.config_version());
    }
  }
}

void ConfigWatch::Ask(size_t instance, int version) {
  HttpCall call;
  call.address = world_.FrontOf(instance);
  call.target = platform::SoakPathOf(version);
  call.headers = {{"Host", platform::kSoakHost}};
  call.timeout = kPatience;
  call.repeatable = false;
  const Question question{instance, world_.LivesOf(instance), version,
                          world_.Now()};
  client_.Send(std::move(call),
               [this, question](std::error_code error, const HttpReply& reply) {
                 OnAnswer(question, error ? 0 : reply.status);
               });
}

void ConfigWatch::OnAnswer(const Question& question, int status) {
  if (question.life != world_.LivesOf(question.instance)) {
    return;
  }
  Served& served = served_[question.instance];
  if (served.life != question.life) {
    served = {question.life, 0, 0};
  }
  if (status == kOk && question.version > served.version) {
    served.version = question.version;
    served.heard_at = world_.Now();
  }
  const bool reverted = status == kNotFound &&
                        question.version <= served.version &&
                        question.sent >= served.heard_at;
  if (reverted) {
    world_.Break(World::NameOf(question.instance) + " served configuration " +
                 std::to_string(served.version) +
                 " and does not know the route of " +
                 std::to_string(question.version));
    served.version = 0;
  }
}

bool ConfigWatch::ServesNewest(size_t instance) const {
  const auto served = served_.find(instance);
  return served != served_.end() &&
         served->second.life == world_.LivesOf(instance) &&
         served->second.version == world_.config_version();
}

void ConfigWatch::AwaitNewest(Millis patience, std::function<void()> done) {
  AwaitUntil(world_.Now() + patience.count(), done);
}

void ConfigWatch::AwaitUntil(int64_t until, const std::function<void()>& done) {
  size_t behind = 0;
  for (size_t instance = 0; instance < world_.instances(); ++instance) {
    behind += ServesNewest(instance) ? 0 : 1;
  }
  if (behind > 0 && world_.Now() < until) {
    world_.After(kBetweenLooks,
                 [this, until, done] { AwaitUntil(until, done); });
    return;
  }
  if (behind > 0) {
    world_.Break(std::to_string(behind) +
                 " instances do not serve configuration " +
                 std::to_string(world_.config_version()));
  }
  done();
}

}  // namespace doorwood::soak
