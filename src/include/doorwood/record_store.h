// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to a key-value store with conditional transactions over many keys.
/// Everything of doorwood that must last lies in it.

#ifndef DOORWOOD_RECORD_STORE_H_
#define DOORWOOD_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/types.h"

namespace doorwood {

/// One key. `revision` is the store-wide number of its last change, `created`
/// that of its creation; both rise over the store's whole life.
struct StoreItem {
  std::string key;
  std::string value;
  int64_t revision = 0;
  int64_t created = 0;
  /// The key goes with this lease; 0: it stays.
  int64_t lease = 0;
  /// Only in the events of a watch: the key is no longer there.
  bool gone = false;
};

/// A transaction holds only if `key` stands at `revision`; 0: is absent.
struct ExpectedRevision {
  std::string key;
  int64_t revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  int64_t lease = 0;
};

/// Takes effect whole or not at all.
struct StoreTransaction {
  std::vector<ExpectedRevision> expected;
  std::vector<StorePut> puts;
  std::vector<std::string> removes;

  size_t entries() const {
    return expected.size() + puts.size() + removes.size();
  }
};

/// Most entries of one transaction (the platform's own bound).
constexpr size_t kMostTransactionEntries = 32;

/// Outcome of a transaction.
struct StoreCommit {
  /// The revision at which it took effect.
  int64_t revision = 0;
  /// After KvErrc::kConflict: what stands now under the expected keys.
  std::vector<StoreItem> current;
};

struct StoreItems {
  std::vector<StoreItem> items;
  /// The store's revision at the time of the answer.
  int64_t at = 0;
};

/// Calls finish on the control thread, exactly once, with a KvErrc on
/// failure. After KvErrc::kUnknown a transaction may have taken effect, or may
/// still do so while its expectations hold.
class RecordStore {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~RecordStore() = default;

  /// KvErrc::kNotFound if there is no such key. Linearizable.
  virtual void Get(const std::string& key, Callback<StoreItem> done) = 0;
  /// Every item under `prefix`. Linearizable a page, not as a whole.
  virtual void List(const std::string& prefix, Callback<StoreItems> done) = 0;
  /// Waits up to `wait` for changes under `prefix` after revision `after`.
  /// KvErrc::kCompacted: list again.
  virtual void Watch(const std::string& prefix,
                     int64_t after,
                     Millis wait,
                     Callback<StoreItems> done) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<StoreCommit> done) = 0;
  /// The new lease's id.
  virtual void GrantLease(Millis lifetime, Callback<int64_t> done) = 0;
  virtual void KeepLease(int64_t lease, Callback<int64_t> done) = 0;
  virtual void EndLease(int64_t lease, Callback<int64_t> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_RECORD_STORE_H_
