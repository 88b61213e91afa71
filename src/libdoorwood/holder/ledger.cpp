// SPDX-License-Identifier: Apache-2.0

#include "doorwood/ledger.h"

namespace doorwood {

bool Ledger::Reserve(const AttemptKey& key, const Resources& size) {
  if (!Fits(size, free()) || reserved_.contains(key)) {
    return false;
  }
  Adopt(key, size);
  return true;
}

void Ledger::Adopt(const AttemptKey& key, const Resources& size) {
  if (reserved_.emplace(key, size).second) {
    used_ = used_ + size;
  }
}

void Ledger::Release(const AttemptKey& key) {
  const auto item = reserved_.find(key);
  if (item == reserved_.end()) {
    return;
  }
  used_ = used_ - item->second;
  reserved_.erase(item);
}

void Ledger::Clear() {
  reserved_.clear();
  used_ = Resources();
}

}  // namespace doorwood
