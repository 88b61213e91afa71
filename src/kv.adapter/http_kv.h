// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client of the key-value store over HTTP and JSON.

#ifndef DOORWOOD_KV_ADAPTER_HTTP_KV_H_
#define DOORWOOD_KV_ADAPTER_HTTP_KV_H_

#include <string>

#include "asio.adapter/blocking_pool.h"
#include "doorwood/executor.h"
#include "doorwood/kv.h"
#include "http.adapter/http_call.h"

namespace doorwood {

struct HttpKvOptions {
  std::string address;
  Millis connect_timeout{300};
  Millis call_timeout{1000};
  /// How long the store holds a watch request before it answers that nothing
  /// has changed.
  Millis watch_wait{10000};
  size_t threads = 3;
};

class HttpKv : public KvStore {
 public:
  HttpKv(const HttpKvOptions& options, Executor& executor);
  ~HttpKv() override;

  void Read(const std::string& key, Callback<KvEntry> done) override;
  void List(const std::string& prefix,
            Callback<std::vector<KvEntry>> done) override;
  void Write(const KvWrite& write, Callback<int64_t> done) override;
  void Remove(const std::string& key,
              int64_t expected_version,
              Callback<int64_t> done) override;
  void GrantLease(Millis lifetime, Callback<int64_t> done) override;
  void RenewLease(int64_t lease, Callback<int64_t> done) override;
  void Watch(const std::string& prefix,
             int64_t after,
             Callback<std::vector<KvEntry>> done) override;

  std::map<std::string, CallTraffic> traffic() const {
    return caller_.traffic();
  }

 private:
  using Finish = std::function<void(std::error_code, const Json&)>;

  // Runs a call on the pool, then `finish` on the control thread. `mutates`:
  // the call changes state in the store, so a missing response leaves its
  // effect unknown.
  void Start(BlockingPool& pool,
             const std::string& path,
             Json body,
             Millis wait,
             bool mutates,
             Finish finish);

  HttpKvOptions options_;
  Executor& executor_;
  HttpCaller caller_;
  BlockingPool calls_;
  // Watches block for a long time, so they run on a separate thread.
  BlockingPool watches_{1};
};

}  // namespace doorwood

#endif  // DOORWOOD_KV_ADAPTER_HTTP_KV_H_
