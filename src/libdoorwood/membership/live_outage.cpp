// SPDX-License-Identifier: Apache-2.0

// Determines whether the store is unreachable for this instance only, for some
// instances or for all: which instances are queried, and what follows from
// their answers.

#include <algorithm>

#include "doorwood/live_directory.h"

namespace doorwood {

bool LiveDirectory::MayReturn(const MissingInstance& missing) const {
  return executor_.Now() - missing.since <= options_.missing_retention;
}

bool LiveDirectory::KnowsInstance(
    const std::function<bool(const LiveInstance&)>& predicate) const {
  return std::any_of(
             instances_.begin(), instances_.end(),
             [&](const auto& entry) { return predicate(entry.second); }) ||
         std::any_of(missing_instances_.begin(), missing_instances_.end(),
                     [&](const auto& entry) {
                       return MayReturn(entry.second) &&
                              predicate(entry.second.instance);
                     });
}

Instant LiveDirectory::EarliestAnswer(
    const std::map<std::string, Instant>& answers) const {
  Instant earliest = Instant::max();
  const auto include_answer = [&](const std::string& name) {
    // Every instance must answer for itself: the store may serve one and refuse
    // others near that one, and any that reaches the store may take a lead.
    const auto answer = answers.find(name);
    earliest = std::min(earliest,
                        answer == answers.end() ? Instant{} : answer->second);
  };
  for (const auto& [name, instance] : instances_) {
    if (name != self_.name) {
      include_answer(name);
    }
  }
  for (const auto& [name, missing] : missing_instances_) {
    if (MayReturn(missing)) {
      include_answer(name);
    }
  }
  return earliest == Instant::max() ? Instant{} : earliest;
}

// An instance that is not known was not asked.
Instant LiveDirectory::AnswersValidUntil(Instant sent_at) const {
  if (!is_complete_) {
    return Instant{};
  }
  const bool answer_too_recent =
      last_store_answer_at_ + options_.store_unresponsive_threshold > sent_at;
  return answer_too_recent ? Instant{} : sent_at + options_.answer_validity;
}

StatedOutage LiveDirectory::OutageStatements() const {
  const Instant asked = EarliestAnswer(not_reaching_store_at_);
  const Instant valid_until = AnswersValidUntil(asked);
  if (valid_until == Instant{}) {
    return {};
  }
  const bool one_forgets = KnowsInstance([this](const LiveInstance& instance) {
    return instance.name != self_.name && !instance.remembers_statements;
  });
  return {asked, valid_until, !one_forgets};
}

Instant LiveDirectory::UnrecordedStartsAgreedUntil() const {
  return AnswersValidUntil(EarliestAnswer(agreed_at_));
}

const LiveInstance* LiveDirectory::FindInstanceReachingStore() const {
  const Instant now = executor_.Now();
  if (failing_since_ == Instant{} ||
      now - last_store_answer_at_ < options_.isolation_threshold) {
    return nullptr;
  }
  const LiveInstance* best = nullptr;
  for (const auto& [name, instance] : instances_) {
    const auto answer = reaching_store_at_.find(name);
    const bool reaches_store =
        answer != reaching_store_at_.end() &&
        now - answer->second < options_.store_unresponsive_threshold;
    if (reaches_store && !instance.leaving &&
        (best == nullptr || instance.cpu_share > best->cpu_share)) {
      best = &instance;
    }
  }
  return best;
}

void LiveDirectory::QueryOthers() {
  if (stopped_) {
    return;
  }
  executor_.Schedule(options_.query_interval, [this] { QueryOthers(); });
  const Instant now = executor_.Now();
  RemoveOneStaleKnownInstanceKey();
  // Only a leader acts on the answers. If every instance asked all others, the
  // messages of an outage would grow with the square of their number.
  const bool is_store_silent =
      failing_since_ != Instant{} ||
      now - last_store_answer_at_ >= options_.store_unresponsive_threshold;
  if (CountOwnLeads() == 0 || !is_store_silent) {
    return;
  }
  for (const auto& [name, instance] : instances_) {
    if (name != self_.name) {
      QueryInstance(instance);
    }
  }
  for (const auto& [name, missing] : missing_instances_) {
    if (MayReturn(missing)) {
      QueryInstance(missing.instance);
    }
  }
}

// Forgets the missing instances that may no longer return and have no
// `KnownInstanceKey`. Then tries to remove the `KnownInstanceKey` of one
// instance whose own key has been missing for longer than `missing_retention`.
// Only an instance that leads a cell and reaches the store sends the removal.
void LiveDirectory::RemoveOneStaleKnownInstanceKey() {
  std::erase_if(missing_instances_, [this](const auto& entry) {
    return !MayReturn(entry.second) && !known_instances_.contains(entry.first);
  });
  if (known_instance_removal_pending_ || CountOwnLeads() == 0 ||
      IsStoreUnresponsive(executor_.Now())) {
    return;
  }
  const auto old = std::find_if(
      missing_instances_.begin(), missing_instances_.end(),
      [this](const auto& entry) { return !MayReturn(entry.second); });
  if (old == missing_instances_.end()) {
    return;
  }
  known_instance_removal_pending_ = true;
  StoreTransaction transaction;
  // If the instance has registered since, its key has a newer revision and the
  // transaction fails.
  transaction.expected.push_back(
      {KnownInstanceKey(old->first), known_instances_.at(old->first)});
  transaction.removes.push_back(KnownInstanceKey(old->first));
  store_.Commit(transaction, [this, name = old->first](std::error_code error,
                                                       const StoreCommit&) {
    known_instance_removal_pending_ = false;
    log_.Write("info", "live",
               "tried to remove the known-instance key of an instance "
               "unregistered for longer than missing_retention",
               {{"instance", name}, {"forgotten", !error}});
    if (!error) {
      known_instances_.erase(name);
    }
  });
}

void LiveDirectory::CallLeader(const CellLead& lead,
                               std::function<void(std::error_code)> done) {
  LiveInstance leader;
  leader.name = lead.instance;
  leader.address = lead.address;
  store_answer_port_.QueryTimeSinceStoreAnswer(
      leader,
      [done = std::move(done)](std::error_code error, Millis) { done(error); });
}

void LiveDirectory::RequestAgreement(const LiveInstance& instance) {
  const Instant sent = executor_.Now();
  store_answer_port_.RequestUnrecordedStartsAgreement(
      instance, [this, sent, name = instance.name](std::error_code error) {
        if (error) {
          agreed_at_.erase(name);
        } else {
          agreed_at_[name] = sent;
        }
      });
}

void LiveDirectory::QueryInstance(const LiveInstance& instance) {
  if (needs_agreement_ && IsStoreUnresponsive(executor_.Now())) {
    RequestAgreement(instance);
  }
  ++queries_;
  const Instant sent = executor_.Now();
  store_answer_port_.QueryTimeSinceStoreAnswer(
      instance,
      [this, sent, name = instance.name](std::error_code error, Millis age) {
        if (error) {
          return;
        }
        const Instant now = executor_.Now();
        if (failing_since_ != Instant{} &&
            now - age > failing_since_ + options_.store_answer_margin) {
          reaching_store_at_[name] = now;
        } else {
          reaching_store_at_.erase(name);
        }
        // The answer is valid from the time of the query, because it may have
        // been queued while this process was paused.
        if (age >= options_.store_unresponsive_threshold) {
          not_reaching_store_at_[name] = sent;
        } else {
          not_reaching_store_at_.erase(name);
        }
      });
}

}  // namespace doorwood
