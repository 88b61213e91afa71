// SPDX-License-Identifier: Apache-2.0

#include "doorwood/worker_reliability.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace doorwood {
namespace {

// Fewer failures than this, on one worker within the evidence's lifetime, also
// come by chance where all runs of an idle worker fail.
constexpr double kMinFailures = 3;

}  // namespace

void RunEvidence::Decay(double factor) {
  runs *= factor;
  failures *= factor;
  timed *= factor;
  log_ratio *= factor;
  log_ratio_squared *= factor;
}

void RunEvidence::Add(const RunEvidence& other) {
  runs += other.runs;
  failures += other.failures;
  timed += other.timed;
  log_ratio += other.log_ratio;
  log_ratio_squared += other.log_ratio_squared;
}

double LowerRateBound(double hits, double count, double deviations) {
  if (count <= 0) {
    return 0;
  }
  const double rate = std::clamp(hits / count, 0.0, 1.0);
  const double square = deviations * deviations;
  const double centre = rate + square / (2 * count);
  const double spread = deviations * std::sqrt(rate * (1 - rate) / count +
                                               square / (4 * count * count));
  return std::max(0.0, (centre - spread) / (1 + square / count));
}

double WorkerReliability::Remaining(Instant::duration age) const {
  const std::chrono::duration<double> lifetime = options_.evidence_lifetime;
  return std::exp(-std::chrono::duration<double>(age) / lifetime);
}

WorkerReliability::Record& WorkerReliability::RecordAt(
    const std::string& worker,
    Instant now) {
  Record& record = records_[worker];
  if (record.updated != Instant{}) {
    record.evidence.Decay(Remaining(now - record.updated));
  }
  record.updated = now;
  return record;
}

void WorkerReliability::OnDone(const std::string& worker,
                               const std::string& task,
                               Instant now) {
  failed_tasks_.erase(task);
  RecordAt(worker, now).evidence.runs += 1;
}

void WorkerReliability::OnFailed(const std::string& worker,
                                 const std::string& task,
                                 Instant now) {
  const auto earlier = failed_tasks_.find(task);
  if (earlier == failed_tasks_.end()) {
    RunEvidence& evidence = RecordAt(worker, now).evidence;
    evidence.runs += 1;
    evidence.failures += 1;
    RememberFailedTask(task, {worker, now});
    return;
  }
  const FailedTask& first = earlier->second;
  if (first.worker.empty() || first.worker == worker) {
    return;
  }
  const auto blamed = records_.find(first.worker);
  if (blamed != records_.end()) {
    RunEvidence& evidence = RecordAt(first.worker, now).evidence;
    const double left = Remaining(now - first.at);
    evidence.runs = std::max(0.0, evidence.runs - left);
    evidence.failures = std::max(0.0, evidence.failures - left);
  }
  earlier->second.worker.clear();
}

void WorkerReliability::RememberFailedTask(const std::string& task,
                                           FailedTask failed) {
  if (failed_tasks_.size() >= options_.max_failed_tasks) {
    failed_tasks_.erase(std::min_element(failed_tasks_.begin(),
                                         failed_tasks_.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.at < b.second.at;
                                         }));
  }
  failed_tasks_.emplace(task, std::move(failed));
}

void WorkerReliability::OnRunTime(const std::string& worker,
                                  Millis expected,
                                  Millis taken,
                                  Instant now) {
  if (expected <= Millis(0) || taken <= Millis(0)) {
    return;
  }
  const double ratio = std::log(static_cast<double>(taken.count()) /
                                static_cast<double>(expected.count()));
  RunEvidence& evidence = RecordAt(worker, now).evidence;
  evidence.timed += 1;
  evidence.log_ratio += ratio;
  evidence.log_ratio_squared += ratio * ratio;
}

WorkerReliability::Rating WorkerReliability::Rate(
    const RunEvidence& evidence,
    const RunEvidence& service) const {
  Rating rating;
  rating.failure_rate =
      LowerRateBound(evidence.failures, evidence.runs, options_.confidence);
  const double other_runs = service.runs - evidence.runs;
  const double others_rate =
      other_runs > 0 ? (service.failures - evidence.failures) / other_runs : 0;
  const double rate_limit = std::max(options_.min_failure_rate,
                                     options_.min_rate_factor * others_rate);
  rating.severity = std::min(rating.failure_rate / rate_limit,
                             evidence.failures / kMinFailures);
  if (evidence.timed > 0 && service.timed > evidence.timed) {
    const double others = service.timed - evidence.timed;
    const double mean = (service.log_ratio - evidence.log_ratio) / others;
    const double variance = std::max(
        0.0, (service.log_ratio_squared - evidence.log_ratio_squared) / others -
                 mean * mean);
    const double excess =
        evidence.log_ratio / evidence.timed - mean -
        options_.confidence * std::sqrt(variance / evidence.timed);
    rating.slowdown = std::exp(excess);
    rating.severity =
        std::max(rating.severity, excess / std::log(options_.min_slowdown));
  }
  return rating;
}

