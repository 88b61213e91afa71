// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client of the platform's list of instances over HTTP and JSON.

#ifndef DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_
#define DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "asio.adapter/blocking_pool.h"
#include "doorwood/directory.h"
#include "doorwood/event_log.h"
#include "doorwood/executor.h"
#include "doorwood/rejected_entry_log.h"
#include "http.adapter/http_call.h"

namespace doorwood {

class HttpDirectory : public InstanceDirectory {
 public:
  HttpDirectory(std::string address,
                std::string data_centre,
                Executor& executor,
                EventLog& log);

  void Fetch(Callback done) override;

  std::map<std::string, CallTraffic> traffic() const {
    return caller_.traffic();
  }

 private:
  /// Decodes the entries of the platform's list. An invalid one is logged; its
  /// instance, if it is listed already, is listed as before.
  std::vector<InstanceInfo> DecodeList(const Json& entries);

  std::string address_;
  std::string data_centre_;
  Executor& executor_;
  // The latest list and its version, so that an unchanged list is not
  // transferred again. Used only on the single thread of the pool.
  int64_t version_ = -1;
  std::vector<InstanceInfo> list_;
  HttpCaller caller_;
  RejectedEntryLog rejected_entries_;
  BlockingPool pool_{1};
};

}  // namespace doorwood

#endif  // DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_
