// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client of the platform's workers over HTTP and JSON.

#ifndef DOORWOOD_WORKER_ADAPTER_HTTP_WORKERS_H_
#define DOORWOOD_WORKER_ADAPTER_HTTP_WORKERS_H_

#include <string>

#include "asio.adapter/blocking_pool.h"
#include "doorwood/executor.h"
#include "doorwood/worker.h"
#include "http.adapter/http_call.h"

namespace doorwood {

struct HttpWorkersOptions {
  /// Name under which leases are requested: instance and incarnation.
  std::string holder;
  Millis control_lease{3000};
  Millis task_lease{10000};
  Millis connect_timeout{300};
  Millis call_timeout{800};
  /// Number of threads for calls. Each call to an unresponsive worker occupies
  /// one of them until it times out.
  size_t threads = 16;
};

class HttpWorkers : public WorkerControl {
 public:
  HttpWorkers(const HttpWorkersOptions& options, Executor& executor);

  void Acquire(const InstanceInfo& worker,
               Callback<WorkerInventory> done) override;
  void Send(const InstanceInfo& worker,
            uint64_t epoch,
            std::vector<WorkerOrder> orders,
            Callback<WorkerAnswer> done) override;
  void Release(const InstanceInfo& worker,
               uint64_t epoch,
               Callback<bool> done) override;

  std::map<std::string, CallTraffic> traffic() const {
    return caller_.traffic();
  }

 private:
  template <typename T>
  void Start(const InstanceInfo& worker,
             const std::string& path,
             Json body,
             Callback<T> done);

  HttpWorkersOptions options_;
  Executor& executor_;
  HttpCaller caller_;
  BlockingPool pool_;
};

}  // namespace doorwood

#endif  // DOORWOOD_WORKER_ADAPTER_HTTP_WORKERS_H_
