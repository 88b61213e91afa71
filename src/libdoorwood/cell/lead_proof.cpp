// SPDX-License-Identifier: Apache-2.0

#include "doorwood/lead_proof.h"

#include <utility>

namespace doorwood {

LeadProof::LeadProof(Executor& executor,
                     RecordStore& store,
                     LeadProofListener& listener,
                     const LeadProofOptions& options,
                     std::string key)
    : executor_(executor),
      store_(store),
      listener_(listener),
      options_(options),
      key_(std::move(key)) {}

void LeadProof::Open(int64_t epoch) {
  ++generation_;
  open_ = true;
  epoch_ = epoch;
  confirmed_at_ = Instant{};
  reading_ = false;
  read_requested_ = false;
  Read();
}

void LeadProof::Close() {
  ++generation_;
  open_ = false;
  confirmed_at_ = Instant{};
}

void LeadProof::NoteConfirmed(Instant sent) {
  if (open_ && sent > confirmed_at_) {
    confirmed_at_ = sent;
    listener_.OnLeadProved();
  }
}

void LeadProof::RequestRead() {
  read_requested_ = true;
  if (open_ && !reading_) {
    Read();
  }
}

void LeadProof::Tick() {
  const Instant now = executor_.Now();
  const bool may_read =
      !reading_ || now - read_sent_ >= options_.unanswered_interval;
  if (open_ && may_read && now - confirmed_at_ >= options_.interval) {
    Read();
  }
}

void LeadProof::Read() {
  reading_ = true;
  read_requested_ = false;
  const Instant sent = executor_.Now();
  read_sent_ = sent;
  store_.Get(key_, [this, sent, generation = generation_](
                       std::error_code error, const StoreItem& item) {
    if (generation == generation_) {
      OnRead(sent, error, item);
    }
  });
}

void LeadProof::OnRead(Instant sent,
                       std::error_code error,
                       const StoreItem& item) {
  reading_ = reading_ && sent != read_sent_;
  if (error == make_error_code(KvErrc::kNotFound)) {
    listener_.OnLeadDisproved("the lead key no longer exists");
    return;
  }
  if (!error && item.created != epoch_) {
    listener_.OnLeadDisproved(
        "the lead key was created again for another epoch");
    return;
  }
  // After a failed read, `Tick` reads again once the key has not been confirmed
  // for `LeadProofOptions::interval`.
  if (!error) {
    const uint64_t generation = generation_;
    NoteConfirmed(sent);
    if (generation == generation_ && read_requested_ && !reading_) {
      Read();
    }
  }
}

}  // namespace doorwood
