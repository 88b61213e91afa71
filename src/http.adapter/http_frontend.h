// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP server of an entry instance: requests of callers, calls of operators,
/// health checks and metrics.

#ifndef DOORWOOD_HTTP_ADAPTER_HTTP_FRONTEND_H_
#define DOORWOOD_HTTP_ADAPTER_HTTP_FRONTEND_H_

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "doorwood/instance.h"
#include "doorwood/router.h"
#include "http.adapter/bounded_stream.h"

namespace doorwood {

struct HttpFrontendOptions {
  /// IP address and port to listen on; port 0 selects a free port.
  std::string listen;
  std::string operator_token;
  std::string peer_token;
  /// Maximum number of connections served at a time.
  size_t connections = 96;
  size_t max_body_bytes = 8 * 1024 * 1024;
  /// Bodies of all requests together; see RequestLimits.
  size_t total_body_bytes = 32UL * 1024 * 1024;
  Millis default_deadline{10000};
  Millis max_deadline{60000};
  /// Maximum duration of an operator's call; the reply is then 504.
  Millis operator_timeout{6000};
};

/// Interface through which the HTTP server reaches its instance. Called on the
/// server's threads.
class HttpFrontendEnvironment {
 public:
  virtual ~HttpFrontendEnvironment() = default;

  /// Runs an operator's call on the control thread.
  virtual void HandleOperatorCall(const OperatorCall& call,
                                  std::function<void(OperatorReply)> done) = 0;
  virtual bool ready() const = 0;
  /// Returns the metrics in the Prometheus text format.
  virtual std::string Metrics() = 0;
};

class HttpFrontend {
 public:
  /// Starts listening immediately and serves on its own threads. Throws
  /// std::runtime_error if the address cannot be used.
  HttpFrontend(const HttpFrontendOptions& options,
               Router& router,
               HttpFrontendEnvironment& environment,
               EventLog& log);
  ~HttpFrontend();

  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// Stops accepting connections and returns when the requests in progress are
  /// answered.
  void Stop();
  int port() const { return port_; }

 private:
  void AddRoutes();
  void AddOperatorRoutes();
  void OnCaller(const httplib::Request& request, httplib::Response& response);
  void OnOperator(const std::string& method,
                  const Json& body,
                  const httplib::Request& request,
                  httplib::Response& response);
  bool IsOperator(const httplib::Request& request) const;
  CallerRequest ParseCaller(const httplib::Request& request) const;

  HttpFrontendOptions options_;
  Router& router_;
  HttpFrontendEnvironment& environment_;
  EventLog& log_;
  BoundedServer server_;
  std::thread thread_;
  std::atomic<uint64_t> next_request_ = 0;
  std::string request_prefix_;
  int port_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_HTTP_FRONTEND_H_
