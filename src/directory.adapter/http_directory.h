// SPDX-License-Identifier: Apache-2.0

/// \file
/// Client of the platform's list of instances over HTTP and JSON.

#ifndef DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_
#define DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_

#include <string>

#include "asio.adapter/blocking_pool.h"
#include "doorwood/directory.h"
#include "doorwood/executor.h"
#include "http.adapter/http_call.h"

namespace doorwood {

class HttpDirectory : public InstanceDirectory {
 public:
  HttpDirectory(std::string address,
                std::string data_centre,
                Executor& executor);

  void Fetch(Callback done) override;

  std::map<std::string, CallTraffic> traffic() const {
    return caller_.traffic();
  }

 private:
  std::string address_;
  std::string data_centre_;
  Executor& executor_;
  // The latest list and its version, so that an unchanged list is not
  // transferred again. Used only on the single thread of the pool.
  int64_t version_ = -1;
  std::vector<InstanceInfo> list_;
  HttpCaller caller_;
  BlockingPool pool_{1};
};

}  // namespace doorwood

#endif  // DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_
