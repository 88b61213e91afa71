// SPDX-License-Identifier: Apache-2.0

/// \file
/// Port to the platform's key-value service.

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
/// write to the key; 0 stands for "no such key".
struct KvEntry {
  std::string key;
  std::string value;
  int64_t version = 0;
};

/// Importance of a call when this instance's share of the service's rate is
/// scarce. Lower numbers go first.
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
  /// The key goes when this lease lapses; 0: it stays.
  int64_t lease = 0;
  KvPriority priority = KvPriority::kAppend;
};

/// Calls finish on the control thread, exactly once, with a KvErrc on
/// failure. After KvErrc::kUnknown the caller reads back.
class KvStore {
 public:
  template <typename T>
  using Callback = std::function<void(std::error_code, T)>;

  virtual ~KvStore() = default;

  virtual void Read(const std::string& key, Callback<KvEntry> done) = 0;
  /// All entries whose key starts with `prefix`, in key order.
  virtual void List(const std::string& prefix,
                    Callback<std::vector<KvEntry>> done) = 0;
  /// The new version on success.
  virtual void Write(const KvWrite& write, Callback<int64_t> done) = 0;
  virtual void Remove(const std::string& key,
                      int64_t expected_version,
                      Callback<int64_t> done) = 0;
  /// The id of a new lease that lapses `lifetime` after its last renewal.
  virtual void GrantLease(Millis lifetime, Callback<int64_t> done) = 0;
  virtual void RenewLease(int64_t lease, Callback<int64_t> done) = 0;
  /// Waits until a key under `prefix` has a version above `after`, or until
  /// the service ends the wait; then gives every entry under the prefix.
  virtual void Watch(const std::string& prefix,
                     int64_t after,
                     Callback<std::vector<KvEntry>> done) = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_KV_H_
