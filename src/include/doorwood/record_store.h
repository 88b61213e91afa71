// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to a key-value store with conditional transactions over several keys.
/// It holds all persistent data of doorwood.

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
/// that of its creation; both increase over the whole lifetime of the store.
struct StoreItem {
  std::string key;
  std::string value;
  int64_t revision = 0;
  int64_t created = 0;
  /// The key is removed when this lease ends; 0: it has no lease.
  int64_t lease = 0;
  /// Set only in events of a watch: the key was removed.
  bool deleted = false;
  /// Set only by `RecordStore::Get`: the store's revision at the time of the
  /// answer; 0: not stated.
  int64_t store_revision = 0;
};

/// Condition of a transaction: `key` is at `revision`; 0: `key` does not exist.
struct ExpectedRevision {
  std::string key;
  int64_t revision = 0;
};

struct StorePut {
  std::string key;
  std::string value;
  int64_t lease = 0;
};

/// Takes effect completely if all `expected` conditions hold, otherwise not at
/// all.
struct StoreTransaction {
  std::vector<ExpectedRevision> expected;
  std::vector<StorePut> puts;
  std::vector<std::string> removes;

  size_t entries() const {
    return expected.size() + puts.size() + removes.size();
  }
};

/// Maximum number of entries of one transaction (a limit of the platform).
constexpr size_t kMaxTransactionEntries = 32;

/// Outcome of a transaction.
struct StoreCommit {
  /// The revision at which it took effect.
  int64_t revision = 0;
  /// After KvErrc::kConflict: the current items of the expected keys.
  std::vector<StoreItem> current;
};

struct StoreItems {
  std::vector<StoreItem> items;
  /// The store's revision at the time of the answer.
  int64_t revision = 0;
  /// Set only by `RecordStore::ListPage`: further items follow the last one.
  bool more = false;
};

/// Calls complete on the control thread, exactly once, with a KvErrc on
/// failure. After KvErrc::kUnknown a transaction may have taken effect, or may
/// still do so while its conditions hold.
class RecordStore {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~RecordStore() = default;

  /// Fails with KvErrc::kNotFound if the key does not exist. Linearizable.
  virtual void Get(const std::string& key, Callback<StoreItem> done) = 0;
  /// Returns a revision that the store has reached, from an inexpensive read of
  /// `key`; it may be seconds old. Fails with KvErrc::kNotFound if the key does
  /// not exist.
  virtual void ReadRevision(const std::string& key, Callback<int64_t> done) = 0;
  /// Returns all items under `prefix`, read in pages. Each page is
  /// linearizable, the list as a whole is not.
  virtual void List(const std::string& prefix, Callback<StoreItems> done) = 0;
  /// Returns one page of the items under `prefix`, by ascending key: those
  /// after the key `after`, or the first ones if it is empty. A page that is
  /// not the last has at least one item.
  virtual void ListPage(const std::string& prefix,
                        const std::string& after,
                        Callback<StoreItems> done) = 0;
  /// Waits up to `wait` for changes under `prefix` after revision `after`.
  /// After KvErrc::kCompacted the caller has to list again.
  virtual void Watch(const std::string& prefix,
                     int64_t after,
                     Millis wait,
                     Callback<StoreItems> done) = 0;
  virtual void Commit(const StoreTransaction& transaction,
                      Callback<StoreCommit> done) = 0;
  /// Returns the id of the new lease.
  virtual void GrantLease(Millis lifetime, Callback<int64_t> done) = 0;
  /// The values returned by `RenewLease` and `RevokeLease` have no meaning.
  virtual void RenewLease(int64_t lease, Callback<int64_t> done) = 0;
  virtual void RevokeLease(int64_t lease, Callback<int64_t> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_RECORD_STORE_H_
