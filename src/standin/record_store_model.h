// SPDX-License-Identifier: Apache-2.0

/// \file
/// Model of a key-value store with conditional transactions, leases, and
/// history, without network or clock. Shared by the fakes and the stand-in.

#ifndef DOORWOOD_STANDIN_RECORD_STORE_MODEL_H_
#define DOORWOOD_STANDIN_RECORD_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/record_store.h"

namespace doorwood::standin {

/// Every error is a KvErrc.
class RecordStoreModel {
 public:
  /// Sets the time, in milliseconds of any one steady clock, and ends the
  /// leases that have expired.
  void Advance(int64_t now);

  std::error_code Get(const std::string& key, StoreItem* item) const;
  StoreItems List(const std::string& prefix) const;
  /// At most `max_items` items under `prefix` whose keys follow `after`.
  StoreItems ListPage(const std::string& prefix,
                      const std::string& after,
                      size_t max_items) const;
  /// Changes under `prefix` after revision `after`; KvErrc::kCompacted if that
  /// part of the history has been compacted.
  std::error_code ChangesAfter(const std::string& prefix,
                               int64_t after,
                               StoreItems* events) const;
  /// Applies the transaction if all expected revisions match and the leases of
  /// all puts exist. KvErrc::kConflict: a revision differs, and
  /// `commit->current` lists the expected keys that exist. KvErrc::kNotFound: a
  /// lease does not exist.
  std::error_code Commit(const StoreTransaction& transaction,
                         StoreCommit* commit);
  /// Grants a lease of `lifetime` milliseconds and returns its id.
  int64_t GrantLease(int64_t lifetime);
  /// Renews the lease for its full lifetime.
  std::error_code RenewLease(int64_t lease);
  /// Ends the lease and removes its keys.
  std::error_code RevokeLease(int64_t lease);

  /// Fault: discards the history up to the current revision.
  void Compact();
  /// Fault: removes the keys of a lease while the lease itself stays valid.
  void DropLeaseKeys(int64_t lease);

  int64_t revision() const { return revision_; }

 private:
  struct Lease {
    int64_t lifetime = 0;
    int64_t expires_at = 0;
  };

  void Put(const StorePut& put);
  void Remove(const std::string& key);
  void RemoveKeysOfLease(int64_t lease);

  int64_t now_ = 0;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
  int64_t compacted_revision_ = 0;
  std::map<std::string, StoreItem> items_;
  std::map<int64_t, Lease> leases_;
  std::vector<StoreItem> history_;
};

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_RECORD_STORE_MODEL_H_
