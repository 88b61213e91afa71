// SPDX-License-Identifier: Apache-2.0

#include "doorwood/metered_store.h"

#include <utility>

namespace doorwood {
namespace {

// Request line, headers, and the TCP and IP headers of the packets of a call.
constexpr size_t kCallOverhead = 240;
// Names and numbers of an item besides its key and value.
constexpr size_t kItemOverhead = 100;

size_t SizeOfItem(const std::string& key, const std::string& value) {
  // Values travel in base64.
  return kItemOverhead + key.size() + value.size() * 4 / 3;
}

size_t SizeOf(const StoreItem& item) {
  return kCallOverhead + SizeOfItem(item.key, item.value);
}

size_t SizeOf(const StoreItems& items) {
  size_t bytes = kCallOverhead;
  for (const StoreItem& item : items.items) {
    bytes += SizeOfItem(item.key, item.value);
  }
  return bytes;
}

size_t SizeOf(const StoreTransaction& transaction) {
  size_t bytes = kCallOverhead;
  for (const ExpectedRevision& row : transaction.expected) {
    bytes += kItemOverhead + row.key.size();
  }
  for (const StorePut& put : transaction.puts) {
    bytes += SizeOfItem(put.key, put.value);
  }
  for (const std::string& key : transaction.removes) {
    bytes += key.size();
  }
  return bytes;
}

}  // namespace

MeteredStore::MeteredStore(Executor& executor,
                           RecordStore& store,
                           LinkLoad& link)
    : executor_(executor), store_(store), link_(link) {}

template <typename T>
RecordStore::Callback<T> MeteredStore::Expect(const std::string& name,
                                              Callback<T> done) {
  if (!link_.is_limited()) {
    return done;
  }
  const auto known = answer_bytes_->find(name);
  const size_t expected =
      known == answer_bytes_->end() ? kCallOverhead : known->second;
  link_.AddOutgoing(kCallOverhead, executor_.Now());
  link_.AddIncoming(expected, executor_.Now());
  return [this, alive = std::weak_ptr(answer_bytes_), name, expected,
          done = std::move(done)](std::error_code error, T value) {
    const auto sizes = alive.lock();
    if (sizes && !error) {
      const size_t bytes = SizeOf(value);
      (*sizes)[name] = bytes;
      if (bytes > expected) {
        link_.AddIncoming(bytes - expected, executor_.Now());
      }
    }
    done(error, std::move(value));
  };
}

void MeteredStore::Get(const std::string& key, Callback<StoreItem> done) {
  store_.Get(key, Expect(key, std::move(done)));
}

void MeteredStore::ReadRevision(const std::string& key,
                                Callback<int64_t> done) {
  if (link_.is_limited()) {
    link_.AddOutgoing(kCallOverhead, executor_.Now());
    link_.AddIncoming(kCallOverhead, executor_.Now());
  }
  store_.ReadRevision(key, std::move(done));
}

void MeteredStore::List(const std::string& prefix, Callback<StoreItems> done) {
  store_.List(prefix, Expect(prefix, std::move(done)));
}

void MeteredStore::ListPage(const std::string& prefix,
                            const std::string& after,
                            Callback<StoreItems> done) {
  store_.ListPage(prefix, after, Expect(prefix, std::move(done)));
}

void MeteredStore::Watch(const std::string& prefix,
                         int64_t after,
                         Millis wait,
                         Callback<StoreItems> done) {
  store_.Watch(prefix, after, wait, std::move(done));
}

void MeteredStore::Commit(const StoreTransaction& transaction,
                          Callback<StoreCommit> done) {
  link_.AddOutgoing(SizeOf(transaction), executor_.Now());
  link_.AddIncoming(kCallOverhead, executor_.Now());
  store_.Commit(transaction, std::move(done));
}

void MeteredStore::GrantLease(Millis lifetime, Callback<int64_t> done) {
  store_.GrantLease(lifetime, std::move(done));
}

void MeteredStore::RenewLease(int64_t lease, Callback<int64_t> done) {
  store_.RenewLease(lease, std::move(done));
}

void MeteredStore::RevokeLease(int64_t lease, Callback<int64_t> done) {
  store_.RevokeLease(lease, std::move(done));
}

}  // namespace doorwood
