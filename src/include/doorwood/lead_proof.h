// SPDX-License-Identifier: Apache-2.0

/// \file
/// The latest time at which this process provably led a cell.
///
/// Only the lead key proves a lead. While the key of an epoch exists, no other
/// instance has led since it was written. A granted or renewed lease proves
/// nothing: the key may have been attached to an earlier lease, or may have
/// been removed without notice.

#ifndef DOORWOOD_LEAD_PROOF_H_
#define DOORWOOD_LEAD_PROOF_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "doorwood/executor.h"
#include "doorwood/record_store.h"

namespace doorwood {

struct LeadProofOptions {
  /// `Tick` reads the key if nothing has confirmed it for this long. Under
  /// load, committed records confirm it ten times a second, so these reads are
  /// only needed at low load.
  Millis interval{600};
  /// `Tick` reads the key again if a read was not answered for this long: after
  /// an outage of the store, a read that was sent during it may still be
  /// waiting for an answer that never comes.
  Millis unanswered_interval{300};
};

/// Receives the results of `LeadProof`, on the control thread.
class LeadProofListener {
 public:
  virtual ~LeadProofListener() = default;

  /// Called when `confirmed_at` has increased, because of a read of the key or
  /// a commit of the journal. The leader reports such commits (see
  /// `JournalOwner::OnLeadConfirmed`) with `NoteConfirmed`.
  virtual void OnLeadProved() = 0;
  /// Called when a read shows that the key of this epoch no longer exists.
  virtual void OnLeadDisproved(std::string_view reason) = 0;
};

/// Confirms a cell's lead by its key in the store.
class LeadProof {
 public:
  LeadProof(Executor& executor,
            RecordStore& store,
            LeadProofListener& listener,
            const LeadProofOptions& options,
            std::string key);

  /// Starts over with a newly won epoch, and reads its key.
  void Open(int64_t epoch);
  void Close();

  /// Notes that a call to the store, sent at `sent`, found the key in place.
  void NoteConfirmed(Instant sent);
  /// Reads the key as soon as possible, because a decision depends on the
  /// proof. A read already under way proves the lead only up to an earlier
  /// time, so another one follows once that read succeeds. If that read
  /// fails, `Tick` sends the next one when it is due.
  void RequestRead();
  /// Reads the key if it was last confirmed `LeadProofOptions::interval` ago or
  /// earlier and no read is under way (see `unanswered_interval`). To be called
  /// several times a second.
  void Tick();

  /// When the latest call to the store that found the key in place was sent.
  /// Zero: no call since `Open` has found it, or the proof is closed.
  Instant confirmed_at() const { return confirmed_at_; }

 private:
  void Read();
  void OnRead(Instant sent, std::error_code error, const StoreItem& item);

  Executor& executor_;
  RecordStore& store_;
  LeadProofListener& listener_;
  const LeadProofOptions options_;
  const std::string key_;

  /// Increases with each `Open` and `Close`. Answers to earlier reads are
  /// dropped.
  uint64_t generation_ = 0;
  bool open_ = false;
  int64_t epoch_ = 0;
  Instant confirmed_at_{};
  /// The newest read is under way; it was sent at `read_sent_`.
  bool reading_ = false;
  Instant read_sent_{};
  bool read_requested_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_LEAD_PROOF_H_
