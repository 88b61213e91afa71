// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform's list of instances over HTTP and JSON.

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
  HttpDirectory(std::string address, Executor& executor);

  void Fetch(Callback done) override;

  std::map<std::string, CallTraffic> traffic() const {
    return caller_.traffic();
  }

 private:
  std::string address_;
  Executor& executor_;
  HttpCaller caller_;
  BlockingPool pool_{1};
};

}  // namespace doorwood

#endif  // DOORWOOD_DIRECTORY_ADAPTER_HTTP_DIRECTORY_H_
