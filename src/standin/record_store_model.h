// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a store with conditional transactions, leases and history does, as
/// pure state. Shared by the fakes and by the stand-in.

#ifndef DOORWOOD_STANDIN_RECORD_STORE_MODEL_H_
#define DOORWOOD_STANDIN_RECORD_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/record_store.h"

namespace doorwood::standin {

class RecordStoreModel {
 public:
  /// Time in milliseconds of any steady clock; leases lapse as it goes on.
  void Advance(int64_t now);

  std::error_code Get(const std::string& key, StoreItem* item) const;
  StoreItems List(const std::string& prefix) const;
  /// Changes under `prefix` after revision `after`; KvErrc::kCompacted if they
  /// are no longer known.
  std::error_code Changes(const std::string& prefix,
                          int64_t after,
                          StoreItems* events) const;
  std::error_code Commit(const StoreTransaction& transaction,
                         StoreCommit* commit);
  int64_t Grant(int64_t lifetime);
  std::error_code Keep(int64_t lease);
  std::error_code End(int64_t lease);

  /// Faults: forget the history; take a lease's keys away without a word.
  void Compact();
  void Revoke(int64_t lease);

  int64_t revision() const { return revision_; }

 private:
  struct Lease {
    int64_t lifetime = 0;
    int64_t until = 0;
  };

  void Put(const StorePut& put);
  void Remove(const std::string& key);
  void DropKeysOf(int64_t lease);

  int64_t now_ = 0;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
  int64_t compacted_ = 0;
  std::map<std::string, StoreItem> items_;
  std::map<int64_t, Lease> leases_;
  std::vector<StoreItem> history_;
};

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_RECORD_STORE_MODEL_H_
