// SPDX-License-Identifier: Apache-2.0

/// \file
/// What the platform's key-value service does, without network or clock.
/// Shared by the stand-in process and the fake of unit tests.

#ifndef DOORWOOD_STANDIN_KV_MODEL_H_
#define DOORWOOD_STANDIN_KV_MODEL_H_

#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "doorwood/kv.h"

namespace doorwood::standin {

/// `now` is in milliseconds of any one clock. Every failure is a KvErrc.
class KvModel {
 public:
  std::error_code Read(const std::string& key, int64_t now, KvEntry* out);
  std::vector<KvEntry> List(const std::string& prefix, int64_t now);
  std::error_code Write(const KvWrite& write, int64_t now, int64_t* version);
  std::error_code Remove(const std::string& key,
                         int64_t expected_version,
                         int64_t now);
  int64_t Grant(int64_t lifetime_ms, int64_t now);
  std::error_code Renew(int64_t lease, int64_t now);
  /// Highest version under a prefix.
  int64_t NewestUnder(const std::string& prefix) const;
  /// Rises with each change.
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

  void Expire(int64_t now);
  int64_t VersionOf(const std::string& key) const;

  std::map<std::string, Stored> entries_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 0;
  int64_t last_lease_ = 0;
};

}  // namespace doorwood::standin

#endif  // DOORWOOD_STANDIN_KV_MODEL_H_
