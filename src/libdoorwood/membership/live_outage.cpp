// SPDX-License-Identifier: Apache-2.0

// Whether the store is away for this instance only, for some, or for all: what
// the others say when they are asked, and who must be asked.

#include <algorithm>

#include "doorwood/live_directory.h"

namespace doorwood {

bool LiveDirectory::Counts(const GoneInstance& gone) const {
  return executor_.Now() - gone.since <= options_.gone_counts;
}

Instant LiveDirectory::EarliestWord(
    const std::map<std::string, Instant>& words) const {
  Instant earliest = Instant::max();
  const auto take_word = [&](const std::string& name) {
    // Each one for itself: the store may serve some and refuse their
    // neighbours, and any one that hears it may take the lead.
    const auto told = words.find(name);
    earliest =
        std::min(earliest, told == words.end() ? Instant{} : told->second);
  };
  for (const auto& [name, instance] : instances_) {
    if (name != self_.name) {
      take_word(name);
    }
  }
  for (const auto& [name, gone] : gone_) {
    if (Counts(gone)) {
      take_word(name);
    }
  }
  return earliest == Instant::max() ? Instant{} : earliest;
}

Instant LiveDirectory::WordsUntil(Instant asked) const {
  const bool heard_since = store_heard_at_ + options_.silence_to_ask > asked;
  return heard_since ? Instant{} : asked + options_.answer_counts;
}

Instant LiveDirectory::OutageUntil() const {
  return WordsUntil(EarliestWord(deaf_at_));
}

Instant LiveDirectory::AgreedUntil() const {
  return WordsUntil(EarliestWord(agreed_at_));
}

const LiveInstance* LiveDirectory::FindInstanceThatHears() const {
  const Instant now = executor_.Now();
  if (failing_since_ == Instant{} ||
      now - store_heard_at_ < options_.turned_away_after) {
    return nullptr;
  }
  const LiveInstance* best = nullptr;
  for (const auto& [name, instance] : instances_) {
    const auto told = hears_at_.find(name);
    const bool hears =
        told != hears_at_.end() && now - told->second < options_.silence_to_ask;
    if (hears && !instance.leaving &&
        (best == nullptr || instance.cpu_share > best->cpu_share)) {
      best = &instance;
    }
  }
  return best;
}

void LiveDirectory::AskOthers() {
  if (stopped_) {
    return;
  }
  executor_.Schedule(options_.ask_interval, [this] { AskOthers(); });
  const Instant now = executor_.Now();
  ForgetOneSeen();
  if (failing_since_ == Instant{} &&
      now - store_heard_at_ < options_.silence_to_ask) {
    return;
  }
  for (const auto& [name, instance] : instances_) {
    if (name != self_.name) {
      Ask(instance);
    }
  }
  for (const auto& [name, gone] : gone_) {
    if (Counts(gone)) {
      Ask(gone.instance);
    }
  }
}

// Of an instance that is gone for good; done by whoever leads.
void LiveDirectory::ForgetOneSeen() {
  std::erase_if(gone_, [this](const auto& entry) {
    return !Counts(entry.second) && !seen_.contains(entry.first);
  });
  if (forgetting_ || CountOwnLeads() == 0 || IsDeaf(executor_.Now())) {
    return;
  }
  const auto old =
      std::find_if(gone_.begin(), gone_.end(),
                   [this](const auto& entry) { return !Counts(entry.second); });
  if (old == gone_.end()) {
    return;
  }
  forgetting_ = true;
  StoreTransaction transaction;
  // One that has registered since has a newer key.
  transaction.expected.push_back({SeenKey(old->first), seen_.at(old->first)});
  transaction.removes.push_back(SeenKey(old->first));
  store_.Commit(transaction, [this, name = old->first](std::error_code error,
                                                       const StoreCommit&) {
    forgetting_ = false;
    log_.Write("info", "live", "an instance is gone for good",
               {{"instance", name}, {"forgotten", !error}});
    if (!error) {
      seen_.erase(name);
    }
  });
}

void LiveDirectory::AskToAgree(const LiveInstance& instance) {
  const Instant sent = executor_.Now();
  hearing_.AskToAgree(
      instance, [this, sent, name = instance.name](std::error_code error) {
        if (error) {
          agreed_at_.erase(name);
        } else {
          agreed_at_[name] = sent;
        }
      });
}

void LiveDirectory::Ask(const LiveInstance& instance) {
  if (needs_agreement_ && IsDeaf(executor_.Now())) {
    AskToAgree(instance);
  }
  const Instant sent = executor_.Now();
  hearing_.Ask(instance, [this, sent, name = instance.name](
                             std::error_code error, Millis age) {
    if (error) {
      return;
    }
    const Instant now = executor_.Now();
    if (failing_since_ != Instant{} &&
        now - age > failing_since_ + options_.hears_margin) {
      hears_at_[name] = now;
    } else {
      hears_at_.erase(name);
    }
    // As of the question: an answer may have waited while this
    // process stood still.
    if (age >= options_.silence_to_ask) {
      deaf_at_[name] = sent;
    } else {
      deaf_at_.erase(name);
    }
  });
}

}  // namespace doorwood
