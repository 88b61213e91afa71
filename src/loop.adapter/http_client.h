// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 calls on the process's one loop, over kept connections.

#ifndef DOORWOOD_LOOP_ADAPTER_HTTP_CLIENT_H_
#define DOORWOOD_LOOP_ADAPTER_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "doorwood/error.h"
#include "doorwood/types.h"

namespace doorwood {

struct HttpCall {
  /// IP number and port.
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Millis timeout{1000};
  /// May be sent again where a kept connection turns out to be closed.
  bool repeatable = true;
};

struct HttpReply {
  int status = 0;
  std::string body;
  /// The call was sent once before, on a kept connection that broke. That
  /// sending may have been carried out, or may be later, so a refusal says
  /// nothing of it.
  bool sent_before = false;
};

class HttpClient {
 public:
  /// Failure: PeerErrc::kNotSent or kNoAnswer.
  using Callback = std::function<void(std::error_code, HttpReply)>;

  explicit HttpClient(boost::asio::io_context& context);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpCall call, Callback done);
  /// Connections opened so far.
  uint64_t connects() const;

 private:
  class Pool;
  class Exchange;

  std::shared_ptr<Pool> pool_;
};

}  // namespace doorwood

#endif  // DOORWOOD_LOOP_ADAPTER_HTTP_CLIENT_H_
