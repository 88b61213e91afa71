// SPDX-License-Identifier: Apache-2.0

#include "doorwood/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace doorwood {
namespace {

int64_t SecondOf(Instant time) {
  return std::chrono::floor<Seconds>(time.time_since_epoch()).count();
}

// A step of a takeover that ends at `expected` as forecast. Once that has
// passed, the step is expected to last as much longer as it is overdue.
std::optional<Instant> ExtendOverdue(Instant since,
                                     Instant expected,
                                     Millis max_overdue,
                                     Instant now) {
  if (now <= expected) {
    return expected;
  }
  const auto overdue = now - expected;
  const bool known =
      overdue <= std::max<Instant::duration>(expected - since, max_overdue);
  return known ? std::optional(now + overdue) : std::nullopt;
}

}  // namespace

ServiceForecast::ServiceForecast(const ServiceForecastOptions& options)
    : options_(options) {}

void ServiceForecast::ObserveVacancy(Millis duration) {
  Observe(&vacancies_, duration);
}

void ServiceForecast::ObserveReading(Millis duration) {
  Observe(&readings_, duration);
}

void ServiceForecast::Observe(std::deque<Millis>* observed,
                              Millis duration) const {
  observed->push_back(duration);
  if (observed->size() > options_.max_observations) {
    observed->pop_front();
  }
}

Millis ServiceForecast::Longest(const std::deque<Millis>& observed,
                                Millis initial) {
  return observed.empty() ? initial
                          : *std::max_element(observed.begin(), observed.end());
}

std::optional<Instant> ServiceForecast::ServiceAt(const LeaderSigns& signs,
                                                  bool store_responsive,
                                                  Instant now) const {
  if (signs.stage == LeaderSigns::Stage::kServing) {
    return now;
  }
  if (!store_responsive) {
    return std::nullopt;
  }
  const Millis vacancy = Longest(vacancies_, options_.initial_vacancy);
  const Millis reading = Longest(readings_, options_.initial_reading);
  std::optional<Instant> lead_taken;
  switch (signs.stage) {
    case LeaderSigns::Stage::kReading:
      return ExtendOverdue(signs.since, signs.since + reading,
                           options_.max_overdue, now);
    case LeaderSigns::Stage::kVacant:
      lead_taken = ExtendOverdue(signs.since, signs.since + vacancy,
                                 options_.max_overdue, now);
      break;
    default: {
      const Instant lease_end = signs.since + options_.lease_ttl;
      if (now <= lease_end + options_.lease_end_margin) {
        lead_taken = std::max(lease_end, now) + vacancy;
      }
    }
  }
  return lead_taken ? std::optional(*lead_taken + reading) : std::nullopt;
}

ReturnSchedule::ReturnSchedule(const ReturnScheduleOptions& options)
    : options_(options) {}

bool ReturnSchedule::CanWait(const ReturnQuestion& question) const {
  if (!question.may_hold || !question.service_at || !question.deadline ||
      *question.service_at + options_.accept_time > *question.deadline) {
    return false;
  }
  return *question.service_at <= question.now ||
         *question.service_at <= question.arrived_at + options_.max_hold;
}

Millis ReturnSchedule::release_interval(size_t instances) const {
  return Millis(std::llround(
      1000.0 * static_cast<double>(std::max<size_t>(instances, 1)) /
      options_.accepts_per_second));
}

ReturnDecision ReturnSchedule::Decide(const ReturnQuestion& question) {
  if (question.service_at && *question.service_at <= question.now) {
    return {ReturnDecision::Kind::kForward, {}};
  }
  if (question.held < options_.max_held && CanWait(question)) {
    return {ReturnDecision::Kind::kHold, {}};
  }
  return ScheduleReturn(question);
}

// Callers who can return only in one second take precedence in it: the others
// leave half of its places free and return later.
ReturnDecision ReturnSchedule::ScheduleReturn(const ReturnQuestion& question) {
  returns_.erase(returns_.begin(),
                 returns_.lower_bound(SecondOf(question.now)));
  const Instant earliest = std::max(question.service_at.value_or(question.now),
                                    question.now + Millis(1));
  const auto first = std::chrono::ceil<Seconds>(earliest - question.now);
  const auto last =
      question.deadline
          ? std::chrono::floor<Seconds>(*question.deadline -
                                        options_.accept_time - question.now)
          : first + Seconds(options_.spread_seconds - 1);
  if (first > last) {
    return {ReturnDecision::Kind::kRefuse, first};
  }
  const double instances =
      static_cast<double>(std::max<size_t>(question.instances, 1));
  const int places =
      std::max(1, static_cast<int>(options_.accepts_per_second / instances));
  Seconds chosen = last;
  int fewest = returns_[SecondOf(question.now + last)];
  for (Seconds after = first; after < last; ++after) {
    const int booked = returns_[SecondOf(question.now + after)];
    // With a known moment of service, sooner is better while there is room.
    if (question.service_at && booked < (places + 1) / 2) {
      chosen = after;
      break;
    }
    if (booked < fewest) {
      chosen = after;
      fewest = booked;
    }
  }
  ++returns_[SecondOf(question.now + chosen)];
  return {ReturnDecision::Kind::kReturnLater, chosen};
}

}  // namespace doorwood
