// SPDX-License-Identifier: Apache-2.0

/// \file
/// Counts the data of calls to the store on the link that they share with calls
/// to workers. The calls themselves never wait: the lease of the lead is one of
/// them.

#ifndef DOORWOOD_METERED_STORE_H_
#define DOORWOOD_METERED_STORE_H_

#include <map>
#include <memory>
#include <string>

#include "doorwood/executor.h"
#include "doorwood/link_load.h"
#include "doorwood/record_store.h"

namespace doorwood {

class MeteredStore : public RecordStore {
 public:
  MeteredStore(Executor& executor, RecordStore& store, LinkLoad& link);

  void Get(const std::string& key, Callback<StoreItem> done) override;
  void ReadRevision(const std::string& key, Callback<int64_t> done) override;
  void List(const std::string& prefix, Callback<StoreItems> done) override;
  void ListPage(const std::string& prefix,
                const std::string& after,
                Callback<StoreItems> done) override;
  void Watch(const std::string& prefix,
             int64_t after,
             Millis wait,
             Callback<StoreItems> done) override;
  void Commit(const StoreTransaction& transaction,
              Callback<StoreCommit> done) override;
  void GrantLease(Millis lifetime, Callback<int64_t> done) override;
  void RenewLease(int64_t lease, Callback<int64_t> done) override;
  void RevokeLease(int64_t lease, Callback<int64_t> done) override;

 private:
  /// Counts the answer that is expected for `name`, and wraps `done` so that it
  /// counts what the answer has beyond that.
  template <typename T>
  Callback<T> Expect(const std::string& name, Callback<T> done);

  Executor& executor_;
  RecordStore& store_;
  LinkLoad& link_;
  /// Size of the last answer, by key or prefix.
  std::shared_ptr<std::map<std::string, size_t>> answer_bytes_ =
      std::make_shared<std::map<std::string, size_t>>();
};

}  // namespace doorwood

#endif  // DOORWOOD_METERED_STORE_H_
