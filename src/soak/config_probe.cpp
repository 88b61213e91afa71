// SPDX-License-Identifier: Apache-2.0

#include "soak/config_probe.h"

#include <string>
#include <utility>

#include "platform/standin/soak_messages.h"

namespace doorwood::soak {
namespace {

constexpr Millis kPollInterval{250};
constexpr Millis kCallTimeout{1500};
// Time for the answer to a probe.
constexpr Millis kAnswerTime{150};
constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

ConfigProbe::ConfigProbe(World& world)
    : world_(world), client_(world.context()) {}

void ConfigProbe::Start() {
  ProbeAll();
  CheckAges();
  world_.After(kPollInterval, [this] { Start(); });
}

// Probes each instance for the route that it served last and for the newest.
void ConfigProbe::ProbeAll() {
  for (size_t instance = 0; instance < world_.instances(); ++instance) {
    const Served& served = served_[instance];
    if (served.restarts == world_.RestartsOf(instance) && served.version > 0) {
      SendProbe(instance, served.version);
    }
    if (!ServesNewest(instance)) {
      SendProbe(instance, world_.config_version());
    }
  }
}

void ConfigProbe::CheckAges() {
  if (!max_age_ || world_.Now() - world_.configured_at() <
                       (*max_age_ + kPollInterval + kAnswerTime).count()) {
    return;
  }
  const int newest = world_.config_version();
  for (size_t instance = 0; instance < world_.instances(); ++instance) {
    if (!ServesNewest(instance) &&
        std::exchange(reported_[instance], newest) != newest) {
      world_.ReportViolation(World::NameOf(instance) +
                             " does not serve configuration " +
                             std::to_string(newest) + " after " +
                             std::to_string(max_age_->count()) + " ms");
    }
  }
}

void ConfigProbe::SendProbe(size_t instance, int version) {
  HttpCall call;
  call.address = world_.FrontAddressOf(instance);
  call.target = platform::SoakRoutePath(version);
  call.headers = {{"Host", platform::kSoakHost}};
  call.timeout = kCallTimeout;
  call.repeatable = false;
  const Probe probe{instance, world_.RestartsOf(instance), version,
                    world_.Now()};
  client_.Send(std::move(call),
               [this, probe](std::error_code error, const HttpReply& reply) {
                 OnAnswer(probe, error ? 0 : reply.status);
               });
}

void ConfigProbe::OnAnswer(const Probe& probe, int status) {
  if (probe.restarts != world_.RestartsOf(probe.instance)) {
    return;
  }
  Served& served = served_[probe.instance];
  if (served.restarts != probe.restarts) {
    served = {probe.restarts, 0, 0};
  }
  if (status == kOk && probe.version > served.version) {
    served.version = probe.version;
    served.confirmed_at = world_.Now();
  }
  const bool reverted = status == kNotFound &&
                        probe.version <= served.version &&
                        probe.sent_at >= served.confirmed_at;
  if (reverted) {
    world_.ReportViolation(
        World::NameOf(probe.instance) + " served configuration " +
        std::to_string(served.version) + " but answers 404 to the route of " +
        std::to_string(probe.version));
    served.version = 0;
  }
}

bool ConfigProbe::ServesNewest(size_t instance) const {
  const auto served = served_.find(instance);
  return served != served_.end() &&
         served->second.restarts == world_.RestartsOf(instance) &&
         served->second.version == world_.config_version();
}

void ConfigProbe::AwaitNewest(Millis timeout, std::function<void()> done) {
  AwaitUntil(world_.Now() + timeout.count(), done);
}

void ConfigProbe::AwaitUntil(int64_t until, const std::function<void()>& done) {
  size_t outdated = 0;
  for (size_t instance = 0; instance < world_.instances(); ++instance) {
    outdated += ServesNewest(instance) ? 0 : 1;
  }
  if (outdated > 0 && world_.Now() < until) {
    world_.After(kPollInterval,
                 [this, until, done] { AwaitUntil(until, done); });
    return;
  }
  if (outdated > 0) {
    world_.ReportViolation(std::to_string(outdated) +
                           " instances do not serve configuration " +
                           std::to_string(world_.config_version()));
  }
  done();
}

}  // namespace doorwood::soak