std::vector<SetAsideChange> WorkerReliability::Update(
    std::span<const ServiceWorker> workers,
    Instant now) {
  struct Service {
    RunEvidence evidence;
    size_t workers = 0;
  };
  struct Candidate {
    std::string_view service;
    Rating rating;
  };
  std::map<std::string_view, Service> services;
  std::map<std::string_view, Candidate> candidates;
  std::vector<SetAsideChange> changes;
  if (options_.max_set_aside_share <= 0) {
    return changes;
  }
  for (const ServiceWorker& worker : workers) {
    Service& service = services[worker.service];
    ++service.workers;
    const auto found = records_.find(worker.worker);
    if (found != records_.end()) {
      service.evidence.Add(RecordAt(found->first, now).evidence);
      candidates[found->first].service = worker.service;
    }
  }
  std::vector<std::string_view> worst_first;
  for (auto& [worker, candidate] : candidates) {
    const Record& record = records_.find(worker)->second;
    candidate.rating =
        Rate(record.evidence, services.at(candidate.service).evidence);
    const double limit = record.set_aside ? options_.return_share : 1.0;
    if (candidate.rating.severity >= limit) {
      worst_first.push_back(worker);
    }
  }
  std::stable_sort(worst_first.begin(), worst_first.end(),
                   [&](std::string_view a, std::string_view b) {
                     return candidates.at(a).rating.severity >
                            candidates.at(b).rating.severity;
                   });
  std::map<std::string_view, size_t> chosen_of_service;
  std::map<std::string_view, bool> chosen;
  for (const std::string_view worker : worst_first) {
    const std::string_view service = candidates.at(worker).service;
    const auto most =
        static_cast<size_t>(options_.max_set_aside_share *
                            static_cast<double>(services.at(service).workers));
    chosen[worker] = chosen_of_service[service] < most;
    ++chosen_of_service[service];
  }
  set_aside_count_ = 0;
  for (auto& [worker, record] : records_) {
    const auto candidate = candidates.find(worker);
    const auto found = chosen.find(worker);
    const bool set_aside = candidate == candidates.end()
                               ? record.set_aside
                               : found != chosen.end() && found->second;
    set_aside_count_ += set_aside ? 1 : 0;
    if (set_aside == record.set_aside) {
      continue;
    }
    record.set_aside = set_aside;
    const Rating& rating = candidate->second.rating;
    const RunEvidence& service =
        services.at(candidate->second.service).evidence;
    changes.push_back({worker, set_aside, record.evidence, rating.failure_rate,
                       rating.slowdown,
                       service.runs > 0 ? service.failures / service.runs : 0});
  }
  return changes;
}

bool WorkerReliability::IsSetAside(std::string_view worker) const {
  const auto found = records_.find(worker);
  return found != records_.end() && found->second.set_aside;
}

bool WorkerReliability::AllowsStart(std::string_view worker,
                                    size_t runs) const {
  return !IsSetAside(worker) ||
         runs < static_cast<size_t>(options_.max_runs_set_aside);
}

const RunEvidence* WorkerReliability::EvidenceToRecord(
    std::string_view worker) const {
  const auto found = records_.find(worker);
  return found != records_.end() && found->second.set_aside
             ? &found->second.evidence
             : nullptr;
}

void WorkerReliability::Restore(const std::string& worker,
                                const RunEvidence& evidence,
                                Instant now) {
  if (options_.max_set_aside_share > 0) {
    records_[worker] = {evidence, now, /*set_aside=*/true};
  }
}

void WorkerReliability::RemoveWorker(const std::string& worker) {
  records_.erase(worker);
}

void WorkerReliability::Clear() {
  records_.clear();
  failed_tasks_.clear();
  set_aside_count_ = 0;
}

}  // namespace doorwood
