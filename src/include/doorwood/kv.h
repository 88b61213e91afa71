// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface to the platform's key-value store.

#ifndef DOORWOOD_KV_H_
#define DOORWOOD_KV_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/types.h"

namespace doorwood {

/// A key with its value. `version` is the store-wide revision of the last
/// write to the key; 0 means that the key does not exist.
struct KvEntry {
  std::string key;
  std::string value;
  int64_t version = 0;
};

/// Priority of a call that waits because this instance has used up its share of
/// the store's call rate. Lower numbers go first.
enum class KvPriority {
  kLease = 0,
  kIntent,
  kConfig,
  kAppend,
  kSnapshot,
};

/// A write that takes effect only if the key's version is
/// `expected_version` (0: only if the key does not exist).
struct KvWrite {
  std::string key;
  std::string value;
  int64_t expected_version = 0;
  /// The key is removed when this lease expires; 0: the key has no lease.
  int64_t lease = 0;
  KvPriority priority = KvPriority::kAppend;
};

/// The callback of each call runs exactly once, on the control thread, with a
/// KvErrc on failure. After KvErrc::kUnknown the caller must read the key to
/// find out whether the change took effect.
class KvStore {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~KvStore() = default;

  /// Yields the entry of `key`; KvErrc::kNotFound if there is none.
  virtual void Read(const std::string& key, Callback<KvEntry> done) = 0;
  /// All entries whose key starts with `prefix`, in key order.
  virtual void List(const std::string& prefix,
                    Callback<std::vector<KvEntry>> done) = 0;
  /// Writes a key; yields its new version.
  virtual void Write(const KvWrite& write, Callback<int64_t> done) = 0;
  /// Removes a key if its version is `expected_version`; -1: any version.
  virtual void Remove(const std::string& key,
                      int64_t expected_version,
                      Callback<int64_t> done) = 0;
  /// Creates a lease that expires `lifetime` after its last renewal; yields its
  /// id.
  virtual void GrantLease(Millis lifetime, Callback<int64_t> done) = 0;
  virtual void RenewLease(int64_t lease, Callback<int64_t> done) = 0;
  /// Waits until a key under `prefix` has a version above `after`, or until
  /// the store ends the wait; then yields all entries under the prefix.
  virtual void Watch(const std::string& prefix,
                     int64_t after,
                     Callback<std::vector<KvEntry>> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_KV_H_
