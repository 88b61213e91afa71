// SPDX-License-Identifier: Apache-2.0

/// \file
/// The HTTP side of an entry instance: callers' requests, operators' calls,
/// health and metrics.

#ifndef DOORWOOD_HTTP_ADAPTER_FRONT_H_
#define DOORWOOD_HTTP_ADAPTER_FRONT_H_

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "doorwood/instance.h"
#include "doorwood/router.h"

namespace doorwood {

struct FrontOptions {
  /// IP number and port to listen on; port 0 picks one.
  std::string listen;
  std::string operator_token;
  std::string peer_token;
  /// Connections served at a time.
  size_t connections = 96;
  size_t largest_body = 8 * 1024 * 1024;
  Millis default_deadline{10000};
  Millis longest_deadline{60000};
  /// How long an operator's call may take.
  Millis operator_timeout{6000};
};

/// What the front asks of the rest of the process.
class FrontBackend {
 public:
  virtual ~FrontBackend() = default;

  /// Runs an operator's call on the control thread.
  virtual void Operate(const OperatorCall& call,
                       std::function<void(OperatorReply)> done) = 0;
  virtual bool ready() const = 0;
  /// Metrics in Prometheus text.
  virtual std::string Metrics() = 0;
};

class Front {
 public:
  /// Listens at once and serves on threads of its own; throws
  /// std::runtime_error if the address cannot be used.
  Front(const FrontOptions& options,
        Router& router,
        FrontBackend& backend,
        EventLog& log);
  ~Front();

  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// Answers what is in progress, then returns.
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

  FrontOptions options_;
  Router& router_;
  FrontBackend& backend_;
  EventLog& log_;
  httplib::Server server_;
  std::thread thread_;
  std::atomic<uint64_t> next_request_ = 0;
  std::string request_prefix_;
  int port_ = 0;
};

}  // namespace doorwood

#endif  // DOORWOOD_HTTP_ADAPTER_FRONT_H_
