// SPDX-License-Identifier: Apache-2.0

#include "standin/record_store_model.h"

#include <algorithm>
#include <iterator>

namespace doorwood::standin {

void RecordStoreModel::Advance(int64_t now) {
  now_ = now;
  std::vector<int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now_) {
      expired.push_back(id);
    }
  }
  for (const int64_t id : expired) {
    RevokeLease(id);
  }
}

std::error_code RecordStoreModel::Get(const std::string& key,
                                      StoreItem* item) const {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return KvErrc::kNotFound;
  }
  *item = found->second;
  return {};
}

StoreItems RecordStoreModel::List(const std::string& prefix) const {
  StoreItems items;
  items.revision = revision_;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && it->first.starts_with(prefix); ++it) {
    items.items.push_back(it->second);
  }
  return items;
}

StoreItems RecordStoreModel::ListPage(const std::string& prefix,
                                      const std::string& after,
                                      size_t max_items) const {
  StoreItems page;
  page.revision = revision_;
  auto it =
      after < prefix ? items_.lower_bound(prefix) : items_.upper_bound(after);
  for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
    if (page.items.size() == max_items) {
      page.more = true;
      break;
    }
    page.items.push_back(it->second);
  }
  return page;
}

std::error_code RecordStoreModel::ChangesAfter(const std::string& prefix,
                                               int64_t after,
                                               StoreItems* events) const {
  if (after < compacted_revision_) {
    return KvErrc::kCompacted;
  }
  events->revision = revision_;
  const auto first = std::partition_point(
      history_.begin(), history_.end(),
      [after](const StoreItem& item) { return item.revision <= after; });
  std::copy_if(
      first, history_.end(), std::back_inserter(events->items),
      [&](const StoreItem& item) { return item.key.starts_with(prefix); });
  return {};
}

std::error_code RecordStoreModel::Commit(const StoreTransaction& transaction,
                                         StoreCommit* commit) {
  bool all_match = true;
  for (const ExpectedRevision& expectation : transaction.expected) {
    StoreItem item;
    const bool exists = !Get(expectation.key, &item);
    all_match =
        all_match && (exists ? item.revision : 0) == expectation.revision;
    if (exists) {
      commit->current.push_back(item);
    }
  }
  if (!all_match) {
    return KvErrc::kConflict;
  }
  commit->current.clear();
  for (const StorePut& put : transaction.puts) {
    if (put.lease != 0 && !leases_.contains(put.lease)) {
      return KvErrc::kNotFound;
    }
  }
  ++revision_;
  for (const StorePut& put : transaction.puts) {
    Put(put);
  }
  for (const std::string& key : transaction.removes) {
    Remove(key);
  }
  commit->revision = revision_;
  return {};
}

void RecordStoreModel::Put(const StorePut& put) {
  StoreItem& item = items_[put.key];
  item.key = put.key;
  item.value = put.value;
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = put.lease;
  history_.push_back(item);
}

void RecordStoreModel::Remove(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  StoreItem event;
  event.key = key;
  event.revision = revision_;
  event.deleted = true;
  history_.push_back(event);
}

int64_t RecordStoreModel::GrantLease(int64_t lifetime) {
  leases_[++last_lease_] = {lifetime, now_ + lifetime};
  return last_lease_;
}

std::error_code RecordStoreModel::RenewLease(int64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return KvErrc::kNotFound;
  }
  found->second.expires_at = now_ + found->second.lifetime;
  return {};
}

std::error_code RecordStoreModel::RevokeLease(int64_t lease) {
  if (leases_.erase(lease) == 0) {
    return KvErrc::kNotFound;
  }
  RemoveKeysOfLease(lease);
  return {};
}

void RecordStoreModel::RemoveKeysOfLease(int64_t lease) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  if (keys.empty()) {
    return;
  }
  ++revision_;
  for (const std::string& key : keys) {
    Remove(key);
  }
}

void RecordStoreModel::Compact() {
  compacted_revision_ = revision_;
  history_.clear();
}

void RecordStoreModel::DropLeaseKeys(int64_t lease) {
  RemoveKeysOfLease(lease);
}

}  // namespace doorwood::standin
