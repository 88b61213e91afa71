// SPDX-License-Identifier: Apache-2.0

// Submissions that no leader accepts now: what is known about the leaders, and
// which submissions wait in this instance.

#include <algorithm>
#include <utility>

#include "doorwood/ingress.h"

namespace doorwood {
namespace {

// A leader that accepts jobs answers a probe within this time.
constexpr Millis kProbeAnswerTime{50};
constexpr size_t kMaxUnknownOutcomes = 2000;

Millis Age(Instant now, Instant time) {
  return std::chrono::duration_cast<Millis>(now - time);
}

}  // namespace

// --- Signs of leaders ---

void Ingress::ObserveLeads() {
  const Instant now = executor_.Now();
  for (const auto& [cell, lead] : live_.leads()) {
    KnownCell& known = cells_[cell];
    if (known.seen_epoch != lead.epoch) {
      // A vacancy in which the store did not answer tells nothing about others.
      const bool took_over = known.vacant_since != Instant{};
      if (took_over &&
          known.vacant_since + options_.forecast.lease_ttl >= now) {
        forecast_.ObserveVacancy(Age(now, known.vacant_since));
      }
      known.seen_epoch = lead.epoch;
      known.seen_at = now;
      known.last_sign_at = now;
      known.vacant_since = Instant{};
      ProbeLeader(cell, lead);
    }
    if (LocalLeader(cell) != nullptr && known.serving_epoch != lead.epoch) {
      OnLeaderServes(cell, lead.epoch);
    }
  }
  for (auto& [cell, known] : cells_) {
    const bool vacated = known.seen_epoch != 0 &&
                         known.vacant_since == Instant{} &&
                         !live_.leads().contains(cell);
    if (vacated) {
      known.vacant_since = now;
    }
  }
}

void Ingress::OnLeaderServes(const std::string& cell, int64_t epoch) {
  KnownCell& known = cells_[cell];
  if (epoch != known.seen_epoch) {
    return;
  }
  const Instant now = executor_.Now();
  known.last_sign_at = now;
  known.lost_epoch = 0;
  if (known.serving_epoch != epoch) {
    // The first lead that this process sees may have been taken long before.
    if (known.serving_epoch != 0) {
      forecast_.ObserveReading(Age(now, known.seen_at));
    }
    known.serving_epoch = epoch;
  }
  if (!held_.empty()) {
    ScheduleCheck(Millis(0));
  }
}

void Ingress::OnLeaderFails(const std::string& cell,
                            int64_t epoch,
                            std::error_code error) {
  KnownCell& known = cells_[cell];
  if (epoch != known.seen_epoch) {
    return;
  }
  const Instant now = executor_.Now();
  const bool refused_connection =
      error == make_error_code(PeerErrc::kNotSent) ||
      error == make_error_code(PeerErrc::kRefused);
  const bool leads_no_more = error == make_error_code(CoreErrc::kNoOwner) &&
                             known.serving_epoch == epoch;
  if (refused_connection || leads_no_more) {
    known.lost_epoch = epoch;
    known.failed_at = now;
  }
  const bool answered =
      error.category() == make_error_code(CoreErrc::kNoOwner).category();
  if (answered && !leads_no_more) {
    known.last_sign_at = now;
  }
}

LeaderSigns Ingress::SignsOf(const std::string& cell) const {
  using Stage = LeaderSigns::Stage;
  const auto found = cells_.find(cell);
  const KnownCell known = found == cells_.end() ? KnownCell{} : found->second;
  const auto lead = live_.leads().find(cell);
  if (lead == live_.leads().end()) {
    return {Stage::kVacant, known.vacant_since};
  }
  if (LocalLeader(cell) != nullptr) {
    return {Stage::kServing, known.seen_at};
  }
  const int64_t epoch = lead->second.epoch;
  const bool is_own = lead->second.instance == live_.self().name;
  if (!is_own &&
      (known.lost_epoch == epoch || ReachableLead(cell) == nullptr)) {
    return {Stage::kLost, known.last_sign_at};
  }
  const bool serves = !is_own && known.serving_epoch == epoch;
  return {serves ? Stage::kServing : Stage::kReading, known.seen_at};
}

std::optional<Instant> Ingress::ServiceAt(Instant now) const {
  const bool store_responsive = !live_.IsStoreUnresponsive(now);
  std::optional<Instant> first;
  for (const auto& [cell, known] : cells_) {
    const auto at = forecast_.ServiceAt(SignsOf(cell), store_responsive, now);
    if (at && (!first || *at < *first)) {
      first = at;
    }
  }
  return first;
}

Seconds Ingress::time_to_retry() const {
  const Instant now = executor_.Now();
  const Instant at = ServiceAt(now).value_or(now);
  return std::max(Seconds(1), std::chrono::ceil<Seconds>(at - now));
}

bool Ingress::IsKnownNotToServe(const std::string& cell) const {
  const auto found = cells_.find(cell);
  if (options_.returns.max_held == 0 || found == cells_.end()) {
    return false;
  }
  const KnownCell& known = found->second;
  const Instant now = executor_.Now();
  switch (SignsOf(cell).stage) {
    case LeaderSigns::Stage::kReading:
      return known.probed_since != Instant{} &&
             now - known.probed_since >= kProbeAnswerTime;
    case LeaderSigns::Stage::kLost:
      return now - known.failed_at < options_.probe_interval;
    default:
      return false;
  }
}

void Ingress::ProbeLeader(const std::string& cell, const CellLead& lead) {
  KnownCell& known = cells_[cell];
  if (options_.returns.max_held == 0 || lead.instance == live_.self().name ||
      (known.probed_since != Instant{} && known.probed_epoch == lead.epoch)) {
    return;
  }
  known.probed_since = executor_.Now();
  known.probed_epoch = lead.epoch;
  peers_.AwaitAcceptance(
      lead, options_.probe_wait,
      [this, lead, cell, epoch = lead.epoch, sent = executor_.Now()](
          std::error_code error, const CellSummary& summary) {
        ReportCall(lead, sent, error);
        KnownCell& probed = cells_[cell];
        if (probed.probed_epoch != epoch) {
          return;
        }
        probed.probed_since = Instant{};
        if (error) {
          probed.failed_at = executor_.Now();
          OnLeaderFails(cell, epoch, error);
        } else if (probed.seen_epoch == epoch) {
          probed.polled_epoch = epoch;
          OnSummary(cell, summary);
          OnLeaderServes(cell, epoch);
        }
      });
}

void Ingress::ProbeLostLeaders() {
  const Instant now = executor_.Now();
  for (const auto& [cell, lead] : live_.leads()) {
    if (SignsOf(cell).stage != LeaderSigns::Stage::kServing &&
        now - cells_[cell].failed_at >= options_.probe_interval) {
      ProbeLeader(cell, lead);
    }
  }
}

// --- Refusing and holding ---

size_t Ingress::CountInstances() const {
  const auto taking =
      std::count_if(live_.instances().begin(), live_.instances().end(),
                    [](const auto& entry) { return !entry.second.leaving; });
  return std::max<size_t>(static_cast<size_t>(taking), 1);
}

ReturnQuestion Ingress::QuestionAbout(const Submission& submission) const {
  ReturnQuestion question;
  question.now = executor_.Now();
  question.deadline = submission.deadline;
  question.arrived_at = submission.arrived_at;
  question.held = held_.size();
  question.instances = CountInstances();
  question.may_hold = !stopping_;
  return question;
}

void Ingress::HoldOrRefuse(const SubmissionPtr& submission) {
  ReturnQuestion question = QuestionAbout(*submission);
  question.service_at = ServiceAt(question.now);
  ReturnDecision decision = returns_.Decide(question);
  if (decision.kind == ReturnDecision::Kind::kHold) {
    Hold(submission);
    return;
  }
  if (decision.kind == ReturnDecision::Kind::kForward) {
    // A leader has begun to accept jobs since the submission was sent.
    if (!submission->sent_again) {
      submission->sent_again = true;
      executor_.Post([this, submission] { Forward(submission); });
      return;
    }
    question.service_at.reset();
    decision = returns_.ScheduleReturn(question);
  }
  Refuse(*submission, CoreErrc::kNoOwner, decision);
}

void Ingress::RefuseByLeader(const Submission& submission,
                             std::error_code error) {
  Refuse(submission, error, returns_.ScheduleReturn(QuestionAbout(submission)));
}

void Ingress::Refuse(const Submission& submission,
                     std::error_code error,
                     const ReturnDecision& decision) {
  const Instant now = executor_.Now();
  const bool returns = decision.kind == ReturnDecision::Kind::kReturnLater;
  ++(returns ? return_counters_.told_to_return
             : return_counters_.refused_for_good);
  const int64_t second =
      std::chrono::floor<Seconds>(now.time_since_epoch()).count();
  if (const auto left_out = refusal_lines_.Allow(second)) {
    Json fields{
        {"job", submission.plan.id},
        {"error", error.message()},
        {"return_after_s", decision.retry_after.count()},
        {"held", held_.size()},
        {"store_silent_ms", Age(now, live_.last_store_answer_at()).count()},
        {"lines_left_out", *left_out}};
    if (submission.deadline) {
      fields["time_left_ms"] = Age(*submission.deadline, now).count();
    }
    if (const auto service_at = ServiceAt(now)) {
      fields["service_in_ms"] = Age(*service_at, now).count();
    }
    if (submission.was_held) {
      fields["waited_ms"] = Age(now, submission.arrived_at).count();
    }
    log_.Write("warn", "ingress", "job refused", fields);
  }
  // Without a leader nobody can tell whether an earlier call for the job was
  // accepted.
  if (error == make_error_code(CoreErrc::kNoOwner) &&
      MayBeAccepted(submission.plan.id)) {
    error = CoreErrc::kOutcomeUnknown;
  }
  submission.done({error, {}, decision.retry_after});
}

bool Ingress::MayBeAccepted(const std::string& job) const {
  return cell_of_job_.contains(job) || unknown_outcomes_.contains(job);
}

void Ingress::RememberUnknownOutcome(const std::string& job) {
  if (!unknown_outcomes_.insert(job).second) {
    return;
  }
  unknown_outcome_order_.push_back(job);
  if (unknown_outcome_order_.size() > kMaxUnknownOutcomes) {
    unknown_outcomes_.erase(unknown_outcome_order_.front());
    unknown_outcome_order_.pop_front();
  }
}

void Ingress::Hold(const SubmissionPtr& submission) {
  if (held_.empty()) {
    const Instant now = executor_.Now();
    Json fields = Json::object();
    if (const auto service_at = ServiceAt(now)) {
      fields["service_in_ms"] = Age(*service_at, now).count();
    }
    log_.Write("info", "ingress", "submissions wait for a leader", fields);
    ScheduleCheck(options_.hold_check_interval);
  }
  return_counters_.held += submission->was_held ? 0 : 1;
  submission->was_held = true;
  submission->sent_again = false;
  held_.emplace(*submission->deadline, submission);
}

Ingress::HeldSubmissions::iterator Ingress::EndHold(
    HeldSubmissions::iterator place) {
  return_counters_.longest_hold =
      std::max(return_counters_.longest_hold,
               Age(executor_.Now(), place->second->arrived_at));
  return held_.erase(place);
}

// --- Waiting submissions ---

void Ingress::ScheduleCheck(Millis delay) {
  if (check_timer_ != 0) {
    executor_.Cancel(check_timer_);
  }
  check_timer_ = executor_.Schedule(delay, [this] {
    check_timer_ = 0;
    CheckHeld();
  });
}

void Ingress::CheckHeld() {
  ObserveLeads();
  const Instant now = executor_.Now();
  const auto service_at = ServiceAt(now);
  const bool serving = service_at && *service_at <= now;
  RefuseHeldThatCannotWait(service_at);
  if (serving) {
    ReleaseHeld();
  } else {
    ProbeLostLeaders();
  }
  if (held_.empty()) {
    log_.Write("info", "ingress", "no submission waits for a leader any more",
               {{"held_total", return_counters_.held},
                {"released_total", return_counters_.released}});
    return;
  }
  ScheduleCheck(serving
                    ? std::min(options_.hold_check_interval,
                               std::max(Millis(1), Age(next_release_at_, now)))
                    : options_.hold_check_interval);
}

void Ingress::RefuseHeldThatCannotWait(std::optional<Instant> service_at) {
  std::vector<SubmissionPtr> refused;
  for (auto place = held_.begin(); place != held_.end();) {
    const Submission& submission = *place->second;
    ReturnQuestion question = QuestionAbout(submission);
    question.service_at = service_at;
    const bool gone = submission.is_gone && submission.is_gone();
    if (!gone && returns_.CanWait(question)) {
      ++place;
      continue;
    }
    refused.push_back(place->second);
    place = EndHold(place);
  }
  for (const SubmissionPtr& submission : refused) {
    ReturnQuestion question = QuestionAbout(*submission);
    question.service_at = service_at;
    Refuse(*submission, CoreErrc::kNoOwner, returns_.ScheduleReturn(question));
  }
}

void Ingress::ReleaseHeld() {
  const Instant now = executor_.Now();
  const Millis interval = returns_.release_interval(CountInstances());
  next_release_at_ = std::max(next_release_at_, now);
  while (!held_.empty() && next_release_at_ <= now) {
    const SubmissionPtr submission = held_.begin()->second;
    EndHold(held_.begin());
    next_release_at_ += interval;
    ++return_counters_.released;
    Forward(submission);
  }
}

void Ingress::OnQueueTable(const QueueTable& table) {
  std::vector<SubmissionPtr> dropped;
  for (auto place = held_.begin(); place != held_.end();) {
    if (table.FindByName(place->second->plan.queue) != nullptr) {
      ++place;
      continue;
    }
    dropped.push_back(place->second);
    place = EndHold(place);
  }
  for (const SubmissionPtr& submission : dropped) {
    Refuse(*submission, CoreErrc::kNotFound, {});
  }
}

void Ingress::StopHolding() {
  stopping_ = true;
  const Instant now = executor_.Now();
  const auto service_at = ServiceAt(now);
  while (!held_.empty()) {
    const SubmissionPtr submission = held_.begin()->second;
    EndHold(held_.begin());
    ReturnQuestion question = QuestionAbout(*submission);
    question.service_at = service_at;
    Refuse(*submission, CoreErrc::kNoOwner, returns_.ScheduleReturn(question));
  }
}

}  // namespace doorwood
