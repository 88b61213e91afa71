// SPDX-License-Identifier: Apache-2.0

/// \file
/// Up to which moment this process surely led a cell.
///
/// A lead is proved by its key alone. While the key of an epoch stands, nobody
/// else has led since it was written. That the store grants or renews a lease
/// proves nothing: the key may go with an earlier lease, or be taken away
/// without a word.

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
  /// The key is read where no record has shown it for so long. Records show it
  /// ten times a second under load, so this costs reads only on a calm day.
  Millis interval{400};
};

/// What the proof tells its leader, on the control thread.
class LeadProofListener {
 public:
  virtual ~LeadProofListener() = default;

  /// `stood_at` has moved on.
  virtual void OnLeadProved() = 0;
  /// The key of this epoch does not stand any more.
  virtual void OnLeadDisproved(std::string_view reason) = 0;
};

class LeadProof {
 public:
  LeadProof(Executor& executor,
            RecordStore& store,
            LeadProofListener& listener,
            const LeadProofOptions& options,
            std::string key);

  /// Begins anew with the epoch that was won, and reads its key.
  void Open(int64_t epoch);
  void Close();

  /// A call that was sent then has shown that the key stands.
  void NoteShown(Instant sent);
  /// Reads the key as soon as possible: something waits to be proved. A read
  /// that is under way began too early for it.
  void Demand();
  /// To be called a few times a second.
  void Tick();

  /// The latest moment at which the key is known to have stood; zero: none.
  Instant stood_at() const { return stood_at_; }

 private:
  void Read();
  void OnRead(Instant sent, std::error_code error, const StoreItem& item);

  Executor& executor_;
  RecordStore& store_;
  LeadProofListener& listener_;
  const LeadProofOptions options_;
  const std::string key_;

  /// Rises with each opening and closing; answers to earlier ones are dropped.
  uint64_t generation_ = 0;
  bool open_ = false;
  int64_t epoch_ = 0;
  Instant stood_at_{};
  bool reading_ = false;
  bool demanded_ = false;
};

}  // namespace doorwood

#endif  // DOORWOOD_LEAD_PROOF_H_
