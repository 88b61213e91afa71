// SPDX-License-Identifier: Apache-2.0

/// \file
/// Base class of fake stores for which a test scripts each commit. All other
/// calls are never answered.

#ifndef DOORWOOD_FAKES_COMMIT_ONLY_STORE_H_
#define DOORWOOD_FAKES_COMMIT_ONLY_STORE_H_

#include <string>

#include "doorwood/executor.h"
#include "doorwood/live_directory.h"
#include "doorwood/record_store.h"
#include "standin/record_store_model.h"

namespace doorwood::fakes {

class CommitOnlyStore : public RecordStore {
 public:
  explicit CommitOnlyStore(Executor& its_executor) : executor(its_executor) {}

  void Get(const std::string&, Callback<StoreItem>) override {}
  void ReadRevision(const std::string&, Callback<int64_t>) override {}
  void List(const std::string&, Callback<StoreItems>) override {}
  void ListPage(const std::string&,
                const std::string&,
                Callback<StoreItems>) override {}
  void Watch(const std::string&,
             int64_t,
             Millis,
             Callback<StoreItems>) override {}
  void GrantLease(Millis, Callback<int64_t>) override {}
  void RenewLease(int64_t, Callback<int64_t>) override {}
  void RevokeLease(int64_t, Callback<int64_t>) override {}

  /// Writes the cell's leader key; returns its revision.
  int64_t WriteLeaderKey(const std::string& cell, const std::string& instance) {
    StoreTransaction lead;
    lead.puts.push_back({LeadKey(cell), instance, 0});
    StoreCommit won;
    model.Commit(lead, &won);
    return won.revision;
  }

  standin::RecordStoreModel model;

 protected:
  Executor& executor;
};

}  // namespace doorwood::fakes

#endif  // DOORWOOD_FAKES_COMMIT_ONLY_STORE_H_
