// SPDX-License-Identifier: Apache-2.0

/// \file
/// Model of the platform's key-value service without network or clock. Shared
/// by the stand-in process and the fake of the unit tests.

#ifndef DOORWOOD_STANDIN_KV_MODEL_H_
#define DOORWOOD_STANDIN_KV_MODEL_H_

#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/kv.h"

namespace doorwood::standin {

/// Versioned entries with leases. `now` is in milliseconds of any one steady
/// clock. Every error is a KvErrc.
class KvModel {
 public:
  std::error_code Read(const std::string& key, int64_t now, KvEntry* out);
  std::vector<KvEntry> List(const std::string& prefix, int64_t now);
  std::error_code Write(const KvWrite& write, int64_t now, int64_t* version);
  /// A negative `expected_version` removes any version.
  std::error_code Remove(const std::string& key,
                         int64_t expected_version,
                         int64_t now);
  /// Returns the id of a new lease.
  int64_t GrantLease(int64_t lifetime_ms, int64_t now);
  std::error_code RenewLease(int64_t lease, int64_t now);
  /// Highest version of the entries under `prefix`; 0 if there are none.
  int64_t HighestVersionUnder(const std::string& prefix) const;
  /// Increases with each write and removal. Expired leases do not change it.
  int64_t revision() const { return revision_; }

 private:
  struct Stored {
    std::string value;
    int64_t version = 0;
    int64_t lease = 0;
  };

  struct Lease {
    int64_t lifetime = 0;
    int64_t end = 0;
  };

  void ExpireLeases(int64_t now);
  int64_t VersionOf(const std::string& key) const;

  std::map<std::string, Stored> entries_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
};

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_KV_MODEL_H_
