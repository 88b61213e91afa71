// SPDX-License-Identifier: Apache-2.0

#include "standin/kv_model.h"

#include <algorithm>

#include "doorwood/error.h"

namespace doorwood::standin {

std::error_code KvModel::Read(const std::string& key,
                              int64_t now,
                              KvEntry* out) {
  ExpireLeases(now);
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) {
    return KvErrc::kNotFound;
  }
  *out = {key, entry->second.value, entry->second.version};
  return {};
}

std::vector<KvEntry> KvModel::List(const std::string& prefix, int64_t now) {
  ExpireLeases(now);
  std::vector<KvEntry> entries;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    entries.push_back({it->first, it->second.value, it->second.version});
  }
  return entries;
}

std::error_code KvModel::Write(const KvWrite& write,
                               int64_t now,
                               int64_t* version) {
  ExpireLeases(now);
  if (write.lease != 0 && !leases_.contains(write.lease)) {
    return KvErrc::kNotFound;
  }
  if (VersionOf(write.key) != write.expected_version) {
    return KvErrc::kConflict;
  }
  entries_[write.key] = {write.value, ++revision_, write.lease};
  *version = revision_;
  return {};
}

std::error_code KvModel::Remove(const std::string& key,
                                int64_t expected_version,
                                int64_t now) {
  ExpireLeases(now);
  const bool matches =
      expected_version < 0 || VersionOf(key) == expected_version;
  if (!matches) {
    return KvErrc::kConflict;
  }
  if (entries_.erase(key) == 0) {
    return KvErrc::kNotFound;
  }
  ++revision_;
  return {};
}

int64_t KvModel::GrantLease(int64_t lifetime_ms, int64_t now) {
  leases_[++last_lease_] = {lifetime_ms, now + lifetime_ms};
  return last_lease_;
}

std::error_code KvModel::RenewLease(int64_t lease, int64_t now) {
  ExpireLeases(now);
  const auto item = leases_.find(lease);
  if (item == leases_.end()) {
    return KvErrc::kNotFound;
  }
  item->second.end = now + item->second.lifetime;
  return {};
}

int64_t KvModel::HighestVersionUnder(const std::string& prefix) const {
  int64_t newest = 0;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    newest = std::max(newest, it->second.version);
  }
  return newest;
}

void KvModel::ExpireLeases(int64_t now) {
  std::erase_if(leases_,
                [now](const auto& item) { return item.second.end < now; });
  std::erase_if(entries_, [this](const auto& item) {
    return item.second.lease != 0 && !leases_.contains(item.second.lease);
  });
}

int64_t KvModel::VersionOf(const std::string& key) const {
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? 0 : entry->second.version;
}

}  // namespace doorwood::standin
